package blackbox

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// requestKey identifies a request to one incarnation of a node.
type requestKey struct{ node, id string }

// linkKey identifies the network links between a node and a server.
type linkKey struct{ node, server string }

// requestState holds the attempts of a request and the answers of servers to it.
type requestState struct {
	attemptServers []string        // the server of each attempt; "" once the attempt has ended
	bodies         map[string]bool // of the answers with status 200
}

// evaluator translates events into the facts that the checker takes.
type evaluator struct {
	header       Header
	checker      *checker.Checker
	servers      map[string]*model.Server
	starts       map[string]*serverStart // by server; the latest start
	requests     map[requestKey]*requestState
	successors   map[string]int // by node: the number of processes that are ready to take over
	stoppedUntil map[string]time.Duration
	heldUntil    map[linkKey]time.Duration
	violations   []checker.Violation
}

// Check returns the violations in a history. Events are in order of time.
func Check(h Header, events []Event) []checker.Violation {
	v := &evaluator{
		header:       h,
		checker:      checker.New(&scenario.Scenario{Rules: h.Rules, Classes: h.Classes}),
		servers:      map[string]*model.Server{},
		starts:       map[string]*serverStart{},
		requests:     map[requestKey]*requestState{},
		successors:   map[string]int{},
		stoppedUntil: map[string]time.Duration{},
		heldUntil:    map[linkKey]time.Duration{},
	}
	v.checker.ObservationLag = h.ObservationLag
	last := time.Duration(0)
	if len(events) > 0 {
		last = events[len(events)-1].At
	}
	for _, e := range countNotifications(events) {
		if e.At <= last {
			v.apply(e)
		}
	}
	v.checker.Finish(last)
	return append(v.checker.Violations(), v.violations...)
}

// apply passes one event to the checker.
func (v *evaluator) apply(e Event) {
	switch e.Kind {
	case NodeStarted, NodeKilled, SuccessorReady, NodeExited, EndpointOverridden, EndpointNotified:
		v.applyNode(e)
	case RequestSent, AnswerReceived, ConnectionCut, ClientLeft:
		v.applyClient(e)
	case AttemptArrived, AttemptAnswered, AttemptBroken, AttemptCanceled, ServerStarted:
		v.applyServer(e)
	case ProcessStopped, ProcessResumed, ServerDied, LinkHeld, LinkReleased, ClientsMuted, ClientsUnmuted, ClientsReset:
		v.applyProcessFault(e)
	}
}

// applyNode applies an event of a node's process, or a notification to a node.
func (v *evaluator) applyNode(e Event) {
	switch e.Kind {
	case NodeStarted:
		v.checker.NodeStarted(e.Node)
	case NodeKilled:
		v.checker.NodeKilled(e.Node)
	case SuccessorReady:
		v.successors[e.Node]++
	case NodeExited:
		if v.successors[e.Node] > 0 { // the successor continues the node; requests that the process left open are found as unanswered
			v.successors[e.Node]--
			return
		}
		v.checker.NodeStopped(e.At, e.Node)
	case EndpointOverridden:
		v.checker.EndpointOverridden(e.At, e.Node, e.Server, !e.enables())
	case EndpointNotified:
		v.checker.EndpointNotified(e.At, e.Node, e.Server, e.announcesReady())
		if s := v.starts[e.Server]; s != nil && e.announcesReady() {
			s.notifiedNodes[e.Node] = true
		}
	}
}

// applyClient applies an event at a client.
func (v *evaluator) applyClient(e Event) {
	key := requestKey{e.Node, e.ID}
	switch e.Kind {
	case RequestSent:
		v.checker.RequestAccepted(e.At, e.Node, e.ID, e.Class, e.At+e.Duration)
		v.requests[key] = &requestState{bodies: map[string]bool{}}
	case AnswerReceived:
		v.answerReceived(e, key)
	case ConnectionCut:
		if r := v.requests[key]; e.onReusedConnection() && r != nil && len(r.attemptServers) == 0 {
			v.checker.ClientGone(e.At, e.Node, e.ID) // the node closed an idle connection before it read the request that was on the way
			return
		}
		v.checker.ConnectionDropped(e.At, e.Node, e.ID)
	case ClientLeft:
		v.checker.ClientGone(e.At, e.Node, e.ID)
	}
}

