// A request's way from its arrival to its one final answer.

package balancer

import (
	"slices"
	"time"
)

// request is an accepted request. Its states, and who changes them:
//
//	delayed      by an injected fault, until delayedUntil (delayRequest, removeDelayed)
//	queued       waits for a server, the window or its turn among those of its key (enqueue, dequeue)
//	attempt out  an attempt has no outcome yet: hasAttemptOut (send, handleAttemptEnded)
//	streaming    the client has part of the response: no other answer is possible (handleResponseStarted)
//	answered     it has its final answer, or its client has gone (closeRequest); attempts may still be out
//	forgotten    answered and without attempts out (forgetIfDone)
//
// From delayed or queued it goes to attempt out; from there to answered, or to the next attempt by a retry,
// which is sent at once or not at all. So a request is never queued again, nor is an answered one sent.
type request struct {
	id           string
	class        *class
	firstTriedAt time.Duration // its arrival; of a client's retry, an estimate of the first try's
	deadline     time.Duration
	attempts     []*attempt
	clientRetry  bool      // the client has asked before
	keyQueue     *keyQueue // nil: it keeps no order
	queued       bool
	answered     bool
	streaming    bool
	timerAt      time.Duration // when its queue timer fires
	streamedBody bool
	maxAttempts  int // by the settings that it came with
	delayed      bool
	delayedUntil time.Duration
}

// attempt is one send of a request. It is out until it has ended.
type attempt struct {
	request       *request
	server        *server
	number        int // from 0
	sentAt        time.Duration
	zone          string // of the server, when it was sent
	cell          int
	serverStart   time.Duration
	ended         bool
	neverRan      bool // proven by its outcome
	outsideWindow bool // it no longer counts in the admission window
}

// hasAttemptInFlight says that an attempt of a request has no outcome yet.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// mayHaveRun says that an attempt of a request may have run, or may run yet.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// findAttempt returns the attempt of a number of a request, nil if either is unknown.
func (b *Balancer) findAttempt(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return r.attempts[number]
}

// acceptRequest takes a request in. It is denied by the access list, aborted or delayed by a fault
// injection, rejected for the length of its key's queue, sent or queued. A request whose ID is known is
// ignored.
func (b *Balancer) acceptRequest(e Request) {
	if !b.settings.AccessList.Allows(e.Client) {
		b.emit(Deny{ID: e.ID})
		return
	}
	if b.requests[e.ID] != nil {
		return
	}
	fault := b.drawFaultInjection(e)
	if fault != nil && fault.AbortStatus != 0 {
		b.abortRequest(e, fault)
		return
	}
	r := b.addRequest(e)
	if r.class.OrderedByKey && e.HasKey && !b.joinKeyQueue(r, e.Key) {
		b.giveUp(r)
		return
	}
	if fault != nil && b.delayRequest(r, fault) {
		return
	}
	b.sendOrQueue(r)
}

// addRequest makes a request known and counts it. It has the time that its client gives, but no more than
// its class has: one that claimed an hour would hold its place in the window for as long, and outlive a
// node that shuts down.
func (b *Balancer) addRequest(e Request) *request {
	c := b.classOf(e)
	r := &request{
		id:           e.ID,
		class:        c,
		firstTriedAt: b.now,
		deadline:     min(e.Deadline, b.now+c.Deadline),
		clientRetry:  e.ClientRetry,
		streamedBody: e.StreamedBody,
		maxAttempts:  b.MaxAttempts(),
	}
	b.requests[e.ID] = r
	b.detectClientRetry(r)
	for _, other := range b.classList {
		other.arrivals *= countDecay
		other.served *= countDecay
	}
	c.arrivals++
	return r
}

// sendOrQueue sends a request, or queues it while no server may take it.
func (b *Balancer) sendOrQueue(r *request) {
	if b.keyOrderAllows(r) && !b.windowFull(r.class.pool) {
		if s := b.chooseServer(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.enqueue(r)
}

// send starts an attempt of a request at a server. Its time-out is no shorter than the host's timers can
// keep.
func (b *Balancer) send(r *request, s *server) {
	a := &attempt{
		request:     r,
		server:      s,
		number:      len(r.attempts),
		sentAt:      b.now,
		zone:        s.Zone,
		cell:        s.Cell,
		serverStart: s.startedAt(),
	}
	p := r.class.pool
	if a.number == 0 {
		p.recordAdmitted()
	}
	r.attempts = append(r.attempts, a)
	b.dequeue(r)
	s.inFlight = append(s.inFlight, a)
	if s.firstRequestDue > 0 {
		s.firstRequestDue = b.now + firstRequestAfter
	}
	p.inFlight++
	if r.streamedBody {
		a.removeFromWindow()
	}
	inFlight := float64(p.inFlight)
	moveTowards(&p.peakInFlight, inFlight, slowSampleWeight)
	p.peakInFlight = max(inFlight, p.peakInFlight)
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: max(b.attemptTimeout(r), b.settings.TimerTolerance)})
}

