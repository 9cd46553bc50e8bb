// A request's way from its arrival to its one final answer.

package balancer

import (
	"slices"
	"time"
)

const comeBack = 10 // part of the aim after which a refused client should ask again

func (b *Balancer) accept(e Request) {
	if !b.set.AccessList.Allows(e.Client) {
		b.do(Deny{ID: e.ID})
		return
	}
	if b.requests[e.ID] != nil {
		return
	}
	drill := b.drilled(e)
	if drill != nil && drill.AbortStatus != 0 {
		b.abort(e, drill)
		return
	}
	c := b.classes[e.Class]
	if e.SettingsVersion < b.rules && b.before[e.Class] != nil { // what it came with
		c = b.before[e.Class]
	}
	if c == nil {
		c = b.order[len(b.order)-1] // unknown: unsafe
	}
	r := &request{id: e.ID, class: c, arrived: b.now, deadline: min(e.Deadline, b.now+c.Deadline),
		repeat: e.ClientRetry, bulk: e.StreamedBody, most: b.MaxAttempts()}
	b.requests[e.ID] = r
	b.backdate(r)
	for _, k := range b.order {
		k.arrive *= 0.99
		k.serve *= 0.99
	}
	c.arrive++
	if c.OrderedByKey && e.HasKey && !b.joinLine(r, e.Key) {
		b.answer(r)
		return
	}
	if drill != nil && b.delay(r, drill) {
		return
	}
	b.place(r)
}

// backdate finds when the client first asked. Tries are all given the same time unless the class's
// deadline, which runs over all of them, ends sooner: a shorter one tells how much is over already. Where
// clients mark repeats only the mark counts, for a last try may be given more time than the first. What is
// usual is the middle of what comes: one client's long budgets would make everybody else's tries look short.
func (b *Balancer) backdate(r *request) {
	left, c := r.deadline-b.now, r.class
	switch {
	case c.usualTry == 0:
		c.usualTry = left
	case left > c.usualTry:
		c.usualTry += c.usualTry / 100
	default:
		c.usualTry -= c.usualTry / 100
	}
	short := float64(left) < 0.95*float64(c.usualTry)
	if b.set.Tier == 0 && (r.repeat || short && !b.set.ClientsMarkRetries) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.repeat = true
	}
}

// place sends a request, or holds it while no server may take it.
func (b *Balancer) place(r *request) {
	if b.onTurn(r) && !b.full(r.class.pool) {
		if s := b.choose(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.hold(r)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{req: r, srv: s, n: len(r.attempts), sent: b.now, zone: s.Zone, cell: s.Cell}
	a.boot = s.start()
	p := r.class.pool
	if a.n == 0 {
		p.shed -= memory / 4 * p.shed
	}
	r.attempts = append(r.attempts, a)
	b.unhold(r)
	s.open = append(s.open, a)
	if s.hungry > 0 {
		s.hungry = b.now + feedAfter
	}
	p.inFlight++
	if r.bulk {
		a.leave()
	}
	p.peak = max(float64(p.inFlight), p.peak-memory/4*(p.peak-float64(p.inFlight)))
	b.do(Send{ID: r.id, Server: s.ID, Timeout: max(b.patience(r), b.set.Tick)})
}

func (b *Balancer) takeOutcome(e AttemptEnded) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.unsent = e.Outcome.NeverRan()
	a.leave()
	mayRun := e.Outcome == TimedOut || e.Outcome == ConnectionLost || e.Outcome == Canceled
	if l := r.line; l != nil && mayRun {
		l.rest = b.now + b.set.KeyQuietPeriod // it may still run
	}
	// A client that gave less time than answers take tells of itself: neither of the server nor of a crowd.
	brief := e.Outcome == TimedOut && b.now-a.sent < time.Duration(r.class.mean)
	if !brief && !b.silent(a.srv) { // a hung server's waits tell nothing of how crowded the others are
		b.steer(r, e)
	}
	a.srv.open = slices.DeleteFunc(a.srv.open, func(o *attempt) bool { return o == a })
	if !brief {
		b.judge(a, e)
	}
	if !a.srv.listed && a.srv.calls() == 0 && b.servers[a.srv.ID] == a.srv {
		delete(b.servers, a.srv.ID)
	}
	switch {
	case e.RequestDone:
		late := r.arrived + r.class.LatencyObjective
		if e.Outcome == Success && !r.answered && (b.now <= late || a.sent+b.latency(r, a, e) <= late) {
			r.class.serve++
		}
		b.close(r)
	case !r.answered && !r.pending():
		b.further(r)
	}
	b.forget(r)
}

// answer gives the final answer: a refusal where a retry is surely harmless, else a failure.
func (b *Balancer) answer(r *request) {
	if r.answered || r.streaming {
		return
	}
	harmless := r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.unsent })
	if len(r.attempts) == 0 {
		r.class.pool.shed += memory / 4 * (1 - r.class.pool.shed)
	}
	if harmless {
		b.do(Reject{ID: r.id, RetryAfter: b.set.RetryAfter(r.class.Class)})
	} else {
		b.do(Fail{ID: r.id})
	}
	b.close(r)
}

// RetryAfter advises a client whose request was rejected; a host asks for a stream that a server rejected.
// A client told to stay away for long comes back when its objective is mostly over, and its late answer takes
// the place of one in time. One that comes back at once finds the same overload and spends its few tries.
func (s Settings) RetryAfter(c Class) time.Duration {
	return min(s.MaxRetryAfter, c.LatencyObjective/comeBack)
}

// close ends a request. What is still out for it is not called off and counts until its own ending: servers
// may work on regardless, and the room that it takes is not there for clients that leave early and ask again.
func (b *Balancer) close(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.unhold(r)
	b.undelay(r)
	b.forget(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if !r.answered || r.pending() || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	if l := r.line; l != nil {
		l.queue = slices.DeleteFunc(l.queue, func(q *request) bool { return q == r })
		b.settle(l)
	}
}
