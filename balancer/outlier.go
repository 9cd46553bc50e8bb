// Outlier detection and ejection: what is learned of a class and of a server from how attempts end.

package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	maxTimeoutRunChance    = 0.08  // a run of time-outs likelier than this by the peers' share of bad endings is luck
	maxErrorRunChance      = 0.001 // the same for a run that ends in an error or a reset, which says less of the server
	unresponsiveDeviations = 3.0   // deviations above the mean at which a wait counts as overlong
	probationSuccesses     = 3     // good endings in a row that end a trial
	maxExcludedShare       = 0.2   // share of the list that health may exclude; beyond that all are drawn
	ejectionLatencies      = 12    // mean latencies that a first ejection, or a lack of room, lasts
	maxBackoffLevel        = 5     // doublings of an ejection
)

// ruledOut marks the servers that health keeps out: the worst, up to a share of the list. Where many look bad
// to one node, the fault is likelier its own or the tier below's. The share falls as more is shed: time-outs
// in overload show load rather than ill health. One may always be out: a server that errs at once would win
// most draws, and one that is cut off would fill the window and cause the shedding that kept it in.
func (b *Balancer) excludeOutliers(r *request, list []*server) []bool {
	out := make([]bool, len(list))
	var sick []int
	for i, s := range list {
		if b.isOutlier(s, r) {
			sick = append(sick, i)
		}
	}
	slices.SortStableFunc(sick, func(i, j int) int { return list[j].consecutiveFailures - list[i].consecutiveFailures })
	most := max(int(maxExcludedShare*(1-r.class.pool.shedShare)*float64(len(list))), 1)
	for _, i := range sick[:min(len(sick), most)] {
		out[i] = true
	}
	return out
}

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) isOutlier(s *server, r *request) bool {
	if b.now < s.ejectedUntil || b.isUnresponsive(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat many requests, nor one
	// that cannot be repeated. Where nothing safe comes for as long again, an unsafe one must do.
	early := r.class.Effect == NonIdempotent && b.now < s.ejectedUntil+time.Duration(ejectionLatencies*r.class.meanLatency)
	return s.ejectionLevel > 0 && s.consecutiveSuccesses == 0 && (early || s.inFlightCount() > 0)
}

// silent says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) isUnresponsive(s *server) bool {
	i := slices.IndexFunc(s.inFlight, func(a *attempt) bool {
		return a.serverStart == s.startedAt() && !a.request.streamedBody && !a.request.streaming
	})
	if i < 0 {
		return false
	}
	a := s.inFlight[i]
	wait := a.request.class.latencyBound(unresponsiveDeviations)
	return b.now-a.sentAt > wait && b.lastSuccess > a.sentAt+wait/2 && s.lastSuccess < a.sentAt+wait/2
}

// latency is how long an attempt took; of what is passed on as it comes, from its last byte till the answer's
// first, as the host has seen it.
func (b *Balancer) attemptLatency(r *request, a *attempt, e AttemptEnded) time.Duration {
	if r.streaming || r.streamedBody {
		return e.Latency
	}
	return b.now - a.sentAt
}

// longest is a wait that most of a class's answers stay well under, the more the larger the spread.
func (c *class) latencyBound(spread float64) time.Duration {
	return time.Duration(c.meanLatency + spread*c.latencyDeviation)
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) recordOutcome(a *attempt, e AttemptEnded) {
	s, c := a.server, a.request.class
	if a.serverStart != s.startedAt() { // sent to its process before this one: no longer of any weight
		s = &server{}
	}
	took := float64(b.attemptLatency(a.request, a, e))
	if e.Outcome == Success || e.Outcome == TimedOut {
		c.pool.learnZoneLatency(slices.Contains(c.pool.preferred, a.server), math.Log(max(took, 1)/c.meanLatency))
	}
	switch e.Outcome {
	case Success:
		b.retryBalance = min(maxRetryBalance, b.retryBalance+retryRefill)
		b.lastSuccess, s.lastSuccess = b.now, b.now
		if c.samples++; c.samples == 1 {
			c.meanLatency, c.latencyDeviation = took, took/2 // in place of the guess, as TCP does with a first round trip
		}
		w := max(sampleWeight, 1/c.samples)
		c.latencyDeviation += w * (math.Abs(took-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += w * (took - c.meanLatency)
		if s.inFlightCount()+1 >= s.capacityLimit { // it answers with all that it had room for: its queue has moved on
			s.capacityLimit++
		}
		s.consecutiveFailures, s.consecutiveRejections, s.firstRequestDue = 0, 0, 0
		b.errorRate = max(0.01, b.errorRate-sampleWeight*b.errorRate)
		if s.consecutiveSuccesses++; s.consecutiveSuccesses >= probationSuccesses && s.ejectionLevel > 0 {
			s.ejectionLevel, s.consecutiveSuccesses = s.ejectionLevel-1, 1
		}
	case Overloaded, Unreachable:
		s.capacityLimit = s.inFlightCount()
		s.capacityLimitUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.meanLatency)<<s.consecutiveRejections
		s.consecutiveRejections = min(s.consecutiveRejections+1, maxBackoffLevel)
	case Failure, ConnectionLost, TimedOut:
		s.consecutiveFailures++
		s.consecutiveSuccesses = 0
		// Errors that strike everywhere come from the tier below; ejecting on them would leave nobody. A
		// run counts only if the peers' share makes it unlikely, and by the hundredth call one error is not.
		luck := maxErrorRunChance
		if e.Outcome == TimedOut {
			luck = maxTimeoutRunChance
		}
		if b.now >= s.ejectedUntil && math.Pow(b.errorRate, float64(s.consecutiveFailures)) < luck {
			s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionLevel // doubles while trials fail
			s.ejectionLevel = min(s.ejectionLevel+1, maxBackoffLevel)
		}
		b.errorRate += sampleWeight * (1 - b.errorRate)
	}
}
