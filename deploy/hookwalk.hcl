# The features that Benchland Harvest Systems enables in service: see docs/features.md.

figures {
  format   = "statsd"
  flush_ms = 1000
}

# The capture goes to standard error and memory, because the platform has no persistent disk.
capture {}
