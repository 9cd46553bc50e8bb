# Half of the front's nodes are stopped for 3 s.
scenario "stall-half" { base = "base.hcl" seed = 21 length_s = 22 }
trouble "stall" { at_s = 5 length_s = 3 who = "nodes" part = 0.5 }
