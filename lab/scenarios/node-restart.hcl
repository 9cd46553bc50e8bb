# The front nodes are restarted in turn with SIGTERM, and then one is killed; a box of the first tier dies with
# its own node.
scenario "node-restart" { base = "quiet.hcl" seed = 6 }
front { nodes = 3 notice_s = 2 }
trouble "node_restart" { at_s = 4 length_s = 12 part = 1 }
trouble "node_kill"    { at_s = 20 length_s = 3 part = 0.3 }
trouble "crash"        { at_s = 20 length_s = 3 tier = "log-front" part = 0.1 }
