package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
)

// node hosts one instance of the decision module as the daemon does: it feeds events, carries out actions and
// keeps connections. It starts from nothing as often as it is started.
type node struct {
	world           *World
	name            string
	tier            int // that it sends to
	replicaIndex    int
	replicas        int
	ingress         *ingress // nil: a box's own node
	ingressIndex    int
	host            *server
	incarnation     int // starts and ends so far: what was meant for an earlier life is dropped
	alive           bool
	terminating     bool
	watching        bool
	lastNotified    time.Duration
	decider         policies.Decider
	calls           map[string]*call
	idle            map[*server][]idleConnection
	endpoints       []balancer.Server // the list as it was last held, for the next start
	endpointIndexes map[string]int
}

// idleConnection is an idle connection.
type idleConnection struct {
	serverIncarnation int
	since             time.Duration
	reset             bool // it will be reset when next used
}

// callNextTier is a request that a node has taken.
type call struct {
	id          string
	class       int
	deadline    time.Duration
	work        float64
	request     *clientRequest
	reply       func(checker.Answer, time.Duration)
	attempts    []*attempt
	closed      bool
	attemptsOut int
}

func (w *World) newNode(name string, tier, self, copies int) *node {
	return &node{world: w, name: name, tier: tier, replicaIndex: self, replicas: copies}
}

// start begins a life: a fresh instance that is given the list as last held, which may be old.
func (n *node) start() {
	if n.alive {
		return
	}
	n.incarnation++
	n.alive, n.terminating, n.watching = true, false, false
	n.calls, n.idle = map[string]*call{}, map[*server][]idleConnection{}
	seed := model.Stream(n.world.scenario.Seed, "node "+n.name, n.incarnation).Uint64()
	var err error
	if n.decider, err = n.world.newDecider(n.world.scenario.Policy, model.NodeSettings(n.world.scenario, n.tier, n.replicaIndex, n.replicas), seed, n.world.inFlight); err != nil {
		n.world.err = err
		return
	}
	n.world.checker.NodeStarted(n.name)
	n.world.record(blackbox.Event{Kind: blackbox.NodeStarted, Node: n.name})
	if n.endpoints == nil {
		n.endpoints = slices.Clone(n.world.discovery.lists[n.tier])
		n.endpointIndexes = n.world.discovery.indexes[n.tier]
	}
	n.receiveUpdate(balancer.EndpointUpdate{Complete: true, Cached: true, Servers: n.endpoints})
	if !n.world.scenario.Discovery.Polled && !n.world.discovery.down {
		n.world.discovery.startWatch(n)
	}
	if n.ingress != nil {
		n.ingress.notify(n, n.world.jitter(n.world.scenario.Network.ClientLatency), true)
	}
	n.expireIdle()
}

// kill ends a node at once, with all that it holds.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.end()
	n.world.checker.NodeKilled(n.name)
	n.world.record(blackbox.Event{Kind: blackbox.NodeKilled, Node: n.name})
	if n.ingress != nil {
		n.ingress.notify(n, n.world.scenario.Ingress.FailureDetection, false)
	}
}

func (n *node) end() {
	n.incarnation++
	n.alive = false
	n.world.discovery.endWatch(n)
	for b, list := range n.idle {
		for _, k := range list {
			if k.serverIncarnation == b.Incarnation {
				b.Connections--
			}
		}
	}
	n.idle = nil
	for _, id := range sortedCalls(n.calls) {
		c := n.calls[id]
		for _, a := range c.attempts {
			a.abandon()
		}
		if !c.closed {
			c.closed = true
			c.reply(checker.Failed, -1)
		}
	}
	n.calls = nil
}

// terminate is SIGTERM: the front hears of it at once but still deals for a while; what has been taken is answered.
func (n *node) terminate() {
	if !n.alive || n.terminating {
		return
	}
	n.terminating = true
	n.world.record(blackbox.Event{Kind: blackbox.NodeTerminating, Node: n.name})
	n.ingress.notify(n, model.IngressDrainDelay, false)
	life := n.incarnation
	until := n.world.now + model.IngressDrainDelay + model.LongestDeadline(n.world.scenario) + 50*time.Millisecond
	var look func()
	look = func() {
		if n.incarnation != life {
			return
		}
		if len(n.calls) > 0 && n.world.now < until {
			n.world.after(10*time.Millisecond, look)
			return
		}
		n.world.checker.NodeStopped(n.world.now, n.name)
		n.world.record(blackbox.Event{Kind: blackbox.NodeExited, Node: n.name})
		n.end()
	}
	n.world.after(model.IngressDrainDelay+50*time.Millisecond, look)
}

