package simulation

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
)

const (
	// shutdownCheckInterval is how often a terminating node checks whether all its requests are finished.
	shutdownCheckInterval = 10 * time.Millisecond

	// shutdownMargin is how long a terminating node waits beyond IngressDrainDelay and the longest deadline.
	shutdownMargin = 50 * time.Millisecond

	// noRetryAfter stands for the missing Retry-After when a node dies without an answer.
	noRetryAfter = -1
)

// node runs one instance of the decision module as the hookwalk program does: it passes events to the instance, carries
// out its actions and keeps connections. Each start creates a new instance.
type node struct {
	world           *World
	name            string
	tier            int // to which the node sends requests
	replicaIndex    int
	replicas        int
	ingress         *ingress // nil: it is a server's node
	ingressIndex    int
	incarnation     int // starts and ends so far; events for an earlier incarnation are dropped
	alive           bool
	terminating     bool
	watching        bool
	lastNotified    time.Duration
	decider         policies.Decider
	requests        map[string]*nodeRequest
	idle            map[*server][]idleConnection
	endpoints       []balancer.Server // the last known list, also used at the next start
	endpointIndexes map[string]int
}

// nodeRequest is a request that a node has accepted. It is closed when it is answered or its client has left, and is
// removed when it is closed and no attempt is pending.
type nodeRequest struct {
	id              string
	class           int
	deadline        time.Duration
	work            float64
	client          *clientRequest
	reply           func(checker.Answer, time.Duration)
	attempts        []*attempt
	closed          bool
	pendingAttempts int
}

func (w *World) newNode(name string, tier, replicaIndex, replicas int) *node {
	return &node{world: w, name: name, tier: tier, replicaIndex: replicaIndex, replicas: replicas}
}

// start begins a new incarnation: a new instance with the last known list of the previous one, which may be stale.
func (n *node) start() {
	if n.alive {
		return
	}
	w := n.world
	n.incarnation++
	n.alive, n.terminating, n.watching = true, false, false
	n.requests, n.idle = map[string]*nodeRequest{}, map[*server][]idleConnection{}
	seed := model.Stream(w.scenario.Seed, "node "+n.name, n.incarnation).Uint64()
	settings := model.NodeSettings(w.scenario, n.tier, n.replicaIndex, n.replicas)
	var err error
	if n.decider, err = w.newDecider(w.scenario.Policy, settings, seed, w.inFlight); err != nil {
		w.err = err
		return
	}
	w.checker.NodeStarted(n.name)
	w.record(blackbox.Event{Kind: blackbox.NodeStarted, Node: n.name})
	if n.endpoints == nil {
		n.endpoints = slices.Clone(w.discovery.lists[n.tier])
		n.endpointIndexes = w.discovery.indexes[n.tier]
	}
	n.receiveUpdate(balancer.EndpointUpdate{Complete: true, Cached: true, Servers: n.endpoints})
	if !w.scenario.Discovery.Polled && !w.discovery.down {
		w.discovery.startWatch(n)
	}
	if n.ingress != nil {
		n.ingress.notify(n, w.jitter(w.scenario.Network.ClientLatency), true)
	}
	n.expireIdle()
}

// kill ends a node at once. Its pending requests fail.
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

// end ends an incarnation: its connections close, and its unanswered requests fail.
func (n *node) end() {
	n.incarnation++
	n.alive = false
	n.world.discovery.endWatch(n)
	n.closeIdle()
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		for _, a := range r.attempts {
			a.abandon()
		}
		if !r.closed {
			r.closed = true
			r.reply(checker.Failed, noRetryAfter)
		}
	}
	n.requests = nil
}

// terminate handles SIGTERM. The ingress still sends clients for IngressDrainDelay. The node answers all accepted
// requests before it exits.
func (n *node) terminate() {
	if !n.alive || n.terminating {
		return
	}
	n.terminating = true
	n.world.record(blackbox.Event{Kind: blackbox.NodeTerminating, Node: n.name})
	n.ingress.notify(n, model.IngressDrainDelay, false)
	until := n.world.now + model.IngressDrainDelay + model.LongestDeadline(n.world.scenario) + shutdownMargin
	n.exitWhenIdle(model.IngressDrainDelay+shutdownMargin, until, n.incarnation)
}

