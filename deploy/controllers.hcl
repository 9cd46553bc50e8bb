# Three controllers of the control service on one machine: see docs/config-versions.md. Start each with
# `hookwalk controller run deploy/controllers.hcl --name NAME`. Their addresses must not be reachable from outside.

controller "c1" {
  listen = "127.0.0.1:7400"
  raft   = "127.0.0.1:7500"
  region = "west"
  zone   = "west-1"
}

controller "c2" {
  listen = "127.0.0.1:7401"
  raft   = "127.0.0.1:7501"
  region = "west"
  zone   = "west-2"
}

controller "c3" {
  listen = "127.0.0.1:7402"
  raft   = "127.0.0.1:7502"
  region = "east"
  zone   = "east-1"
}