// handleResponseStarted notes that a response is streamed to the client.
func (b *Balancer) handleResponseStarted(e ResponseStarted) {
	if a := b.findAttempt(e.ID, e.Attempt); a != nil {
		a.request.streaming = true
		a.removeFromWindow()
	}
}

// handleAttemptEnded takes in the end of an attempt: what it teaches, and what becomes of its request. A
// client that gave less time than answers take has timed out by its own choice: that says nothing of the
// server or its load.
func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	a := b.findAttempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	r := a.request
	a.ended = true
	a.neverRan = e.Outcome.NeverRan()
	a.removeFromWindow()
	b.startQuietPeriod(r, e.Outcome)
	budgetTooShort := e.Outcome == TimedOut && b.now-a.sentAt < time.Duration(r.class.meanLatency)
	if !budgetTooShort && !b.isUnresponsive(a.server) { // waits at a hung server say nothing of the load
		b.adjustWindow(r, e)
	}
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(o *attempt) bool { return o == a })
	if !budgetTooShort {
		b.recordOutcome(a, e)
	}
	if !a.server.listed && a.server.inFlightCount() == 0 && b.servers[a.server.ID] == a.server {
		delete(b.servers, a.server.ID)
	}
	switch {
	case e.RequestDone:
		if e.Outcome == Success && !r.answered && b.metLatencyObjective(a, e) {
			r.class.served++
		}
		b.closeRequest(r)
	case !r.answered && !r.hasAttemptInFlight():
		b.retryOrGiveUp(r)
	}
	b.removeIfDone(r)
}

// metLatencyObjective says that an answer met the latency objective. Of a stream that is its first message.
func (b *Balancer) metLatencyObjective(a *attempt, e AttemptEnded) bool {
	objective := a.request.firstTriedAt + a.request.class.LatencyObjective
	return b.now <= objective || a.sentAt+b.attemptLatency(a.request, a, e) <= objective
}

// giveUp gives the final answer to a request that gets none from a server: a rejection (503) where a retry
// by the client is surely harmless, else a failure. A request of which the client has part of a response
// gets no other answer. The answer does not say why; these are all the reasons:
//
//	acceptRequest   too many requests of its key are queued before it (joinKeyQueue)
//	enqueue         its queue deadline is over, and no server, window or key queue has let it go
//	enqueue, dispatchQueued
//	                the lease on the endpoint list has expired (listUnreliable), or operators have
//	                disabled all servers that it could go to (pool.allDisabled)
//	retryOrGiveUp   after an attempt that did not succeed: its class or MaxAttempts allows no other
//	                (mayRetry), the retry budget is used up, too little time is left for an answer, or no
//	                server is eligible for it (chooseServer)
//
// A fault injection may answer 503 as well (abortRequest), as Abort rather than Reject.
func (b *Balancer) giveUp(r *request) {
	if r.answered || r.streaming {
		return
	}
	if len(r.attempts) == 0 {
		r.class.pool.recordShed()
	}
	anyServerDeduplicates := r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll
	if r.class.Effect == Idempotent || anyServerDeduplicates || !r.mayHaveRun() {
		b.emit(Reject{ID: r.id, RetryAfter: b.settings.RetryAfter(r.class.Class)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.closeRequest(r)
}

// closeRequest ends a request. Attempts that are still out are not called off and count until they end:
// servers may work on regardless, and their capacity is not there for clients that leave early and ask
// again.
func (b *Balancer) closeRequest(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.dequeue(r)
	b.removeDelayed(r)
	b.removeIfDone(r)
}

// removeIfDone drops a request once nothing of it is left.
func (b *Balancer) removeIfDone(r *request) {
	if !r.answered || r.hasAttemptInFlight() || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	if queue := r.keyQueue; queue != nil {
		queue.requests = removeRequest(queue.requests, r)
		b.dropOrRearmKeyQueue(queue)
	}
}
