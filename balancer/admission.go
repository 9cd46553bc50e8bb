// Admission window: how many of its attempts a Balancer may have in flight in a pool of the first tier.

package balancer

import "math"

const (
	// initialWindowPerServer is how many attempts per server are admitted before any latency is known.
	initialWindowPerServer = 5.0
	// minWindowPerServer is how many attempts per server are always admitted: with fewer, a single slow
	// answer would close the window, and no further answers would arrive to open it again.
	minWindowPerServer = 5.0
	// minWindow is the smallest window: with a window of zero, no answer would arrive to open it again.
	minWindow = 1

	// targetLoadRatio is the load ratio that the window is steered to. The load ratio is the mean latency
	// divided by the latency objective. Half of the objective is left for the spread of latencies.
	targetLoadRatio = 0.5
	// unloadedRatioMultiplier: the target is raised to this multiple of the unloaded ratio
	// (pool.unloadedRatio) if that is higher, because work that takes most of the objective even without load
	// is not an overload.
	unloadedRatioMultiplier = 1.4
	// maxTargetLoadRatio is the highest target: above it, too many answers would miss the objective.
	maxTargetLoadRatio = 0.7
	// maxUnloadedShedShare is the share of shed requests above which latencies show an overload rather than
	// the time that the work takes without load.
	maxUnloadedShedShare = 0.02

	// maxWindowIncrement is the number of attempts by which an answer below the target raises the window
	// while the load ratio is 0. The increment falls to 0 as the load ratio approaches the target.
	maxWindowIncrement = 1.0
	// windowDecrement is the number of attempts by which an answer lowers the window while the load ratio is
	// above the target: one answer for each attempt in a full window lowers it by a tenth in total. Attempts
	// that were sent before the first step are answered late as well, and with larger steps the window would
	// react to one overload many times.
	windowDecrement = 0.1
	// minWindowUse is the part of the window that must be in use for it to grow: an idle node learns nothing
	// about the capacity of deeper tiers.
	minWindowUse = 0.8

	// An answer moves the load ratio with the weight loadWeightNumerator/(window+loadWeightOffset), which is
	// 2/(window+16): with a larger window, answers arrive faster and each one says less.
	loadWeightNumerator = 2
	// loadWeightOffset, in attempts, keeps a single answer from moving the load ratio of a small window by
	// much.
	loadWeightOffset = 16
)

// windowFull reports whether a pool has no server, or has as many attempts in flight as its window admits.
// Only tier 0 limits them: rejecting a request at a deeper tier wastes the work already done for it.
func (b *Balancer) windowFull(p *pool) bool {
	if len(p.inService) == 0 {
		return true
	}
	return b.settings.Tier == 0 && float64(p.inFlight) >= math.Ceil(p.window-p.roundingDraw)
}

// removeFromWindow stops counting an attempt in the window: when the attempt ends, or earlier if its body or
// its response is streamed. Repeated calls change nothing. A streamed message is slow because of its client:
// the server does no work before it has received the whole request, and none while the client reads the
// response. If such attempts counted, a few slow clients would cause the rejection of all others. They still
// count as attempts in flight at their servers until they end.
func (a *attempt) removeFromWindow() {
	if !a.outsideWindow {
		a.outsideWindow = true
		a.request.class.pool.inFlight--
	}
}

// adjustWindow moves the window so that the load ratio stays at its target. Input: the end of an attempt,
// which no longer counts in the window (removeFromWindow). Output: the window, in attempts.
//
// Servers that are sent more requests than they can process answer all of them late, and clients that time
// out retry, which makes the overload worse. The excess must therefore wait or be shed here, before it costs
// deeper tiers anything. Without this, latencies reach the objective, all servers are busy and few answers
// are in time. Outcomes that show nothing about the load are ignored.
func (b *Balancer) adjustWindow(r *request, e AttemptEnded) {
	if b.settings.Tier > 0 || e.Outcome == Canceled || e.Outcome == NotSent || e.Outcome == Failure {
		return
	}
	p, ratio := r.class.pool, b.latencyRatio(r, e)
	p.updateLoadRatio(ratio, e.Outcome)
	b.raiseOrLowerWindow(p, ratio)
	p.enforceWindowFloor()
}

// latencyRatio returns how long an attempt took, relative to the latency objective. It is at least 1 if the
// attempt did not succeed.
func (b *Balancer) latencyRatio(r *request, e AttemptEnded) float64 {
	ratio := float64(b.attemptLatency(r, r.attempts[e.Attempt], e)) / float64(r.class.LatencyObjective)
	if e.Outcome != Success {
		ratio = max(ratio, 1)
	}
	return ratio
}

// updateLoadRatio updates the load ratio with the latency ratio of an attempt. If the attempt succeeded while
// hardly any load was shed, it also updates the unloaded ratio.
func (p *pool) updateLoadRatio(ratio float64, outcome Outcome) {
	moveTowards(&p.loadRatio, min(ratio, 1), loadWeightNumerator/(p.window+loadWeightOffset))
	if outcome == Success && p.shedShare < maxUnloadedShedShare {
		p.unloadedSamples++
		moveTowards(&p.unloadedRatio, ratio, max(slowSampleWeight, 1/p.unloadedSamples))
	}
}

// raiseOrLowerWindow lowers the window while the load ratio is above the target. It raises the window if the
// attempt took less than the target and the window was in use. The attempt no longer counts in the window
// (removeFromWindow), so it is added back (+1) to see how much of the window was in use.
func (b *Balancer) raiseOrLowerWindow(p *pool, ratio float64) {
	target := min(max(targetLoadRatio, unloadedRatioMultiplier*p.unloadedRatio), maxTargetLoadRatio)
	p.roundingDraw = 0
	if p.loadRatio > target {
		b.lowerWindow(p)
	} else if ratio < target && float64(p.inFlight+1) >= minWindowUse*p.window {
		p.raiseWindow(target)
	}
}

// lowerWindow lowers a window by one step. Where replicas outnumber servers, a window is one or two attempts,
// and if every replica rounded it up, they would together overload the servers. While the window falls, a
// random draw therefore rounds it up or down (windowFull), so that all replicas together stay within their
// windows. At other times the draw is 0 and the window is rounded up, which admits bursts.
func (b *Balancer) lowerWindow(p *pool) {
	p.window -= windowDecrement
	p.roundingDraw = b.rng.Float64()
}

// raiseWindow raises a window in proportion to the distance of the load ratio from the target: a fixed step
// would be too small far from the target, which leaves servers idle, or too large near it.
func (p *pool) raiseWindow(target float64) {
	gain := maxWindowIncrement * (1 - p.loadRatio/target)
	p.window += gain
	p.floorServers += gain / minWindowPerServer
}

// enforceWindowFloor keeps a window at or above its floor. The floor falls as soon as the endpoint list
// shrinks, but rises only with answers below the target: a list that grows in a surge of traffic says
// nothing about the capacity of deeper tiers, and a floor that grew with it would overload them. floorServers
// is fractional: it is this replica's share of the servers, and grows with the window by fractions of an
// attempt.
func (p *pool) enforceWindowFloor() {
	p.floorServers = min(p.floorServers, p.serversPerReplica)
	p.window = max(p.window, minWindow, minWindowPerServer*p.floorServers)
}
