// What is learned from the end of an attempt.

package balancer

import (
	"math"
	"slices"
	"time"
)

// attemptLatency returns how long an attempt took. If the body or the response is streamed, it is the time
// from the last byte of the body to the first byte of the response, as measured by the host.
func (b *Balancer) attemptLatency(r *request, a *attempt, e AttemptEnded) time.Duration {
	if r.streaming || r.streamedBody {
		return e.Latency
	}
	return b.now - a.sentAt
}

// recordOutcome learns from the end of an attempt: the latency of its class and zone, and the health and
// capacity of its server. An attempt that was sent to a previous process of the server says nothing about the
// current one.
func (b *Balancer) recordOutcome(a *attempt, e AttemptEnded) {
	s, c := a.server, a.request.class
	if a.serverStart != s.startedAt() {
		s = &server{} // discarded, with everything recorded in it
	}
	latency := float64(b.attemptLatency(a.request, a, e))
	if e.Outcome == Success || e.Outcome == TimedOut {
		logRatio := math.Log(max(latency, 1) / c.meanLatency)
		c.pool.recordZoneLatency(slices.Contains(c.pool.preferred, a.server), logRatio)
	}
	switch e.Outcome {
	case Success:
		b.recordSuccess(s, c, latency)
	case Overloaded, Unreachable:
		b.recordRejection(s, c)
	case Failure, ConnectionLost, TimedOut:
		b.recordFailure(s, c, e.Outcome)
	}
}

// recordSuccess learns from a success and its latency in nanoseconds.
func (b *Balancer) recordSuccess(s *server, c *class, latency float64) {
	b.refillRetryBudget()
	b.lastSuccess, s.lastSuccess = b.now, b.now
	c.recordLatency(latency)
	s.relaxCapacityLimit()
	s.firstRequestDue = 0
	b.endFailureRun(s)
}
