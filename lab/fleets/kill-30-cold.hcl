# The same, and 70% of the first and the last tier's boxes die with them and come back cold.
scenario "kill-30-cold" { base = "base.hcl" seed = 21 length_s = 22 }
trouble "kill" { at_s = 5 length_s = 1.5 part = 0.3 spread_s = 0.1 }
trouble "crash" { at_s = 5 length_s = 1.5 tier = "log-front" part = 0.7 }
trouble "crash" { at_s = 5 length_s = 1.5 tier = "log-store" part = 0.7 }
