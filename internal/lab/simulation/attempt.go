package simulation

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// attempt is one attempt of a node to have a request served by a server. The first outcome ends it.
type attempt struct {
	node              *node
	nodeIncarnation   int
	request           *nodeRequest
	number            int
	server            *server // nil: no server has serverID
	serverID          string
	serverIncarnation int
	hasConnection     bool // its connection is counted in server.Connections
	sentAt            time.Duration
	ended             bool
	visit             *visit // nil: the server has not admitted the request
}

// send starts an attempt over an idle connection, or over a new connection, which needs a handshake.
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

// connect takes an idle connection or opens a new one, and schedules the arrival of the request at the server.
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

// arrive handles the arrival of a complete request at its server.
func (a *attempt) arrive(handshake time.Duration) {
	w, s := a.node.world, a.server
	hop := w.jitter(w.scenario.Network.ServerLatency)
	switch {
	case s.Unreachable: // no answer; the attempt times out
		return
	case s.Incarnation != a.serverIncarnation || s.State == model.Down:
		a.endAfter(hop, balancer.ConnectionLost)
		return
	case a.ended && a.nodeIncarnation != a.node.incarnation: // the node died before it had sent the complete request
		return
	}
	v := newVisit(w, a, handshake)
	work := v.beginWork()
	a.record(blackbox.Event{Kind: blackbox.AttemptArrived, Work: work})
	if a.ended { // the node has canceled the attempt in the meantime
		a.record(blackbox.Event{Kind: blackbox.AttemptCanceled})
	}
	switch {
	case s.RecordArrival(w.now, work): // includes requests that Admit would reject, because rejecting costs work too
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

// record records an event of the attempt at its server.
func (a *attempt) record(e blackbox.Event) {
	e.Node, e.ID, e.Server = a.node.name, a.request.id, a.serverID
	a.node.world.record(e)
}

func (a *attempt) endAfter(wait time.Duration, outcome balancer.Outcome) {
	a.node.world.after(wait, func() { a.end(outcome) })
}

// end ends the attempt and reports its outcome to the node, unless the attempt has already ended or the node's
// incarnation is over.
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

// abandon ends the attempt without an outcome because the node's incarnation ends.
func (a *attempt) abandon() {
	if !a.ended {
		a.ended = true
		a.releaseConnection(balancer.Canceled)
	}
}

// releaseConnection makes the connection of an answered attempt idle, and closes the connection of any other attempt.
// When its connection is closed, a request that still waits in the server's queue is canceled.
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
