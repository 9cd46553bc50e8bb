# An upgrade comes to nodes that were told to end and still answer; links to clients are reset meanwhile. Found by a hunt.
scenario "found-512" { base = "hunt.hcl" seed = 512 length_s = 14.000 }
trouble "reset_link" { at_s = 4.000 length_s = 2.125 part = 0.4 tier = "log-store" size = 2 share = 0.02 folder = "cut" spread_s = 0.250 who = "nodes" whom = "clients" way = "out" heal = "reset" delay_ms = 12 rate_kb = 0 bytes = 0 }
trouble "upgrade" { at_s = 3.750 length_s = 1.500 part = 0.3 tier = "log-store" size = 2 share = 0.02 folder = "unwritable" spread_s = 0.125 who = "nodes" whom = "boxes" way = "back" heal = "reset" delay_ms = 0 rate_kb = 0 bytes = 0 }
trouble "node_restart" { at_s = 1.500 length_s = 1.000 part = 0.7 tier = "log-store" size = 2 share = 0.02 folder = "other" spread_s = 0.250 }
