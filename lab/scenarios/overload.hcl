# Nearly half as much again as the chain can do, for a third of the time.
scenario "overload" { base = "quiet.hcl" seed = 12 }
clients { rate = 300 retries = 3 backoff_ms = 150 honour = 0.25 }
trouble "overload" { at_s = 8 length_s = 10 size = 2.6 }
