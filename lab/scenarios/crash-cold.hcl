# A quarter of the middle tier dies with work of all tiers in it, and comes back cold while the load goes on.
scenario "crash-cold" { base = "quiet.hcl" seed = 3 }
clients { rate = 300 retries = 2 backoff_ms = 150 honour = 0.25 }
trouble "crash" { at_s = 6 length_s = 6 tier = "log-logic" part = 0.25 }
trouble "crash" { at_s = 17 length_s = 4 tier = "log-store" part = 0.25 }
