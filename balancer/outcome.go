// What the end of an attempt teaches.

package balancer

import (
	"math"
	"slices"
	"time"
)

// attemptLatency is how long an attempt took; of a streamed body or response, from its last byte until the
// first of the response, as the host has measured.
func (b *Balancer) attemptLatency(r *request, a *attempt, e AttemptEnded) time.Duration {
	if r.streaming || r.streamedBody {
		return e.Latency
	}
	return b.now - a.sentAt
}

// recordOutcome learns from the end of an attempt: the latency of its class and zone, and the health and
// capacity of its server. An attempt sent to an earlier process of the server says nothing of the present
// one.
func (b *Balancer) recordOutcome(a *attempt, e AttemptEnded) {
	s, c := a.server, a.request.class
	if a.serverStart != s.startedAt() {
		s = &server{} // thrown away with what is learned of it
	}
	latency := float64(b.attemptLatency(a.request, a, e))
	if e.Outcome == Success || e.Outcome == TimedOut {
		logRatio := math.Log(max(latency, 1) / c.meanLatency)
		c.pool.learnZoneLatency(slices.Contains(c.pool.preferred, a.server), logRatio)
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

// recordSuccess learns from an answer and its latency in nanoseconds.
func (b *Balancer) recordSuccess(s *server, c *class, latency float64) {
	b.refillRetryBudget()
	b.lastSuccess, s.lastSuccess = b.now, b.now
	c.recordLatency(latency)
	s.relaxCapacityLimit()
	s.firstRequestDue = 0
	b.endFailureRun(s)
}
