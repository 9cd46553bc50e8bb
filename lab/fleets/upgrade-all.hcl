# Every node's process is replaced at once, old and new side by side. With --old the old ones are of that build.
scenario "upgrade-all" { base = "base.hcl" seed = 21 length_s = 22 }
fleet { boxes_per_process = 4 control = "on" old_build = 1 }
trouble "upgrade" { at_s = 6 part = 1 spread_s = 0.2 }
