// A request's way from its arrival to its one final answer.

package balancer

import (
	"slices"
	"time"
)

const retryAfterDivisor = 10 // part of the aim after which a refused client should ask again

func (b *Balancer) acceptRequest(e Request) {
	if !b.settings.AccessList.Allows(e.Client) {
		b.emit(Deny{ID: e.ID})
		return
	}
	if b.requests[e.ID] != nil {
		return
	}
	drill := b.drawFaultInjection(e)
	if drill != nil && drill.AbortStatus != 0 {
		b.abortRequest(e, drill)
		return
	}
	c := b.classes[e.Class]
	if e.SettingsVersion < b.settingsVersion && b.previousClasses[e.Class] != nil { // what it came with
		c = b.previousClasses[e.Class]
	}
	if c == nil {
		c = b.classList[len(b.classList)-1] // unknown: unsafe
	}
	r := &request{id: e.ID, class: c, arrived: b.now, deadline: min(e.Deadline, b.now+c.Deadline),
		clientRetry: e.ClientRetry, streamedBody: e.StreamedBody, maxAttempts: b.MaxAttempts()}
	b.requests[e.ID] = r
	b.detectClientRetry(r)
	for _, k := range b.classList {
		k.arrivals *= 0.99
		k.served *= 0.99
	}
	c.arrivals++
	if c.OrderedByKey && e.HasKey && !b.joinKeyQueue(r, e.Key) {
		b.giveUp(r)
		return
	}
	if drill != nil && b.delayRequest(r, drill) {
		return
	}
	b.sendOrQueue(r)
}

// backdate finds when the client first asked. Tries are all given the same time unless the class's
// deadline, which runs over all of them, ends sooner: a shorter one tells how much is over already. Where
// clients mark repeats only the mark counts, for a last try may be given more time than the first. What is
// usual is the middle of what comes: one client's long budgets would make everybody else's tries look short.
func (b *Balancer) detectClientRetry(r *request) {
	left, c := r.deadline-b.now, r.class
	switch {
	case c.typicalBudget == 0:
		c.typicalBudget = left
	case left > c.typicalBudget:
		c.typicalBudget += c.typicalBudget / 100
	default:
		c.typicalBudget -= c.typicalBudget / 100
	}
	short := float64(left) < 0.95*float64(c.typicalBudget)
	if b.settings.Tier == 0 && (r.clientRetry || short && !b.settings.ClientsMarkRetries) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// place sends a request, or holds it while no server may take it.
func (b *Balancer) sendOrQueue(r *request) {
	if b.keyOrderAllows(r) && !b.windowFull(r.class.pool) {
		if s := b.chooseServer(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.enqueue(r)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{request: r, server: s, number: len(r.attempts), sentAt: b.now, zone: s.Zone, cell: s.Cell}
	a.serverStart = s.startedAt()
	p := r.class.pool
	if a.number == 0 {
		p.shedShare -= sampleWeight / 4 * p.shedShare
	}
	r.attempts = append(r.attempts, a)
	b.dequeue(r)
	s.inFlight = append(s.inFlight, a)
	if s.firstRequestDue > 0 {
		s.firstRequestDue = b.now + firstRequestAfter
	}
	p.inFlight++
	if r.streamedBody {
		a.leaveWindow()
	}
	p.peakInFlight = max(float64(p.inFlight), p.peakInFlight-sampleWeight/4*(p.peakInFlight-float64(p.inFlight)))
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: max(b.attemptTimeout(r), b.settings.Tick)})
}

func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.neverRan = e.Outcome.NeverRan()
	a.leaveWindow()
	if l := r.keyQueue; l != nil && (e.Outcome == TimedOut || e.Outcome == ConnectionLost || e.Outcome == Canceled) {
		l.quietUntil = b.now + b.settings.KeyQuietPeriod // it may still run
	}
	// A client that gave less time than answers take tells of itself: neither of the server nor of a crowd.
	brief := e.Outcome == TimedOut && b.now-a.sentAt < time.Duration(r.class.meanLatency)
	if !brief && !b.isUnresponsive(a.server) { // a hung server's waits tell nothing of how crowded the others are
		b.adjustWindow(r, e)
	}
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(o *attempt) bool { return o == a })
	if !brief {
		b.recordOutcome(a, e)
	}
	if !a.server.listed && a.server.inFlightCount() == 0 && b.servers[a.server.ID] == a.server {
		delete(b.servers, a.server.ID)
	}
	switch {
	case e.RequestDone:
		late := r.arrived + r.class.LatencyObjective
		if e.Outcome == Success && !r.answered && (b.now <= late || a.sentAt+b.attemptLatency(r, a, e) <= late) {
			r.class.served++
		}
		b.closeRequest(r)
	case !r.answered && !r.pending():
		b.retryOrGiveUp(r)
	}
	b.forgetIfDone(r)
}

// answer gives the final answer: a refusal where a retry is surely harmless, else a failure.
func (b *Balancer) giveUp(r *request) {
	if r.answered || r.streaming {
		return
	}
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if len(r.attempts) == 0 {
		r.class.pool.shedShare += sampleWeight / 4 * (1 - r.class.pool.shedShare)
	}
	if harmless {
		b.emit(Reject{ID: r.id, RetryAfter: b.settings.RetryAfter(r.class.Class)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.closeRequest(r)
}

// RetryAfter advises a client that is sent away; a host asks for a stream that a server refused. One sent away
// for long comes back when its aim is mostly over, and its late answer takes the room of one in time. One
// that comes back at once finds the same crowd and burns its few tries.
func (s Settings) RetryAfter(c Class) time.Duration {
	return min(s.MaxRetryAfter, c.LatencyObjective/retryAfterDivisor)
}

// close ends a request. What is still out for it is not called off and counts until its own ending: servers
// may work on regardless, and the room that it takes is not there for clients that leave early and ask again.
func (b *Balancer) closeRequest(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.dequeue(r)
	b.removeDelayed(r)
	b.forgetIfDone(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forgetIfDone(r *request) {
	if !r.answered || r.pending() || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	if l := r.keyQueue; l != nil {
		l.requests = slices.DeleteFunc(l.requests, func(q *request) bool { return q == r })
		b.settleKeyQueue(l)
	}
}
