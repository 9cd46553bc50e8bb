# The same without the boxes; discovery is away for 5 s and then answers four calls a second.
scenario "kill-30-list" { base = "base.hcl" seed = 21 length_s = 22 }
discovery { notice_ms = 1000 add_ms = 500 calls_per_s = 4 }
trouble "kill" { at_s = 5 length_s = 1.5 part = 0.3 spread_s = 0.1 }
trouble "discovery_down" { at_s = 5 length_s = 5 }
