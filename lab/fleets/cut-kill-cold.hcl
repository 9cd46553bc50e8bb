# Discovery is cut off in one direction, most nodes are killed in it, and half of a tier comes back cold: nodes are told of
# none of it until their watch hears again, or until they have asked anew.
scenario "cut-kill-cold" { base = "base.hcl" seed = 9091 length_s = 24 }
trouble "cut" { at_s = 4 length_s = 4 who = "discovery" whom = "nodes" way = "out" heal = "held" }
trouble "kill" { at_s = 5 length_s = 2 part = 0.8 spread_s = 0.3 }
trouble "box_kill" { at_s = 5.5 length_s = 1.5 tier = "log-store" part = 0.5 }
trouble "stall" { at_s = 9 length_s = 2 who = "nodes" part = 0.4 }