// receiveUpdate takes news of the boxes.
func (n *node) receiveUpdate(list balancer.EndpointUpdate) {
	for _, s := range list.Servers {
		n.world.checker.EndpointNotified(n.world.now, n.name, s.ID, s.State == balancer.Ready)
		n.world.record(blackbox.Event{Kind: blackbox.EndpointNotified, Node: n.name, Server: s.ID, Ready: s.State == balancer.Ready})
	}
	switch {
	case list.Cached:
	case list.Complete:
		n.endpoints = list.Servers
	default:
		n.endpoints = slices.Clone(n.endpoints)
		for _, s := range list.Servers {
			n.endpoints[n.endpointIndexes[s.ID]] = s
		}
	}
	n.handle(list)
}

// accept is a request that has arrived whole. The reply comes once, at the moment of the answer.
func (n *node) accept(c *call) {
	n.world.checker.RequestAccepted(n.world.now, n.name, c.id, c.class, c.deadline)
	n.world.record(blackbox.Event{Kind: blackbox.RequestSent, Node: n.name, ID: c.id, Class: c.class, Duration: c.deadline - n.world.now})
	n.calls[c.id] = c
}

func (n *node) handle(e balancer.Event) {
	actions := n.decider.Handle(n.world.now, e)
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			n.send(a)
		case balancer.Reject:
			n.answer(a.ID, checker.Rejected, a.RetryAfter)
		case balancer.Fail:
			n.answer(a.ID, checker.Failed, 0)
		case balancer.SetTimer:
			life := n.incarnation
			n.world.at(a.At, func() {
				if n.incarnation == life {
					n.handle(balancer.TimerFired{Token: a.Token})
				}
			})
		case balancer.Subscribe:
			n.world.discovery.poll(n)
		}
	}
}

func (n *node) answer(id string, how checker.Answer, retryAfter time.Duration) {
	n.world.checker.RequestAnswered(n.world.now, n.name, id, how)
	n.world.record(blackbox.Event{Kind: blackbox.AnswerReceived, Node: n.name, ID: id, Status: map[checker.Answer]int{checker.Rejected: 503, checker.Failed: 502}[how]})
	c := n.calls[id]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	c.reply(how, retryAfter)
	n.forgetIfOver(c)
}

func (n *node) forgetIfOver(c *call) {
	if c.closed && c.attemptsOut == 0 {
		delete(n.calls, c.id)
	}
}

// clientGone is a client that has left.
func (n *node) clientGone(id string) {
	c := n.calls[id]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	n.world.checker.ClientGone(n.world.now, n.name, id)
	n.world.record(blackbox.Event{Kind: blackbox.ClientLeft, Node: n.name, ID: id})
	n.handle(balancer.ClientGone{ID: id})
	n.forgetIfOver(c)
}

// expireIdle drops connections that have been idle for too long, now and then.
func (n *node) expireIdle() {
	life := n.incarnation
	n.world.after(n.world.scenario.Network.IdleTimeout/2, func() {
		if n.incarnation != life {
			return
		}
		for b, list := range n.idle {
			live := list[:0]
			for _, k := range list {
				switch {
				case k.serverIncarnation != b.Incarnation:
				case n.world.now-k.since > n.world.scenario.Network.IdleTimeout:
					b.Connections--
				default:
					live = append(live, k)
				}
			}
			if n.idle[b] = live; len(live) == 0 {
				delete(n.idle, b)
			}
		}
		if n.world.now < n.world.scenario.Length {
			n.expireIdle()
		}
	})
}

func (n *node) resetIdle(b *server, share float64) {
	for i := range n.idle[b] {
		if n.world.rng.Float64() < share {
			n.idle[b][i].reset = true
		}
	}
}

// takeIdle is an idle connection to a box, the one used last.
func (n *node) takeIdle(b *server) (idleConnection, bool) {
	list := n.idle[b]
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		n.idle[b] = list
		switch {
		case k.serverIncarnation != b.Incarnation || b.State == model.Down && !b.Unreachable: // the end of the process was seen
		case n.world.now-k.since > n.world.scenario.Network.IdleTimeout:
			b.Connections--
		default:
			return k, true
		}
	}
	return idleConnection{}, false
}

// attempt is one send.
type attempt struct {
	node              *node
	call              *call
	number            int
	server            *server // nil: there is none of the name
	serverID          string
	serverIncarnation int
	hasConnection     bool // a connection of its own is counted at the box
	sentAt            time.Duration
	nodeIncarnation   int
	ended             bool
	visit             *visit
}

