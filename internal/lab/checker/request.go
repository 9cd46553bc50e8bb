package checker

import "time"

// RequestAccepted records that a node has read a complete request.
func (c *Checker) RequestAccepted(now time.Duration, node, id string, class int, deadline time.Duration) {
	n := c.nodes[node]
	if n == nil {
		return
	}
	if n.requests[id] != nil {
		c.report(OneAnswer, now, node, id, "", "accepted twice under the same ID")
		return
	}
	n.requests[id] = &request{class: class, acceptedAt: now, deadline: deadline}
}

// RequestAnswered records the final answer to a request.
func (c *Checker) RequestAnswered(now time.Duration, node, id string, answer Answer) {
	n, r := c.find(node, id)
	switch {
	case n == nil:
		return
	case r == nil:
		c.report(OneAnswer, now, node, id, "", "answered although no request with this ID is open")
		return
	case r.answered:
		c.report(OneAnswer, now, node, id, "", "answered a second time")
		return
	}
	r.answered, r.answeredAt = true, now
	if now > r.deadline+c.rules.Slack && !r.clientGone && !r.excused {
		c.report(InTime, now, node, id, "", "answered %.0f ms after its deadline", (now-r.deadline).Seconds()*1000)
	}
	if answer == Served && r.executions == 0 {
		c.report(GenuineAnswer, now, node, id, "", "served although no server has executed it")
	}
	if answer == Rejected && c.nonIdempotent(r) {
		c.checkRejection(now, node, id, r)
	}
	c.forgetIfComplete(now, n, id, r)
}

// checkRejection checks that a rejected non-idempotent request was not executed, because its client will retry it.
func (c *Checker) checkRejection(now time.Duration, node, id string, r *request) {
	for _, t := range r.attempts {
		if !t.neverRan {
			c.report(SafeRejection, now, node, id, t.server, "rejected although it may have run there")
			return
		}
	}
}

// ConnectionDropped records that the node ended the connection of an accepted request without a complete answer.
func (c *Checker) ConnectionDropped(now time.Duration, node, id string) {
	n, r := c.find(node, id)
	if r == nil || r.answered {
		return
	}
	if !r.excused {
		c.report(NothingLost, now, node, id, "", "its connection ended without an answer")
	}
	r.answered, r.answeredAt = true, now
	c.forgetIfComplete(now, n, id, r)
}

// ClientGone records that a client has left: its request needs no answer.
func (c *Checker) ClientGone(now time.Duration, node, id string) {
	if n, r := c.find(node, id); r != nil {
		r.clientGone, r.answered, r.answeredAt = true, true, now
		c.forgetIfComplete(now, n, id, r)
	}
}

// answeredRequest is an answered request that is kept until ObservationLag has passed.
type answeredRequest struct {
	at      time.Duration
	node    *node
	id      string
	request *request
}

// forgetIfComplete drops a request about which no further events are expected. With an observation lag this is known only
// after the lag.
func (c *Checker) forgetIfComplete(now time.Duration, n *node, id string, r *request) {
	for len(c.answeredRequests) > 0 && now > c.answeredRequests[0].at+c.ObservationLag {
		c.answeredRequests[0].forget()
		c.answeredRequests = c.answeredRequests[1:]
	}
	answered := answeredRequest{now, n, id, r}
	switch {
	case !r.answered:
	case c.ObservationLag > 0:
		c.answeredRequests = append(c.answeredRequests, answered)
	default:
		answered.forget()
	}
}

// forget drops the request unless an attempt is in flight. A request with several attempts is kept: a server may still
// report that it executed an attempt whose outcome said that it never ran.
func (a answeredRequest) forget() {
	if r := a.request; r.answered && r.attemptsInFlight == 0 && len(r.attempts) < 2 && a.node.requests[a.id] == r {
		delete(a.node.requests, a.id)
	}
}
