# What Benchland Harvest Systems has on in service: see docs/features.md.

figures {
  format   = "statsd"
  flush_ms = 1000
}

# To standard error and memory: the platform gives no disk that lasts.
capture {}
