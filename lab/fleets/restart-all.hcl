# All of the front's nodes get SIGTERM at once, and start again as each has ended.
scenario "restart-all" { base = "base.hcl" seed = 21 length_s = 22 }
trouble "node_restart" { at_s = 5 length_s = 0 part = 1 }
