# A fleet: 1,000 front nodes that each know 10,000 boxes, some of which crash. In virtual time only.
scenario "fleet-1000" { seed = 14 length_s = 5 }
tier "log-front" {
  kind "fast" { count = 3000 cores = 2 speed = 2.0 slots = 80 queue = 40 }
  kind "mid"  { count = 4000 cores = 2 speed = 1.2 slots = 80 queue = 40 }
  kind "slow" { count = 3000 cores = 2 speed = 0.8 slots = 80 queue = 40 }
}
class "block-view"  { share = 43 effect = "safe"   worth = 5 work_ms = 110 aim_ms = 700 deadline_ms = 2000 }
class "brix-update" { share = 32 effect = "safe"   worth = 3 work_ms = 70  aim_ms = 700 deadline_ms = 2000 }
class "bin-weighin" { share = 25 effect = "unsafe" worth = 8 work_ms = 90  aim_ms = 700 deadline_ms = 2000 }
clients   { rate = 20000 retries = 2 backoff_ms = 150 honour = 0.25 }
front     { nodes = 1000 notice_s = 2 }
discovery { calls_per_s = 5000 }
trouble "crash" { at_s = 2 length_s = 10 part = 0.0005 }
