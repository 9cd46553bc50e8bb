# Settings of nodes that follow configuration versions: see docs/config-versions.md.

config_watch {
  controllers = ["127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"]
  service     = "dry-bay"
  region      = "west"
  zone        = "west-1"
}
