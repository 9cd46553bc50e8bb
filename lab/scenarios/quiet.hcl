# The chain as it is on a calm evening: three tiers, two front nodes, load of about a third. The other scenarios
# build on this one and say only what differs.
scenario "quiet" {
  seed     = 1
  length_s = 30
}

tier "log-front" {
  work  = 0.31
  calls = 2
  kind "front-fast" { count = 3 cores = 2 speed = 2.0 slots = 80 queue = 40 thrash_at = 80 cold_s = 6 }
  kind "front-mid"  { count = 3 cores = 2 speed = 1.2 slots = 80 queue = 40 thrash_at = 80 cold_s = 6 }
  kind "front-slow" { count = 3 cores = 2 speed = 0.8 slots = 80 queue = 40 thrash_at = 80 cold_s = 5 }
}

tier "log-logic" {
  work  = 0.21
  calls = 2
  kind "logic-fast" { count = 3 cores = 2 speed = 2.0 slots = 26 queue = 30 thrash_at = 40 cold_s = 6 }
  kind "logic-mid"  { count = 4 cores = 2 speed = 1.2 slots = 26 queue = 30 thrash_at = 40 cold_s = 6 }
  kind "logic-slow" { count = 3 cores = 2 speed = 0.8 slots = 26 queue = 30 thrash_at = 40 cold_s = 5 }
}

tier "log-store" {
  work = 0.07
  kind "store-fast" { count = 3 cores = 2 speed = 2.0 slots = 16 queue = 30 thrash_at = 20 cold_s = 6 }
  kind "store-mid"  { count = 5 cores = 2 speed = 1.2 slots = 16 queue = 30 thrash_at = 20 cold_s = 6 }
  kind "store-slow" { count = 4 cores = 2 speed = 0.8 slots = 16 queue = 30 thrash_at = 20 cold_s = 5 }
}

class "block-view"  { share = 43 effect = "safe"   worth = 5 work_ms = 110 aim_ms = 700 deadline_ms = 2000 }
class "brix-update" { share = 32 effect = "safe"   worth = 3 work_ms = 70  aim_ms = 700 deadline_ms = 2000 }
class "bin-weighin" { share = 25 effect = "unsafe" worth = 8 work_ms = 90  aim_ms = 700 deadline_ms = 2000 }

tenant "okanagan-ridge" { share = 59 }
tenant "lakeside"       { share = 27 }
tenant "naramata"       { share = 14 }

clients { rate = 180 retries = 2 backoff_ms = 150 honour = 0.25 }
front   { nodes = 2 notice_s = 2 }
