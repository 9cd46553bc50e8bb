# For 5 s nothing that half of the front's nodes send reaches the boxes; what the boxes send does.
scenario "cut-one-way" { base = "base.hcl" seed = 21 length_s = 22 }
trouble "cut" { at_s = 5 length_s = 5 who = "nodes" whom = "boxes" way = "out" part = 0.5 }
