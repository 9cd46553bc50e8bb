# A hundred nodes: 84 of the front, one beside each box of the first two tiers; 70% of the front killed, all replaced later.
scenario "hundred" { base = "base.hcl" seed = 21 length_s = 22 }
front { nodes = 84 notice_s = 2 }
fleet { boxes_per_process = 4 control = "on" }
trouble "kill"    { at_s = 5  length_s = 1.5 part = 0.7 spread_s = 0.3 }
trouble "upgrade" { at_s = 13 part = 1 spread_s = 2 }
