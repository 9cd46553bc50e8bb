# 24 nodes: eight of the front, one beside each box of the first two tiers; three tiers of eight boxes, four to a
# process. 60 first tries a second are a load of 0.3, 120 of 0.6. The other files say only what goes wrong.
scenario "fleet-base" { seed = 21 length_s = 22 }

tier "log-front" {
  work = 0.4 calls = 1
  kind "front" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 cold_s = 6 }
}
tier "log-logic" {
  work = 0.4 calls = 1
  kind "logic" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 cold_s = 6 }
}
tier "log-store" {
  work = 0.4
  kind "store" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 cold_s = 6 }
}

class "block-view"  { share = 43 effect = "safe" worth = 5 work_ms = 110 aim_ms = 900 deadline_ms = 2500 }
class "brix-update" { share = 32 effect = "safe" worth = 3 work_ms = 90  aim_ms = 900 deadline_ms = 2500 }
class "bin-weighin" { share = 25 worth = 8 work_ms = 95 aim_ms = 900 deadline_ms = 2500 }

clients   { rate = 60 retries = 2 backoff_ms = 150 honour = 0.25 }
front     { nodes = 8 notice_s = 2 }
discovery { notice_ms = 1000 add_ms = 500 calls_per_s = 40 }
rules     { slack_ms = 250 }
fleet     { boxes_per_process = 4 }
