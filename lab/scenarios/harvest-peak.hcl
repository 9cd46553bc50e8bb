# Sugar peaks: the rate climbs from half to one and a half of a load near two thirds, weigh-ins lead.
scenario "harvest-peak" { base = "quiet.hcl" seed = 2 length_s = 40 }
class "block-view"  { share = 25 effect = "safe"   worth = 5 work_ms = 110 aim_ms = 700 deadline_ms = 2000 }
class "brix-update" { share = 25 effect = "safe"   worth = 3 work_ms = 70  aim_ms = 700 deadline_ms = 2000 }
class "bin-weighin" { share = 50 effect = "unsafe" worth = 8 work_ms = 90  aim_ms = 700 deadline_ms = 2000 }
clients { rate = 360 arrivals = "ramp" retries = 2 backoff_ms = 150 honour = 0.25 }
front   { nodes = 2 notice_s = 2 }
