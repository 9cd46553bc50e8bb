# Machines go silent: nothing is refused, nothing answers, and discovery is slow to see it.
scenario "cut-off" { base = "quiet.hcl" seed = 4 }
trouble "cut_off" { at_s = 6 length_s = 10 tier = "log-logic" part = 0.1 }
trouble "cut_off" { at_s = 14 length_s = 10 tier = "log-store" part = 0.1 }