// exitWhenIdle waits, and then exits if no request is left or the time until has passed; otherwise it checks again
// after shutdownCheckInterval.
func (n *node) exitWhenIdle(wait, until time.Duration, incarnation int) {
	n.world.after(wait, func() {
		switch {
		case n.incarnation != incarnation:
		case len(n.requests) > 0 && n.world.now < until:
			n.exitWhenIdle(shutdownCheckInterval, until, incarnation)
		default:
			n.world.checker.NodeStopped(n.world.now, n.name)
			n.world.record(blackbox.Event{Kind: blackbox.NodeExited, Node: n.name})
			n.end()
		}
	})
}

// receiveUpdate handles an endpoint update: it updates the node's list and passes the update to the instance.
func (n *node) receiveUpdate(update balancer.EndpointUpdate) {
	for _, s := range update.Servers {
		ready := s.State == balancer.Ready
		n.world.checker.EndpointNotified(n.world.now, n.name, s.ID, ready)
		n.world.record(blackbox.Event{Kind: blackbox.EndpointNotified, Node: n.name, Server: s.ID, Ready: ready})
	}
	switch {
	case update.Cached:
	case update.Complete:
		n.endpoints = update.Servers
	default:
		n.endpoints = slices.Clone(n.endpoints)
		for _, s := range update.Servers {
			n.endpoints[n.endpointIndexes[s.ID]] = s
		}
	}
	n.handle(update)
}

// accept records a request that has arrived completely. The request's reply function is called at most once.
func (n *node) accept(r *nodeRequest) {
	n.world.checker.RequestAccepted(n.world.now, n.name, r.id, r.class, r.deadline)
	n.world.record(blackbox.Event{Kind: blackbox.RequestSent, Node: n.name, ID: r.id, Class: r.class, Duration: r.deadline - n.world.now})
	n.requests[r.id] = r
}

// handle passes an event to the instance and carries out the actions that it returns.
func (n *node) handle(e balancer.Event) {
	for _, a := range n.decider.Handle(n.world.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			n.send(a)
		case balancer.Reject:
			n.answerLocally(a.ID, checker.Rejected, http.StatusServiceUnavailable, a.RetryAfter)
		case balancer.Fail:
			n.answerLocally(a.ID, checker.Failed, http.StatusBadGateway, 0)
		case balancer.SetTimer:
			n.setTimer(a)
		case balancer.Subscribe:
			n.world.discovery.poll(n)
		}
	}
}

func (n *node) setTimer(a balancer.SetTimer) {
	incarnation := n.incarnation
	n.world.at(a.At, func() {
		if n.incarnation == incarnation {
			n.handle(balancer.TimerFired{Token: a.Token})
		}
	})
}

// answerLocally gives a request a final answer that does not come from a server.
func (n *node) answerLocally(id string, answer checker.Answer, status int, retryAfter time.Duration) {
	n.world.checker.RequestAnswered(n.world.now, n.name, id, answer)
	n.world.record(blackbox.Event{Kind: blackbox.AnswerReceived, Node: n.name, ID: id, Status: status})
	r := n.requests[id]
	if r == nil || r.closed {
		return
	}
	r.closed = true
	r.reply(answer, retryAfter)
	n.removeIfFinished(r)
}

// removeIfFinished removes a request that is closed and has no pending attempt.
func (n *node) removeIfFinished(r *nodeRequest) {
	if r.closed && r.pendingAttempts == 0 {
		delete(n.requests, r.id)
	}
}

// clientGone closes a request whose client has left.
func (n *node) clientGone(id string) {
	r := n.requests[id]
	if r == nil || r.closed {
		return
	}
	r.closed = true
	n.world.checker.ClientGone(n.world.now, n.name, id)
	n.world.record(blackbox.Event{Kind: blackbox.ClientLeft, Node: n.name, ID: id})
	n.handle(balancer.ClientGone{ID: id})
	n.removeIfFinished(r)
}
