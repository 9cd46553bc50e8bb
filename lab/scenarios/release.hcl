# Every box of the middle tier is drained, replaced and back cold, one after another.
scenario "release" { base = "quiet.hcl" seed = 5 length_s = 40 }
clients { rate = 240 retries = 2 backoff_ms = 150 honour = 0.25 }
trouble "release" { at_s = 4 length_s = 30 tier = "log-logic" part = 1 }
