# A hundred nodes whose watches all fall silent at once, while half of them call in vain for a second; lists come indented
# and late, and a release runs all the while: what the silent watches missed counts as told 6 s later.
scenario "silent" { base = "base.hcl" seed = 31 length_s = 22 }
front     { nodes = 84 notice_s = 2 }
discovery { notice_ms = 1000 add_ms = 500 calls_per_s = 200 spread_ms = 500 form = "indented" }
fleet     { boxes_per_process = 4 control = "on" }
trouble "hush"    { at_s = 4 length_s = 0.1 part = 1 }
trouble "hush"    { at_s = 4.2 length_s = 1 part = 0.5 }
trouble "release" { at_s = 4.5 length_s = 8 tier = "log-front" part = 0.5 }
