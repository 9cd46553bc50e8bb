// Admission: how many own calls a pool of the first tier may have in flight.

package balancer

import "math"

const (
	spareShed   = 0.02 // share answered without an attempt above which there is no room to spare
	windowFloor = 5.0  // own calls a server that are always admitted
	aimFill     = 0.5  // mean latency over aim that admission steers to,
	bareRise    = 1.4  // or, where it is more, so many times that of answers while there is room to spare,
	mostFill    = 0.7  // up to this
	windowUp    = 1.0  // window gained by an answer in good time, times the part of the target that is free
	windowDown  = 0.1  // window lost by a late one
)

// full says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it.
func (b *Balancer) full(p *pool) bool {
	return len(p.ready) == 0 || b.set.Tier == 0 && float64(p.inFlight) >= math.Ceil(p.window-p.part)
}

// steer moves the window so that the mean latency stays at a set part of the aim: crowded servers choke, so
// the crowd must wait or be refused here. Those let in show only when answered.
func (b *Balancer) steer(r *request, e AttemptEnded) {
	if b.set.Tier > 0 || e.Outcome == Canceled || e.Outcome == NotSent || e.Outcome == Failure {
		return
	}
	p := r.class.pool
	over := float64(b.latency(r, r.attempts[e.Attempt], e)) / float64(r.class.LatencyObjective)
	if e.Outcome != Success {
		over = max(over, 1)
	}
	p.fill += 2 / (p.window + 16) * (min(over, 1) - p.fill)
	// Bare work that fills much of the aim is no crowd: it raises the target. Unknown, the floor holds.
	// Where copies outnumber servers, windows of a call or two rounded up at every copy would choke the
	// servers: while it falls, the draw makes all copies hold to it. Else rounding up lets bursts through.
	// The gain follows the room left to the target: fixed, it would leave servers idle or overshoot.
	p.part = 0
	if e.Outcome == Success && p.shed < spareShed {
		p.spared++
		p.bare += max(memory/4, 1/p.spared) * (over - p.bare)
	}
	target := min(max(aimFill, bareRise*p.bare), mostFill)
	if p.fill > target {
		p.window -= windowDown
		p.part = b.rng.Float64()
	} else if over < target && float64(p.inFlight+1) >= 0.8*p.window {
		up := windowUp * (1 - p.fill/target)
		p.window += up
		p.base += up / windowFloor
	}
	// A list that grows in a surge says nothing of the tiers below, which would choke under a floor that
	// grew with it: base follows the list down at once, and up by answers in good time.
	p.base = min(p.base, p.fair)
	p.window = max(p.window, 1, windowFloor*p.base)
}
