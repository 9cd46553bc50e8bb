package simulation

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// attempt is one time that a node sends a request to a server. The first outcome ends it.
type attempt struct {
	node              *node
	nodeIncarnation   int
	request           *nodeRequest
	number            int
	server            *server // nil: there is none of the ID
	serverID          string
	serverIncarnation int
	hasConnection     bool // a connection for it counts at the server
	sentAt            time.Duration
	ended             bool
	visit             *visit // nil: the server has not accepted it
}

// send starts an attempt over an idle connection, or over a new one that costs a handshake.
func (n *node) send(s balancer.Send) {
	w := n.world
	w.checker.AttemptSent(w.now, n.name, s.ID, s.Server)
	r := n.requests[s.ID]
	if r == nil {
		return
	}
	a := &attempt{node: n, nodeIncarnation: n.incarnation, request: r, number: len(r.attempts),
		server: w.byID[s.Server], serverID: s.Server, sentAt: w.now}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	r.client.attempts++
	w.score.Attempts++
	if a.server == nil {
		a.endAfter(0, balancer.NotSent)
		return
	}
	a.serverIncarnation = a.server.Incarnation
	w.after(min(s.Timeout, r.deadline-w.now), func() { a.end(balancer.TimedOut) })
	a.connect()
}

// connect takes a connection, and has the request arrive over it.
func (a *attempt) connect() {
	w, s := a.node.world, a.server
	hop := w.jitter(w.scenario.Network.ServerLatency)
	idle, ok := a.node.takeIdle(s)
	switch {
	case ok && idle.reset:
		s.Connections--
		a.endAfter(roundTrip(hop), balancer.ConnectionLost)
	case ok:
		a.hasConnection = true
		w.after(hop, func() { a.arrive(0) })
	case s.Unreachable:
		a.endAfter(w.scenario.Network.ConnectTimeout, balancer.Unreachable)
	case s.State == model.Down || s.Connections >= s.Kind.MaxConnections:
		a.endAfter(roundTrip(hop), balancer.Unreachable)
	default:
		a.hasConnection = true
		s.Connections++
		w.score.Handshakes++
		hops := 1 + 2*w.scenario.Network.HandshakeRoundTrips
		w.after(time.Duration(hops)*hop, func() { a.arrive(s.Kind.HandshakeWork) })
	}
}

// arrive is the last byte of a request at its server.
func (a *attempt) arrive(handshake time.Duration) {
	w, s := a.node.world, a.server
	hop := w.jitter(w.scenario.Network.ServerLatency)
	switch {
	case s.Unreachable: // nobody answers
		return
	case s.Incarnation != a.serverIncarnation || s.State == model.Down:
		a.endAfter(hop, balancer.ConnectionLost)
		return
	case a.ended && a.nodeIncarnation != a.node.incarnation: // its node died before it had sent it
		return
	}
	v := newVisit(w, a, handshake)
	work := v.beginWork()
	a.record(blackbox.Event{Kind: blackbox.AttemptArrived, Work: work})
	if a.ended { // its node has canceled it on the way
		a.record(blackbox.Event{Kind: blackbox.AttemptCanceled})
	}
	switch {
	case s.RecordArrival(w.now, work): // what it would reject counts too, for rejecting costs it as well
		w.checker.ServerOverloaded(w.now, a.node.name, a.request.id, s.ID)
		a.record(blackbox.Event{Kind: blackbox.AttemptBroken})
		w.crashOverloadedServer(s)
		a.endAfter(hop, balancer.ConnectionLost)
	case !s.Admit(w.now, &v.job):
		a.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: http.StatusServiceUnavailable, NeverRan: true})
		a.endAfter(hop, balancer.Overloaded)
	default:
		a.visit = v
		w.checker.AttemptExecuted(w.now, a.node.name, a.request.id, s.ID)
		w.scheduleCompletion(s)
	}
}

// record records what a server receives of an attempt, or does with it.
func (a *attempt) record(e blackbox.Event) {
	e.Node, e.ID, e.Server = a.node.name, a.request.id, a.serverID
	a.node.world.record(e)
}

func (a *attempt) endAfter(wait time.Duration, outcome balancer.Outcome) {
	a.node.world.after(wait, func() { a.end(outcome) })
}

// end tells the node the outcome of the attempt, unless it has ended already or the node has.
func (a *attempt) end(outcome balancer.Outcome) {
	if a.ended || a.nodeIncarnation != a.node.incarnation {
		return
	}
	a.ended = true
	n, w, r := a.node, a.node.world, a.request
	if outcome == balancer.TimedOut && a.visit != nil {
		a.record(blackbox.Event{Kind: blackbox.AttemptCanceled})
	}
	a.releaseConnection(outcome)
	w.checker.AttemptEnded(w.now, n.name, r.id, a.number, outcome)
	r.pendingAttempts--
	if outcome == balancer.Success && !r.closed {
		r.closed = true
		w.checker.RequestAnswered(w.now, n.name, r.id, checker.Served)
		w.record(blackbox.Event{Kind: blackbox.AnswerReceived, Node: n.name, ID: r.id, Status: http.StatusOK, Body: a.serverID})
		r.reply(checker.Served, 0)
	}
	n.handle(balancer.AttemptEnded{ID: r.id, Attempt: a.number, Server: a.serverID, Outcome: outcome, Latency: w.now - a.sentAt, RequestDone: r.closed})
	n.removeIfFinished(r)
}

// abandon is the end of the node that waits for the attempt.
func (a *attempt) abandon() {
	if !a.ended {
		a.ended = true
		a.releaseConnection(balancer.Canceled)
	}
}

// releaseConnection keeps the connection of an attempt that was answered as an idle one, and closes any other. A server
// that sees its connection close cancels a request that still waits in its queue.
func (a *attempt) releaseConnection(outcome balancer.Outcome) {
	s, n := a.server, a.node
	if s == nil {
		return
	}
	answered := outcome == balancer.Success || outcome == balancer.Failure || outcome == balancer.Overloaded
	if a.hasConnection && s.Incarnation == a.serverIncarnation {
		if answered && n.idle != nil {
			n.idle[s] = append(n.idle[s], idleConnection{serverIncarnation: a.serverIncarnation, since: n.world.now})
		} else if s.State != model.Down {
			s.Connections--
		}
	}
	if v := a.visit; v != nil && !answered && !v.ended && s.CancelQueued(n.world.now, &v.job) {
		v.ended = true
		n.world.scheduleCompletion(s)
	}
}