// send starts an attempt: over a kept connection, or a new one that costs a handshake.
func (n *node) send(s balancer.Send) {
	w := n.world
	b := w.byID[s.Server]
	w.checker.AttemptSent(w.now, n.name, s.ID, s.Server)
	c := n.calls[s.ID]
	if c == nil {
		return
	}
	a := &attempt{node: n, call: c, number: len(c.attempts), server: b, serverID: s.Server, sentAt: w.now, nodeIncarnation: n.incarnation}
	c.attempts = append(c.attempts, a)
	c.attemptsOut++
	c.request.attempts++
	w.score.Attempts++
	if b == nil {
		a.endAfter(0, balancer.NotSent)
		return
	}
	a.serverIncarnation = b.Incarnation
	w.after(min(s.Timeout, c.deadline-w.now), func() { a.end(balancer.TimedOut) })
	hop := w.jitter(w.scenario.Network.ServerLatency)
	k, ok := n.takeIdle(b)
	switch {
	case ok && k.reset:
		b.Connections--
		a.endAfter(2*hop, balancer.ConnectionLost)
	case ok:
		a.hasConnection = true
		w.after(hop, func() { a.arrive(0) })
	case b.Unreachable:
		a.endAfter(w.scenario.Network.ConnectTimeout, balancer.Unreachable)
	case b.State == model.Down || b.Connections >= b.Kind.MaxConnections:
		a.endAfter(2*hop, balancer.Unreachable)
	default:
		a.hasConnection = true
		b.Connections++
		w.score.Handshakes++
		w.after(time.Duration(1+2*w.scenario.Network.HandshakeRoundTrips)*hop, func() { a.arrive(b.Kind.HandshakeWork) })
	}
}

// arrive is the last byte of a request at its box.
func (a *attempt) arrive(handshake time.Duration) {
	w, b := a.node.world, a.server
	hop := w.jitter(w.scenario.Network.ServerLatency)
	switch {
	case b.Unreachable: // nobody answers
	case b.Incarnation != a.serverIncarnation || b.State == model.Down:
		a.endAfter(hop, balancer.ConnectionLost)
	case a.ended && a.nodeIncarnation != a.node.incarnation: // its node died before it had sent it
	default:
		v := newVisit(w, a, handshake)
		a.record(blackbox.Event{Kind: blackbox.AttemptArrived, Work: v.beginWork()})
		if a.ended { // its node has given it up on the way
			a.record(blackbox.Event{Kind: blackbox.AttemptCanceled})
		}
		if b.RecordArrival(w.now, v.beginWork()) { // what it turns away counts too: a crowd at the door costs it as well
			w.checker.ServerOverloaded(w.now, a.node.name, a.call.id, b.ID)
			a.record(blackbox.Event{Kind: blackbox.AttemptBroken})
			w.score.Overloads++
			w.crash(b, false)
			w.after(model.OverloadDowntime, func() { w.boot(b) })
			a.endAfter(hop, balancer.ConnectionLost)
			return
		}
		if !b.Admit(w.now, &v.job) {
			a.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: 503, NeverRan: true})
			a.endAfter(hop, balancer.Overloaded)
			return
		}
		a.visit = v
		w.checker.AttemptExecuted(w.now, a.node.name, a.call.id, b.ID)
		w.scheduleCompletion(b)
	}
}

// record records what a server gets of an attempt, or does with it.
func (a *attempt) record(e blackbox.Event) {
	e.Node, e.ID, e.Server = a.node.name, a.call.id, a.serverID
	a.node.world.record(e)
}

func (a *attempt) endAfter(wait time.Duration, e balancer.Outcome) {
	a.node.world.after(wait, func() { a.end(e) })
}

// end tells the node how the attempt ended; later ends of the same attempt go nowhere.
func (a *attempt) end(e balancer.Outcome) {
	if a.ended || a.nodeIncarnation != a.node.incarnation {
		return
	}
	a.ended = true
	n, w, c := a.node, a.node.world, a.call
	if e == balancer.TimedOut && a.visit != nil {
		a.record(blackbox.Event{Kind: blackbox.AttemptCanceled})
	}
	a.releaseConnection(e)
	w.checker.AttemptEnded(w.now, n.name, c.id, a.number, e)
	c.attemptsOut--
	if e == balancer.Success && !c.closed {
		c.closed = true
		w.checker.RequestAnswered(w.now, n.name, c.id, checker.Served)
		w.record(blackbox.Event{Kind: blackbox.AnswerReceived, Node: n.name, ID: c.id, Status: 200, Body: a.serverID})
		c.reply(checker.Served, 0)
	}
	n.handle(balancer.AttemptEnded{ID: c.id, Attempt: a.number, Server: a.serverID, Outcome: e, Latency: w.now - a.sentAt, RequestDone: c.closed})
	n.forgetIfOver(c)
}

// abandon is the end of the node that waits for the attempt.
func (a *attempt) abandon() {
	if !a.ended {
		a.ended = true
		a.releaseConnection(balancer.Canceled)
	}
}

// releaseConnection keeps the connection of an attempt that was answered, and closes any other.
func (a *attempt) releaseConnection(e balancer.Outcome) {
	b := a.server
	if b == nil {
		return
	}
	answered := e == balancer.Success || e == balancer.Failure || e == balancer.Overloaded
	if a.hasConnection && b.Incarnation == a.serverIncarnation {
		if answered && a.node.idle != nil {
			a.node.idle[b] = append(a.node.idle[b], idleConnection{serverIncarnation: a.serverIncarnation, since: a.node.world.now})
		} else if b.State != model.Down {
			b.Connections--
		}
	}
	if v := a.visit; v != nil && !answered && !v.ended && b.CancelQueued(a.node.world.now, &v.job) {
		v.ended = true
		a.node.world.scheduleCompletion(b)
	}
}
