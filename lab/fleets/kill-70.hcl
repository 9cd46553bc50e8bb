# 70% of the front's nodes are killed within 0.1 s and started again 1.5 s later.
scenario "kill-70" { base = "base.hcl" seed = 21 length_s = 22 }
trouble "kill" { at_s = 5 length_s = 1.5 part = 0.7 spread_s = 0.1 }
