# The world that a hunt plays: eleven nodes, five other processes, 14 s.
scenario "fleet-hunt" { seed = 1 length_s = 14 }
tier "log-front" {
  work = 0.5 calls = 1
  kind "front" { count = 6 cores = 1 slots = 32 queue = 16 thrash_at = 24 cold_s = 3 }
}
tier "log-store" {
  work = 0.5
  kind "store" { count = 6 cores = 1 slots = 32 queue = 16 thrash_at = 24 cold_s = 3 }
}
class "block-view"  { share = 6 effect = "safe" worth = 5 work_ms = 60 aim_ms = 900 deadline_ms = 2500 }
class "bin-weighin" { share = 4 worth = 8 work_ms = 60 aim_ms = 900 deadline_ms = 2500 }
clients   { rate = 80 retries = 2 backoff_ms = 100 }
front     { nodes = 5 notice_s = 1 }
discovery { notice_ms = 500 silent_ms = 2000 add_ms = 200 calls_per_s = 40 }
rules     { slack_ms = 400 drain_grace_ms = 400 }
fleet     { boxes_per_process = 3 control = "on" }
