// Admission: how many own calls a pool of the first tier may have in flight.

package balancer

import "math"

const (
	maxUnloadedShedShare  = 0.02 // share answered without an attempt above which there is no room to spare
	minWindowPerServer    = 5.0  // own calls a server that are always admitted
	targetLoadRatio       = 0.5  // mean latency over aim that admission steers to,
	unloadedRatioMultiple = 1.4  // or, where it is more, so many times that of answers while there is room to spare,
	maxTargetLoadRatio    = 0.7  // up to this
	windowGain            = 1.0  // window gained by an answer in good time, times the part of the target that is free
	windowLoss            = 0.1  // window lost by a late one
)

// full says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it.
func (b *Balancer) windowFull(p *pool) bool {
	return len(p.ready) == 0 || b.settings.Tier == 0 && float64(p.inFlight) >= math.Ceil(p.window-p.windowFraction)
}

// steer moves the window so that the mean latency stays at a set part of the aim: crowded servers choke, so
// the crowd must wait or be refused here. Those let in show only when answered.
func (b *Balancer) adjustWindow(r *request, e AttemptEnded) {
	if b.settings.Tier > 0 || e.Outcome == Canceled || e.Outcome == NotSent || e.Outcome == Failure {
		return
	}
	p := r.class.pool
	over := float64(b.attemptLatency(r, r.attempts[e.Attempt], e)) / float64(r.class.LatencyObjective)
	if e.Outcome != Success {
		over = max(over, 1)
	}
	p.loadRatio += 2 / (p.window + 16) * (min(over, 1) - p.loadRatio)
	// Bare work that fills much of the aim is no crowd: it raises the target. Unknown, the floor holds.
	// Where copies outnumber servers, windows of a call or two rounded up at every copy would choke the
	// servers: while it falls, the draw makes all copies hold to it. Else rounding up lets bursts through.
	// The gain follows the room left to the target: fixed, it would leave servers idle or overshoot.
	p.windowFraction = 0
	if e.Outcome == Success && p.shedShare < maxUnloadedShedShare {
		p.unloadedSamples++
		p.unloadedRatio += max(sampleWeight/4, 1/p.unloadedSamples) * (over - p.unloadedRatio)
	}
	target := min(max(targetLoadRatio, unloadedRatioMultiple*p.unloadedRatio), maxTargetLoadRatio)
	if p.loadRatio > target {
		p.window -= windowLoss
		p.windowFraction = b.rng.Float64()
	} else if over < target && float64(p.inFlight+1) >= 0.8*p.window {
		up := windowGain * (1 - p.loadRatio/target)
		p.window += up
		p.floorServers += up / minWindowPerServer
	}
	// A list that grows in a surge says nothing of the tiers below, which would choke under a floor that
	// grew with it: base follows the list down at once, and up by answers in good time.
	p.floorServers = min(p.floorServers, p.serversPerReplica)
	p.window = max(p.window, 1, minWindowPerServer*p.floorServers)
}
