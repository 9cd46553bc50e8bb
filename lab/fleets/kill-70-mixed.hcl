# 70% are killed, and half of all nodes are of another build (--old).
scenario "kill-70-mixed" { base = "base.hcl" seed = 21 length_s = 22 }
fleet { boxes_per_process = 4 old_build = 0.5 }
trouble "kill" { at_s = 5 length_s = 1.5 part = 0.7 spread_s = 0.1 }
