# Discovery is away while boxes drain and die, and then it moves.
scenario "discovery-down" { base = "quiet.hcl" seed = 10 }
trouble "discovery_down"  { at_s = 5 length_s = 8 }
trouble "crash"           { at_s = 7 length_s = 6 tier = "log-logic" part = 0.1 }
trouble "release"         { at_s = 8 length_s = 10 tier = "log-store" part = 0.2 }
trouble "discovery_moved" { at_s = 20 length_s = 0 }
