# Refused clients come back at once and twice as often, while boxes are missing.
scenario "retry-storm" { base = "quiet.hcl" seed = 9 }
clients { rate = 400 retries = 2 backoff_ms = 150 honour = 0 }
trouble "crash"       { at_s = 5 length_s = 10 tier = "log-logic" part = 0.4 }
trouble "retry_storm" { at_s = 5 length_s = 12 size = 2 }
