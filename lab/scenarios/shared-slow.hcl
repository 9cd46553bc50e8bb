# What all boxes of the last tier depend on is slow: everything behind it is late at once.
scenario "shared-slow" { base = "quiet.hcl" seed = 8 }
clients { rate = 300 retries = 2 backoff_ms = 150 honour = 0.25 }
trouble "shared_slow" { at_s = 8 length_s = 10 tier = "log-store" size = 3 }
