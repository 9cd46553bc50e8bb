// Admission window: how many own attempts a pool of the first tier may have in flight.

package balancer

import "math"

const (
	// initialWindowPerServer is how many attempts a server are admitted before anything is known.
	initialWindowPerServer = 5.0
	// minWindowPerServer is how many attempts a server are always admitted: with fewer, a single slow
	// answer would close the window, and nothing would be learned that opens it again.
	minWindowPerServer = 5.0
	// minWindow is the least window: with none, no answer would ever open it again.
	minWindow = 1

	// targetLoadRatio is the mean latency, over the latency objective, that the window steers to. Half of
	// the objective is left for the spread of latencies.
	targetLoadRatio = 0.5
	// unloadedRatioMultiplier raises the target to so many times the ratio without overload, where that is
	// more: work that takes most of the objective by itself is no overload.
	unloadedRatioMultiplier = 1.4
	// maxTargetLoadRatio is the highest target: above it too many answers would miss the objective.
	maxTargetLoadRatio = 0.7
	// maxUnloadedShedShare is the share of shed requests above which answers tell of an overload rather
	// than of the time that the work takes by itself.
	maxUnloadedShedShare = 0.02

	// maxWindowIncrement is the attempts by which an answer in good time raises the window, times the free part of
	// the target.
	maxWindowIncrement = 1.0
	// windowDecrement is the attempts by which an answer lowers the window while the mean is above the target: a
	// tenth of the window by as many answers as it holds. Answers to attempts that were sent before the
	// first step come late too; larger steps would punish one overload many times.
	windowDecrement = 0.1
	// minWindowUse is the part of the window that must be in use for it to grow: an idle node learns
	// nothing of what the tiers below can take.
	minWindowUse = 0.8

	// An answer moves the load ratio by the weight loadWeightNumerator/(window+loadWeightOffset), which is
	// 2/(window+16): answers of a larger window come faster, and each tells less.
	loadWeightNumerator = 2
	// loadWeightOffset, in attempts, keeps a single answer in a small window from moving the load ratio by
	// much.
	loadWeightOffset = 16
)

// windowFull says that a pool has as many attempts out as the tiers below answer in good time, or no
// server. Only tier 0 holds back: a request rejected further down wastes the work done above it.
func (b *Balancer) windowFull(p *pool) bool {
	if len(p.inService) == 0 {
		return true
	}
	return b.settings.Tier == 0 && float64(p.inFlight) >= math.Ceil(p.window-p.roundingDraw)
}

// removeFromWindow ends the count of an attempt in the window, once. A streamed message is slow for its
// client's sake: its server does nothing before it has all of a request, and no more while a response is
// read. Were these counted, a few slow clients would cause the rejection of all others. As attempts at their
// servers they count to the end.
func (a *attempt) removeFromWindow() {
	if !a.outsideWindow {
		a.outsideWindow = true
		a.request.class.pool.inFlight--
	}
}

// adjustWindow moves the window so that the mean latency stays at a part of the latency objective. Input:
// the end of an attempt, which no longer counts (removeFromWindow). Output: the window, in attempts.
//
// Servers that are sent more than they can work on answer all of it late, and clients that time out ask
// again: an overload that feeds itself. So the excess must wait or be shed here, before it costs the tiers
// below anything. It shows as latencies at the objective with all servers busy and few answers in time.
// Outcomes that tell nothing of the load are left out.
func (b *Balancer) adjustWindow(r *request, e AttemptEnded) {
	if b.settings.Tier > 0 || e.Outcome == Canceled || e.Outcome == NotSent || e.Outcome == Failure {
		return
	}
	p, ratio := r.class.pool, b.latencyRatio(r, e)
	p.updateLoadRatio(ratio, e.Outcome)
	b.raiseOrLowerWindow(p, ratio)
	p.enforceWindowFloor()
}

// latencyRatio is how long an attempt took, over the latency objective; at least 1 if it did not succeed.
func (b *Balancer) latencyRatio(r *request, e AttemptEnded) float64 {
	ratio := float64(b.attemptLatency(r, r.attempts[e.Attempt], e)) / float64(r.class.LatencyObjective)
	if e.Outcome != Success {
		ratio = max(ratio, 1)
	}
	return ratio
}

// updateLoadRatio takes the latency ratio of an attempt into the load ratio and, if it succeeded while next to
// nothing was shed, into the ratio without overload.
func (p *pool) updateLoadRatio(ratio float64, outcome Outcome) {
	moveTowards(&p.loadRatio, min(ratio, 1), loadWeightNumerator/(p.window+loadWeightOffset))
	if outcome == Success && p.shedShare < maxUnloadedShedShare {
		p.unloadedSamples++
		moveTowards(&p.unloadedRatio, ratio, max(slowSampleWeight, 1/p.unloadedSamples))
	}
}

// raiseOrLowerWindow lowers the window while the load ratio is above the target, and raises it by an answer in good
// time that has found the window in use. Its attempt no longer counts in the window (removeFromWindow): +1
// puts it back.
func (b *Balancer) raiseOrLowerWindow(p *pool, ratio float64) {
	target := min(max(targetLoadRatio, unloadedRatioMultiplier*p.unloadedRatio), maxTargetLoadRatio)
	p.roundingDraw = 0
	if p.loadRatio > target {
		b.lowerWindow(p)
	} else if ratio < target && float64(p.inFlight+1) >= minWindowUse*p.window {
		p.raiseWindow(target)
	}
}

// lowerWindow lowers a window. Where replicas outnumber servers, windows of an attempt or two that are
// rounded up at every replica would overload the servers: while the window falls, a draw rounds it up or
// down (windowFull), so that all replicas together hold to it. At other times the draw is 0 and the window
// is rounded up, which lets bursts through.
func (b *Balancer) lowerWindow(p *pool) {
	p.window -= windowDecrement
	p.roundingDraw = b.rng.Float64()
}

// raiseWindow raises a window by the free part of the target: a fixed step would leave servers idle, or
// overshoot.
func (p *pool) raiseWindow(target float64) {
	gain := maxWindowIncrement * (1 - p.loadRatio/target)
	p.window += gain
	p.floorServers += gain / minWindowPerServer
}

// enforceWindowFloor keeps a window at its floor. The floor follows the list of servers down at once, and up
// only by answers in good time: a list that grows in a surge says nothing of the tiers below, which a floor
// that grew with it would overload. floorServers is fractional: it is a replica's part of the servers, and
// grows with the window by parts of an attempt.
func (p *pool) enforceWindowFloor() {
	p.floorServers = min(p.floorServers, p.serversPerReplica)
	p.window = max(p.window, minWindow, minWindowPerServer*p.floorServers)
}
