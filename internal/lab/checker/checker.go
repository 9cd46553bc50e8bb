// Package checker holds a played world to the promises that a node makes. Virtual time and sockets tell it the same
// facts: what a node took, sent, heard and answered, what it was told of boxes, and what boxes truly ran. It
// decides nothing and changes nothing; each broken rule is a Violation that names rule, request, box and time.
package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Rule is one of the promises.
type Rule string

// The rules.
const (
	OneAnswer      Rule = "one-answer"    // a taken request gets exactly one final answer
	InTime         Rule = "in-time"       // by its deadline
	NoSecondRun    Rule = "no-second-run" // what may have run is not sent again, unless its class allows it
	SafeRejection  Rule = "refusal"       // nor refused
	OneAttempt     Rule = "one-out"       // one attempt out at a time
	AttemptLimit   Rule = "attempts"      // no more than the rules allow in all
	DrainGrace     Rule = "drain"         // nothing new to a draining or gone box after the grace
	WarmupOverload Rule = "cold"          // no cold box is pushed over
	AdminOverride  Rule = "by-hand"       // nothing is sent to a box that an operator has taken out
	NothingLost    Rule = "lost"          // nothing is lost by a node that was told to stop
	GenuineAnswer  Rule = "made-up"       // nothing is served that no box has run
	KnownServer    Rule = "known-box"     // nothing is sent to a box that the node was never told of
)

// Violation is one broken rule.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Node    string
	Request string
	Server  string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: node %s request %s box %s: %s", v.Rule, v.At.Seconds(), v.Node, orDash(v.Request), orDash(v.Server), v.Detail)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Answer is how a node answered.
type Answer int

// Answers.
const (
	Served Answer = iota
	Rejected
	Failed
)

// Checker takes facts in the order of time. It belongs to one goroutine.
type Checker struct {
	rules       scenario.Rules
	classes     []scenario.Class
	nodes       map[string]*node
	violations  []Violation
	countByRule map[Rule]int

	// ObservationLag is how late a box may notice what a node does: on sockets it sees that a connection was closed, or
	// reads a request that has been given up meanwhile, a moment after the next attempt has arrived elsewhere or
	// the final answer is given. In virtual time it is 0.
	ObservationLag   time.Duration
	answeredRequests []answeredRequest // requests that are kept for so long after their answer
}

// answeredRequest is a request that has been answered.
type answeredRequest struct {
	at      time.Duration
	node    *node
	id      string
	request *request
}

const maxViolations = 1000 // of which the text is kept; all are counted

type node struct {
	requests   map[string]*request
	endpoints  map[string]endpointState
	overridden map[string]time.Duration // by hand, since when

	unresponsiveSince time.Duration // it can't be heard since then; 0: it can
}

// endpointState is what a node was told of a box last.
type endpointState struct {
	ready bool
	since time.Duration
}

type request struct {
	class       int
	acceptedAt  time.Duration
	deadline    time.Duration
	excused     bool // whether its answer comes, and in time, is not its node's doing
	answered    bool
	answeredAt  time.Duration // when it was
	clientGone  bool          // its client left: nothing is owed
	attempts    []attempt
	attemptsOut int
	executions  int
	overlaps    []overlap
}

// overlap is an attempt that was sent while another one seemed to be out.
type overlap struct {
	at     time.Duration
	server string
}

type attempt struct {
	sentAt   time.Duration
	server   string
	ended    bool
	neverRan bool // proven never to have run

	unobserved bool // whether it is still out can't be seen: it does not count as out
}

// New returns an Auditor for a scenario's rules and classes.
func New(s *scenario.Scenario) *Checker {
	return &Checker{rules: s.Rules, classes: s.Classes, nodes: map[string]*node{}, countByRule: map[Rule]int{}}
}

func (a *Checker) report(r Rule, now time.Duration, node, req, box, format string, args ...any) {
	a.countByRule[r]++
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, Violation{r, now, node, req, box, fmt.Sprintf(format, args...)})
	}
}

// Violations are the broken rules so far, at most maxViolations of them.
func (a *Checker) Violations() []Violation { return a.violations }