// answerReceived applies the answer that a client received. A success must match what a server answered.
func (v *evaluator) answerReceived(e Event, key requestKey) {
	how := checker.Failed
	switch e.Status {
	case http.StatusOK:
		how = checker.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		how = checker.Rejected
	}
	if r := v.requests[key]; how == checker.Served && r != nil && len(r.attemptServers) > 0 && !r.bodies[e.Body] {
		v.violations = append(v.violations, checker.Violation{Rule: checker.GenuineAnswer, At: e.At, Node: e.Node, Request: e.ID,
			Detail: "served with an answer that no server has given"})
	}
	v.checker.RequestAnswered(e.At, e.Node, e.ID, how)
}

// applyServer applies an event at a server.
func (v *evaluator) applyServer(e Event) {
	key := requestKey{e.Node, e.ID}
	switch e.Kind {
	case AttemptArrived:
		v.attemptArrived(e, key)
	case AttemptAnswered:
		outcome := balancer.Failure
		switch {
		case e.Status == http.StatusOK:
			outcome = balancer.Success
			if r := v.requests[key]; r != nil {
				r.bodies[e.Body] = true
			}
		case e.NeverRan:
			outcome = balancer.Overloaded
		}
		v.attemptEnded(e, key, outcome)
	case AttemptBroken:
		v.attemptEnded(e, key, balancer.ConnectionLost)
	case AttemptCanceled:
		v.attemptEnded(e, key, balancer.TimedOut)
	case ServerStarted:
		v.serverStarted(e)
	}
}

// attemptArrived applies the arrival of an attempt. It counts toward the server's load whatever its outcome.
func (v *evaluator) attemptArrived(e Event, key requestKey) {
	r := v.requests[key]
	if e.At < max(v.stoppedUntil[e.Server], v.heldUntil[linkKey{e.Node, e.Server}]) {
		// The attempt was sent at an unknown time while the server or link was stopped, and may have been canceled since.
		if r != nil {
			r.attemptServers = append(r.attemptServers, e.Server)
			v.checker.SentUnobserved(e.At, e.Node, e.ID, e.Server)
		}
		return
	}
	v.checker.AttemptSent(e.At, e.Node, e.ID, e.Server)
	if r != nil {
		r.attemptServers = append(r.attemptServers, e.Server)
	}
	if s := v.servers[e.Server]; s != nil {
		start := v.starts[e.Server]
		start.recordArrival(e, v.header.Rules.OverloadWindow)
		if s.RecordArrival(e.At, e.Work) && start.mostlyFromNotified() {
			v.checker.ServerOverloaded(e.At, e.Node, e.ID, e.Server)
		}
	}
}

// attemptEnded applies the outcome of the latest attempt of a request that is in flight to a server.
func (v *evaluator) attemptEnded(e Event, key requestKey, outcome balancer.Outcome) {
	r := v.requests[key]
	if r == nil {
		return
	}
	for n := len(r.attemptServers) - 1; n >= 0; n-- {
		if r.attemptServers[n] != e.Server {
			continue
		}
		r.attemptServers[n] = ""
		if outcome != balancer.Overloaded {
			v.checker.AttemptExecuted(e.At, e.Node, e.ID, e.Server)
		}
		v.checker.AttemptEnded(e.At, e.Node, e.ID, n, outcome)
		return
	}
}

// serverStarted applies the start of a server, which warms up from now on.
func (v *evaluator) serverStarted(e Event) {
	kind, ok := v.header.Kinds[e.Server]
	if !ok {
		return
	}
	s := model.NewServer(e.Server, 0, 0, &kind, v.header.Rules)
	s.MeanWork = v.header.Means[e.Server]
	s.Start(e.At)
	v.servers[e.Server] = s
	v.starts[e.Server] = &serverStart{notifiedNodes: map[string]bool{}}
}
