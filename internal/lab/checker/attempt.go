package checker

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// AttemptSent records that a node has sent an attempt to a server.
func (c *Checker) AttemptSent(now time.Duration, node, id, server string) {
	n, r := c.find(node, id)
	if n == nil {
		return
	}
	c.checkServer(now, n, node, id, server)
	if r == nil {
		c.report(OneAnswer, now, node, id, server, "sent for no open request")
		return
	}
	if r.answered && now > r.answeredAt+c.ObservationLag {
		c.report(OneAnswer, now, node, id, server, "sent after the final answer")
	}
	if r.attemptsInFlight > 0 {
		r.overlaps = append(r.overlaps, overlap{now, server})
		c.reportOverlaps(now, node, id, r)
	}
	if len(r.attempts) >= c.rules.MaxAttempts {
		c.report(AttemptLimit, now, node, id, server, "attempt %d of %d", len(r.attempts)+1, c.rules.MaxAttempts)
	}
	if earlier, ok := c.mayRunTwice(now, r); ok {
		c.report(NoSecondRun, now, node, id, server, "sent again although %s may have run it", earlier)
	}
	r.attempts = append(r.attempts, attempt{sentAt: now, server: server})
	r.attemptsInFlight++
}

// checkServer checks that the node knows the server and that the server is neither draining nor disabled.
func (c *Checker) checkServer(now time.Duration, n *node, node, id, server string) {
	grace := c.rules.DrainGrace + c.rules.Slack
	if state, known := n.endpoints[server]; !known {
		c.report(KnownServer, now, node, id, server, "the node was never notified of it")
	} else if !state.ready && now > state.since+grace {
		c.report(DrainGrace, now, node, id, server, "sent %.0f ms after the node was notified that the server drains or is removed", (now-state.since).Seconds()*1000)
	}
	if since, disabled := n.overridden[server]; disabled && now > since+grace {
		c.report(AdminOverride, now, node, id, server, "sent %.0f ms after an operator disabled the server", (now-since).Seconds()*1000)
	}
}

// mayRunTwice reports whether sending a request now may run it a second time although its class does not allow that, and
// returns the server that may have run it first.
func (c *Checker) mayRunTwice(now time.Duration, r *request) (server string, ok bool) {
	class := c.classes[r.class]
	for _, t := range r.attempts {
		windowOver := class.Effect == balancer.IdempotentWithKey && now > t.sentAt+class.DedupWindow
		if !t.neverRan && (class.Effect == balancer.NonIdempotent || windowOver) {
			return t.server, true
		}
	}
	return "", false
}

// reportOverlaps reports each attempt that was sent while another one was in flight and still was after ObservationLag.
func (c *Checker) reportOverlaps(now time.Duration, node, id string, r *request) {
	for len(r.overlaps) > 0 && now-r.overlaps[0].at >= c.ObservationLag {
		c.report(OneAttempt, r.overlaps[0].at, node, id, r.overlaps[0].server, "another attempt is in flight")
		r.overlaps = r.overlaps[1:]
	}
}

// SentUnobserved records an attempt that reached a server while the server was stopped. It may have run and counts toward
// the attempt limit, but neither its arrival time nor whether it is still in flight is known.
func (c *Checker) SentUnobserved(now time.Duration, node, id, server string) {
	n, r := c.find(node, id)
	if r == nil {
		return
	}
	if _, known := n.endpoints[server]; !known {
		c.report(KnownServer, now, node, id, server, "the node was never notified of it")
	}
	for _, t := range r.attempts { // the order is unknown: the first of the two may have run when the second was sent
		if !t.neverRan && c.nonIdempotent(r) {
			c.report(NoSecondRun, now, node, id, server, "sent to this server and to %s, and each may have run it", t.server)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{sentAt: now, server: server, unobserved: true})
	if len(r.attempts) > c.rules.MaxAttempts {
		c.report(AttemptLimit, now, node, id, server, "attempt %d of %d", len(r.attempts), c.rules.MaxAttempts)
	}
}

// AttemptUnobserved records that it can no longer be observed whether an attempt is in flight.
func (c *Checker) AttemptUnobserved(now time.Duration, node, id string, number int) {
	n, r := c.find(node, id)
	if r == nil || number >= len(r.attempts) || r.attempts[number].ended || r.attempts[number].unobserved {
		return
	}
	r.attempts[number].unobserved = true
	r.attemptsInFlight--
	c.forgetIfComplete(now, n, id, r)
}

// AttemptExecuted records that a server has begun to execute a request.
func (c *Checker) AttemptExecuted(now time.Duration, node, id, server string) {
	_, r := c.find(node, id)
	if r == nil {
		return
	}
	if r.executions++; r.executions > 1 && c.nonIdempotent(r) {
		c.report(NoSecondRun, now, node, id, server, "run %d of a request that must run once", r.executions)
	}
}

// AttemptEnded records the outcome of an attempt as its node sees it.
func (c *Checker) AttemptEnded(now time.Duration, node, id string, number int, outcome balancer.Outcome) {
	n, r := c.find(node, id)
	if r == nil || number >= len(r.attempts) || r.attempts[number].ended {
		return
	}
	t := &r.attempts[number]
	t.ended = true
	t.neverRan = outcome == balancer.Overloaded || outcome == balancer.Unreachable || outcome == balancer.NotSent
	if t.unobserved {
		return
	}
	c.reportOverlaps(now, node, id, r)
	r.attemptsInFlight--
	if r.attemptsInFlight <= 1 {
		r.overlaps = nil
	}
	c.forgetIfComplete(now, n, id, r)
}