// Count is how many rules were broken in all.
func (a *Checker) Count() (n int) {
	for _, c := range a.countByRule {
		n += c
	}
	return n
}

// NodeStarted begins a node's life, with nothing taken and nothing known.
func (a *Checker) NodeStarted(name string) {
	a.nodes[name] = &node{requests: map[string]*request{}, endpoints: map[string]endpointState{}, overridden: map[string]time.Duration{}}
}

// NodeKilled ends it from outside: nothing is owed any more.
func (a *Checker) NodeKilled(name string) { delete(a.nodes, name) }

// NodeStopped ends it by its own will: all that it took must have been answered.
func (a *Checker) NodeStopped(now time.Duration, name string) {
	n := a.nodes[name]
	if n == nil {
		return
	}
	for _, id := range sorted(n.requests) {
		if r := n.requests[id]; !r.answered && !r.clientGone && !r.excused {
			a.report(NothingLost, now, name, id, "", "taken and not answered when the node stopped")
		}
	}
	delete(a.nodes, name)
}

// clientListenTime is how long a client listens after its time is over.
const clientListenTime = 500 * time.Millisecond

// NodeUnresponsive says that a node can't be heard: its process is stopped, or what goes between it and its clients is held up.
// Its machine may take requests and news all the same.
func (a *Checker) NodeUnresponsive(now time.Duration, name string) {
	if n := a.nodes[name]; n != nil && n.unresponsiveSince == 0 {
		n.unresponsiveSince = max(now, 1)
	}
}

// NodeResponsive says that it is heard again. What it was told meanwhile counts from now, and what it owed before has its time
// from now on, so long as its client still listens. How long a request has waited that came meanwhile the node can't
// know, and its client may leave before the node's time for it is over: whether that gets an answer is not judged.
func (a *Checker) NodeResponsive(now time.Duration, name string, more time.Duration) {
	n := a.nodes[name]
	if n == nil || n.unresponsiveSince == 0 {
		return
	}
	for box, news := range n.endpoints {
		if news.since >= n.unresponsiveSince {
			n.endpoints[box] = endpointState{news.ready, now}
		}
	}
	for _, r := range n.requests {
		r.excused = r.excused || r.acceptedAt >= n.unresponsiveSince || r.deadline+clientListenTime <= now
		r.deadline = max(r.deadline, now+a.ObservationLag+more)
	}
	n.unresponsiveSince = 0
}

// ConnectionsReset says that the connections between a node and its clients were reset by neither: what was asked on them may
// get an answer or none.
func (a *Checker) ConnectionsReset(name string) {
	if n := a.nodes[name]; n != nil {
		for _, r := range n.requests {
			r.excused = true
		}
	}
}

// AttemptUnobserved says of an attempt that nobody can see whether it is still out.
func (a *Checker) AttemptUnobserved(now time.Duration, node, id string, n int) {
	at, r := a.find(node, id)
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended || r.attempts[n].unobserved {
		return
	}
	r.attempts[n].unobserved = true
	r.attemptsOut--
	a.forget(now, at, id, r)
}

// SentUnobserved is an attempt that reached a stopped server at some time: it may have run, and counts as one, but neither
// when it came nor whether it is still out is known.
func (a *Checker) SentUnobserved(now time.Duration, node, id, box string) {
	n, r := a.find(node, id)
	if r == nil {
		return
	}
	if _, ok := n.endpoints[box]; !ok {
		a.report(KnownServer, now, node, id, box, "the node was never told of it")
	}
	for _, t := range r.attempts { // whichever of the two came first: it may have run when the other was sent
		if !t.neverRan && a.classes[r.class].Effect == balancer.NonIdempotent {
			a.report(NoSecondRun, now, node, id, box, "sent here and to %s, and each may have run it", t.server)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{sentAt: now, server: box, unobserved: true})
	if len(r.attempts) > a.rules.MaxAttempts {
		a.report(AttemptLimit, now, node, id, box, "attempt %d of %d", len(r.attempts), a.rules.MaxAttempts)
	}
}

// RequestAccepted is a request that a node has read to its end.
func (a *Checker) RequestAccepted(now time.Duration, node, id string, class int, deadline time.Duration) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if n.requests[id] != nil {
		a.report(OneAnswer, now, node, id, "", "taken twice under one id")
		return
	}
	n.requests[id] = &request{class: class, acceptedAt: now, deadline: deadline}
}

