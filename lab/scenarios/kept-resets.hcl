# A box in the way forgets connections: kept ones are reset when next used, and some answers cannot be read.
scenario "kept-resets" { base = "quiet.hcl" seed = 11 }
trouble "kept_resets"    { at_s = 6 length_s = 0 tier = "log-front" part = 1 share = 0.5 }
trouble "kept_resets"    { at_s = 12 length_s = 0 tier = "log-logic" part = 1 share = 0.5 }
trouble "broken_answers" { at_s = 18 length_s = 6 tier = "log-logic" part = 0.2 share = 0.2 }
