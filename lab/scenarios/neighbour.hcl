# Noisy neighbours take half of some machines, on and off.
scenario "neighbour" { base = "quiet.hcl" seed = 7 }
clients { rate = 300 retries = 2 backoff_ms = 150 honour = 0.25 }
trouble "neighbour"  { at_s = 5 length_s = 20 tier = "log-logic" part = 0.4 size = 0.5 period_s = 2 }
trouble "heavy_tail" { at_s = 5 length_s = 20 size = 10 share = 0.01 class = "block-view" }
