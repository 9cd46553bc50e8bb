# Twelve nodes and six other processes: what CI plays. Limits of time are generous, for it shares a few cores with its
# rig; every kind of trouble comes at least once.
scenario "fleet-small" { seed = 11 length_s = 20 }

tier "log-front" {
  work = 0.5 calls = 1
  kind "front" { count = 6 cores = 2 slots = 80 queue = 40 thrash_at = 80 cold_s = 3 }
}
tier "log-store" {
  work = 0.5
  kind "store" { count = 6 cores = 2 slots = 60 queue = 30 thrash_at = 60 cold_s = 3 }
}

class "block-view"  { share = 6 effect = "safe" worth = 5 work_ms = 20 aim_ms = 1000 deadline_ms = 3000 }
class "bin-weighin" { share = 4 worth = 8 work_ms = 20 aim_ms = 1000 deadline_ms = 3000 }

clients   { rate = 90 retries = 2 backoff_ms = 100 }
front     { nodes = 6 notice_s = 0.5 }
discovery { notice_ms = 500 silent_ms = 2000 add_ms = 200 calls_per_s = 100 form = "indented" }
rules     { slack_ms = 600 drain_grace_ms = 600 }
fleet     { boxes_per_process = 3 control = "on" }

trouble "hush"        { at_s = 1    length_s = 0.5 part = 0.5 }
trouble "hand"        { at_s = 2    length_s = 9   tier = "log-front" part = 0.3 }
trouble "kill"        { at_s = 3    length_s = 1   part = 0.7 spread_s = 0.1 folder = "kept" }
trouble "stall"       { at_s = 5.5  length_s = 0.8 who = "nodes" part = 0.3 }
trouble "cut"         { at_s = 7    length_s = 1   who = "nodes" whom = "boxes" way = "out" part = 0.2 }
trouble "cut"         { at_s = 8.5  length_s = 1.5 who = "discovery" whom = "nodes" way = "out" heal = "reset" }
trouble "slow_link"   { at_s = 10   length_s = 1   who = "nodes" whom = "boxes" part = 0.3 delay_ms = 20 }
trouble "reset_link"  { at_s = 11   length_s = 0   who = "nodes" whom = "boxes" part = 0.3 }
trouble "refuse_link" { at_s = 11.5 length_s = 0.7 who = "boxes" whom = "nodes" tier = "log-store" part = 0.5 }
trouble "break_link"  { at_s = 12.5 length_s = 0.7 who = "nodes" whom = "boxes" part = 0.2 bytes = 900 }
trouble "half_open"   { at_s = 12.5 length_s = 1   who = "nodes" whom = "discovery" way = "back" part = 0.3 }
trouble "stall"       { at_s = 13.5 length_s = 0.7 who = "boxes" tier = "log-store" part = 0.5 }
trouble "box_kill"    { at_s = 15   length_s = 1   tier = "log-store" part = 0.5 }
trouble "node_restart" { at_s = 16.5 length_s = 1 part = 0.3 folder = "cut" }
trouble "upgrade"     { at_s = 18   part = 1 spread_s = 0.5 }
