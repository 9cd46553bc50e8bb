// The lifecycle of a request, from its arrival to its one final answer.

package balancer

import (
	"slices"
	"time"
)

// request is an accepted request. Its states, and the functions that change them:
//
//	delayed    by an injected fault, until delayedUntil (delayRequest, removeDelayed)
//	queued     waits for a server, the window or the earlier requests of its key (enqueue, dequeue)
//	in flight  an attempt has no outcome yet: hasAttemptInFlight (send, handleAttemptEnded)
//	streaming  the client has part of the response: no other answer is possible (handleResponseStarted)
//	answered   it has its final answer, or its client has gone (closeRequest); attempts may be in flight
//	removed    answered, and no attempt is in flight (removeIfDone)
//
// A delayed or queued request is sent, or answered without an attempt. When an attempt ends, the request is
// retried immediately or answered. So a request is never queued again after an attempt, and an answered
// request is never sent.
type request struct {
	id           string
	class        *class
	firstTriedAt time.Duration // its arrival; for a client's retry, the estimated arrival of the first try
	deadline     time.Duration
	attempts     []*attempt
	clientRetry  bool      // the client has sent it before
	keyQueue     *keyQueue // nil: the request need not run in the order of a key
	queued       bool
	answered     bool
	streaming    bool
	timerAt      time.Duration // when its queue timer fires; 0: it has none
	streamedBody bool
	maxAttempts  int // by the settings in force when it arrived
	delayed      bool
	delayedUntil time.Duration
}

// attempt is one transmission of a request to a server. It is in flight until it has ended.
type attempt struct {
	request       *request
	server        *server
	number        int // from 0
	sentAt        time.Duration
	zone          string        // the server's, when the attempt was sent
	cell          int           // the server's, when the attempt was sent
	serverStart   time.Duration // the server's startedAt, when the attempt was sent
	ended         bool
	neverRan      bool // its outcome proves that it never ran
	outsideWindow bool // it no longer counts in the admission window
}

// hasAttemptInFlight reports whether an attempt of a request has no outcome yet.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// mayHaveRun reports whether an attempt of a request may have run, or may still run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// findAttempt returns an attempt by the ID of its request and its number, or nil if it is unknown.
func (b *Balancer) findAttempt(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return r.attempts[number]
}

// acceptRequest handles the arrival of a request. The request is denied by the access list, aborted or
// delayed by a fault injection, rejected because the queue of its key is too long, sent, or queued. A request
// whose ID is already known is ignored.
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
	if b.answersDue() {
		b.giveUp(r)
		return
	}
	if r.class.OrderedByKey && e.HasKey && !b.joinKeyQueue(r, e.Key) {
		b.giveUp(r)
		return
	}
	if fault != nil && b.delayRequest(r, fault) {
		return
	}
	b.sendOrQueue(r)
}

// addRequest creates a request and counts it.
func (b *Balancer) addRequest(e Request) *request {
	c := b.classOf(e)
	r := &request{
		id:           e.ID,
		class:        c,
		firstTriedAt: b.now,
		deadline:     b.deadlineOf(e, c),
		clientRetry:  e.ClientRetry,
		streamedBody: e.StreamedBody,
		maxAttempts:  b.MaxAttempts(e),
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

// sendOrQueue sends a request if the order of its key, the window and a server allow that now, and queues it
// otherwise.
func (b *Balancer) sendOrQueue(r *request) {
	if b.keyOrderAllows(r) && !b.windowFull(r.class.pool) {
		if s := b.chooseServer(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.enqueue(r)
}

// send starts an attempt of a request at a server. The timeout is at least the host's timer tolerance,
// because the host's timers cannot measure a shorter one.
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
	sendBy := b.dedupWindowEnd(r)
	r.attempts = append(r.attempts, a)
	b.dequeue(r)
	s.inFlight = append(s.inFlight, a)
	if s.firstRequestDue > 0 {
		s.firstRequestDue = b.now + firstRequestDelay
	}
	p.inFlight++
	if r.streamedBody {
		a.removeFromWindow()
	}
	inFlight := float64(p.inFlight)
	moveTowards(&p.peakInFlight, inFlight, slowSampleWeight)
	p.peakInFlight = max(inFlight, p.peakInFlight)
	timeout := max(b.attemptTimeout(r), b.settings.TimerTolerance)
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout, SendBy: sendBy})
}

// handleResponseStarted records that the response is being streamed to the client.
func (b *Balancer) handleResponseStarted(e ResponseStarted) {
	if a := b.findAttempt(e.ID, e.Attempt); a != nil {
		a.request.streaming = true
		a.removeFromWindow()
	}
}

// handleAttemptEnded learns from the end of an attempt, and then retries or answers its request. If an
// attempt timed out after less than the mean latency of its class, the deadline set by the client was too
// short, and the timeout is no evidence about the server or its load.
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
	if !budgetTooShort && !b.isUnresponsive(a.server) { // a wait at a hung server is no sign of load
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

// metLatencyObjective reports whether an answer met the latency objective. For a streamed response, only the
// first message has to meet it.
func (b *Balancer) metLatencyObjective(a *attempt, e AttemptEnded) bool {
	objective := a.request.firstTriedAt + a.request.class.LatencyObjective
	return b.now <= objective || a.sentAt+b.attemptLatency(a.request, a, e) <= objective
}

// giveUp gives the final answer to a request that gets no answer from a server: a rejection (503) if a retry
// by the client is certainly harmless, otherwise a failure. If the client already has part of a response, the
// request gets no other answer. The answer does not state the reason. These are all the reasons, by caller:
//
//	acceptRequest   too many requests of the same key are queued before this one (joinKeyQueue), or the
//	                process is about to end (answersDue)
//	answerAll       the process is about to end
//	enqueue         the queue deadline has passed while the request waited for a server, for the window or
//	                for the earlier requests of its key
//	enqueue, dispatchQueued
//	                the lease on the endpoint list has expired (endpointListExpired), or operators
//	                have disabled all servers that the request could be sent to (pool.allDisabled)
//	retryOrGiveUp   an attempt did not succeed, and the class or MaxAttempts allows no more (mayRetry), the
//	                retry budget is used up, too little time is left for an answer, or no server is eligible
//	                (chooseServer)
//
// A fault injection can also answer 503 (abortRequest). That action is an Abort, not a Reject.
func (b *Balancer) giveUp(r *request) {
	if r.answered || r.streaming {
		return
	}
	if len(r.attempts) == 0 {
		r.class.pool.recordShed()
	}
	retryAfter := b.settings.RetryAfter(r.class.Class)
	if b.clientMayRepeat(r, retryAfter) {
		b.emit(Reject{ID: r.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.closeRequest(r)
}

// clientMayRepeat reports whether it does no harm if the client sends a request again after a time. The
// client may do so through any node and to any server.
func (b *Balancer) clientMayRepeat(r *request, retryAfter time.Duration) bool {
	anyServerDeduplicates := r.class.Effect == Idempotent || r.class.DedupScope == ScopeAll
	return !r.mayHaveRun() || anyServerDeduplicates && b.harmlessToRepeat(r, b.now+retryAfter)
}

// closeRequest ends a request. Attempts still in flight are not canceled, and they count until they end,
// because the servers may still be working on them. Otherwise clients that disconnect early and try again
// would be given capacity that is still in use.
func (b *Balancer) closeRequest(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.dequeue(r)
	b.removeDelayed(r)
	b.removeIfDone(r)
}

// removeIfDone removes an answered request that has no attempt in flight. It also removes the request from
// the queue of its key.
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