// EndpointNotified is news of a box that has reached a node, or counts as having reached it.
func (a *Checker) EndpointNotified(now time.Duration, node, box string, ready bool) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if old, ok := n.endpoints[box]; !ok || old.ready != ready {
		n.endpoints[box] = endpointState{ready, now}
	}
}

// EndpointOverridden is an operator's word on a box that the node has said yes to. However often it was taken out, one word puts it
// back; no news of the box does.
func (a *Checker) EndpointOverridden(now time.Duration, node, box string, out bool) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if _, was := n.overridden[box]; out && !was {
		n.overridden[box] = now
	} else if !out {
		delete(n.overridden, box)
	}
}

// AttemptSent is an attempt that leaves a node.
func (a *Checker) AttemptSent(now time.Duration, node, id string, box string) {
	n, r := a.find(node, id)
	if n == nil {
		return
	}
	if news, ok := n.endpoints[box]; !ok {
		a.report(KnownServer, now, node, id, box, "the node was never told of it")
	} else if !news.ready && now > news.since+a.rules.DrainGrace+a.rules.Slack {
		a.report(DrainGrace, now, node, id, box, "sent %.0f ms after the node was told that it drains or is gone", (now-news.since).Seconds()*1000)
	}
	if at, out := n.overridden[box]; out && now > at+a.rules.DrainGrace+a.rules.Slack {
		a.report(AdminOverride, now, node, id, box, "sent %.0f ms after an operator took it out", (now-at).Seconds()*1000)
	}
	if r == nil {
		a.report(OneAnswer, now, node, id, box, "sent for no open request")
		return
	}
	if r.answered && now > r.answeredAt+a.ObservationLag {
		a.report(OneAnswer, now, node, id, box, "sent after the final answer")
	}
	if r.attemptsOut > 0 {
		r.overlaps = append(r.overlaps, overlap{now, box})
		a.reportOverlaps(now, node, id, r)
	}
	if len(r.attempts) >= a.rules.MaxAttempts {
		a.report(AttemptLimit, now, node, id, box, "attempt %d of %d", len(r.attempts)+1, a.rules.MaxAttempts)
	}
	c := a.classes[r.class]
	for _, t := range r.attempts {
		late := c.Effect == balancer.IdempotentWithKey && now > t.sentAt+c.DedupWindow
		if !t.neverRan && (c.Effect == balancer.NonIdempotent || late) {
			a.report(NoSecondRun, now, node, id, box, "sent again though %s may have run it", t.server)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{sentAt: now, server: box})
	r.attemptsOut++
}

// reportOverlaps says which attempts were sent while an earlier one has stayed out for longer than it takes to notice.
func (a *Checker) reportOverlaps(now time.Duration, node, id string, r *request) {
	for len(r.overlaps) > 0 && now-r.overlaps[0].at >= a.ObservationLag {
		a.report(OneAttempt, r.overlaps[0].at, node, id, r.overlaps[0].server, "another attempt is out")
		r.overlaps = r.overlaps[1:]
	}
}

// AttemptExecuted is a box that has truly started on a request.
func (a *Checker) AttemptExecuted(now time.Duration, node, id, box string) {
	_, r := a.find(node, id)
	if r == nil {
		return
	}
	if r.executions++; r.executions > 1 && a.classes[r.class].Effect == balancer.NonIdempotent {
		a.report(NoSecondRun, now, node, id, box, "run %d of a request that must run once", r.executions)
	}
}

// AttemptEnded is what a node was told of an attempt's end.
func (a *Checker) AttemptEnded(now time.Duration, node, id string, n int, e balancer.Outcome) {
	at, r := a.find(node, id)
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	r.attempts[n].ended = true
	r.attempts[n].neverRan = e == balancer.Overloaded || e == balancer.Unreachable || e == balancer.NotSent
	if r.attempts[n].unobserved {
		return
	}
	a.reportOverlaps(now, node, id, r)
	r.attemptsOut--
	if r.attemptsOut <= 1 {
		r.overlaps = nil
	}
	a.forget(now, at, id, r)
}

// RequestAnswered is a final answer.
func (a *Checker) RequestAnswered(now time.Duration, node, id string, how Answer) {
	n, r := a.find(node, id)
	switch {
	case n == nil:
		return
	case r == nil:
		a.report(OneAnswer, now, node, id, "", "answered though nothing is open under this id")
		return
	case r.answered:
		a.report(OneAnswer, now, node, id, "", "answered a second time")
		return
	}
	r.answered, r.answeredAt = true, now
	if now > r.deadline+a.rules.Slack && !r.clientGone && !r.excused {
		a.report(InTime, now, node, id, "", "answered %.0f ms after its deadline", (now-r.deadline).Seconds()*1000)
	}
	if how == Served && r.executions == 0 {
		a.report(GenuineAnswer, now, node, id, "", "served though no box has run it")
	}
	if how == Rejected && a.classes[r.class].Effect == balancer.NonIdempotent {
		for _, t := range r.attempts {
			if !t.neverRan {
				a.report(SafeRejection, now, node, id, t.server, "refused though it may have run there")
				break
			}
		}
	}
	a.forget(now, n, id, r)
}

// ConnectionDropped is a taken request whose connection the node has ended without a whole answer.
func (a *Checker) ConnectionDropped(now time.Duration, node, id string) {
	if n, r := a.find(node, id); r != nil && !r.answered {
		if !r.excused {
			a.report(NothingLost, now, node, id, "", "its connection ended without an answer")
		}
		r.answered, r.answeredAt = true, now
		a.forget(now, n, id, r)
	}
}

// ClientGone is a client that has left.
func (a *Checker) ClientGone(now time.Duration, node, id string) {
	if n, r := a.find(node, id); r != nil {
		r.clientGone, r.answered, r.answeredAt = true, true, now
		a.forget(now, n, id, r)
	}
}

// ServerOverloaded is a cold box that was pushed over, and the request that did it.
func (a *Checker) ServerOverloaded(now time.Duration, node, id, box string) {
	a.report(WarmupOverload, now, node, id, box, "sent more than %.3g times what it could do within %v", a.rules.OverloadMultiple, a.rules.OverloadWindow)
}

// Finish says that the world has ended: what is still open was never answered.
func (a *Checker) Finish(now time.Duration) {
	for _, name := range sorted(a.nodes) {
		n := a.nodes[name]
		for _, id := range sorted(n.requests) {
			a.reportOverlaps(now, name, id, n.requests[id])
			if r := n.requests[id]; !r.answered && !r.excused && now > r.deadline+a.rules.Slack {
				a.report(InTime, now, name, id, "", "never answered; its deadline was %.3f s", r.deadline.Seconds())
			}
		}
	}
}

func (a *Checker) find(name, id string) (*node, *request) {
	n := a.nodes[name]
	if n == nil {
		return nil, nil
	}
	return n, n.requests[id]
}

// forget drops a request of which nothing more can come: an unsafe one that was sent again is kept, for the run
// of an attempt that was said never to have run may still show.
func (a *Checker) forget(now time.Duration, n *node, id string, r *request) {
	for len(a.answeredRequests) > 0 && now > a.answeredRequests[0].at+a.ObservationLag {
		a.answeredRequests[0].forgetIfOver()
		a.answeredRequests = a.answeredRequests[1:]
	}
	switch {
	case !r.answered:
	case a.ObservationLag > 0:
		a.answeredRequests = append(a.answeredRequests, answeredRequest{now, n, id, r})
	default:
		answeredRequest{now, n, id, r}.forgetIfOver()
	}
}

func (p answeredRequest) forgetIfOver() {
	if r := p.request; r.answered && r.attemptsOut == 0 && len(r.attempts) < 2 && p.node.requests[p.id] == r {
		delete(p.node.requests, p.id)
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
