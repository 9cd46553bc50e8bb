# 32 clients in a closed loop over ten healthy, near instant boxes, met by a node that has just started. Nothing is
# wrong, and yet some are refused: an attempt is given up after the mean and five deviations, and where the work
# varies much, three in a row can be.
scenario "burst" { seed = 14 length_s = 5 }
tier "log-front" {
  kind "instant" { count = 10 cores = 16 speed = 50 slots = 1000 queue = 1000 thrash = 0 }
}
class "block-view" { effect = "safe" worth = 1 work_ms = 1 cv = 2 aim_ms = 2500 deadline_ms = 6000 }
clients { closed_loop = 32 retries = 0 }
front   { nodes = 1 }
