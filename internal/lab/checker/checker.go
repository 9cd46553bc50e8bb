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
	OneAnswer   Rule = "one-answer"    // a taken request gets exactly one final answer
	InTime      Rule = "in-time"       // by its deadline
	NoSecondRun Rule = "no-second-run" // what may have run is not sent again, unless its class allows it
	Harmless    Rule = "refusal"       // nor refused
	OneOut      Rule = "one-out"       // one attempt out at a time
	MostSends   Rule = "attempts"      // no more than the rules allow in all
	Drain       Rule = "drain"         // nothing new to a draining or gone box after the grace
	Cold        Rule = "cold"          // no cold box is pushed over
	ByHand      Rule = "by-hand"       // nothing is sent to a box that an operator has taken out
	Lost        Rule = "lost"          // nothing is lost by a node that was told to stop
	MadeUp      Rule = "made-up"       // nothing is served that no box has run
	KnownBox    Rule = "known-box"     // nothing is sent to a box that the node was never told of
)

// Violation is one broken rule.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Node    string
	Request string
	Box     string
	What    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: node %s request %s box %s: %s", v.Rule, v.At.Seconds(), v.Node, none(v.Request), none(v.Box), v.What)
}

func none(s string) string {
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
	Refused
	Failed
)

// Auditor takes facts in the order of time. It belongs to one goroutine.
type Auditor struct {
	rules   scenario.Rules
	classes []scenario.Class
	nodes   map[string]*node
	list    []Violation
	counts  map[Rule]int

	// Overlap is how late a box may notice what a node does: on sockets it sees that a connection was closed, or
	// reads a request that has been given up meanwhile, a moment after the next attempt has arrived elsewhere or
	// the final answer is given. In virtual time it is 0.
	Overlap  time.Duration
	answered []past // requests that are kept for so long after their answer
}

// past is a request that has been answered.
type past struct {
	at   time.Duration
	node *node
	id   string
	req  *request
}

const keptViolations = 1000 // of which the text is kept; all are counted

type node struct {
	open  map[string]*request
	boxes map[string]boxNews
	out   map[string]time.Duration // by hand, since when

	away time.Duration // it can't be heard since then; 0: it can
}

// boxNews is what a node was told of a box last.
type boxNews struct {
	ready bool
	at    time.Duration
}

type request struct {
	class    int
	at       time.Duration
	deadline time.Duration
	excused  bool // whether its answer comes, and in time, is not its node's doing
	answered bool
	ended    time.Duration // when it was
	gone     bool          // its client left: nothing is owed
	attempts []attempt
	out      int
	ran      int
	overlaps []overlap
}

// overlap is an attempt that was sent while another one seemed to be out.
type overlap struct {
	at  time.Duration
	box string
}

type attempt struct {
	at    time.Duration
	box   string
	ended bool
	never bool // proven never to have run

	unseen bool // whether it is still out can't be seen: it does not count as out
}

// New returns an Auditor for a scenario's rules and classes.
func New(s *scenario.Scenario) *Auditor {
	return &Auditor{rules: s.Rules, classes: s.Classes, nodes: map[string]*node{}, counts: map[Rule]int{}}
}

func (a *Auditor) broke(r Rule, now time.Duration, node, req, box, format string, args ...any) {
	a.counts[r]++
	if len(a.list) < keptViolations {
		a.list = append(a.list, Violation{r, now, node, req, box, fmt.Sprintf(format, args...)})
	}
}

// Violations are the broken rules so far, at most keptViolations of them.
func (a *Auditor) Violations() []Violation { return a.list }

// Count is how many rules were broken in all.
func (a *Auditor) Count() (n int) {
	for _, c := range a.counts {
		n += c
	}
	return n
}

// NodeStarted begins a node's life, with nothing taken and nothing known.
func (a *Auditor) NodeStarted(name string) {
	a.nodes[name] = &node{open: map[string]*request{}, boxes: map[string]boxNews{}, out: map[string]time.Duration{}}
}

// NodeKilled ends it from outside: nothing is owed any more.
func (a *Auditor) NodeKilled(name string) { delete(a.nodes, name) }

// NodeStopped ends it by its own will: all that it took must have been answered.
func (a *Auditor) NodeStopped(now time.Duration, name string) {
	n := a.nodes[name]
	if n == nil {
		return
	}
	for _, id := range sorted(n.open) {
		if r := n.open[id]; !r.answered && !r.gone && !r.excused {
			a.broke(Lost, now, name, id, "", "taken and not answered when the node stopped")
		}
	}
	delete(a.nodes, name)
}

// patience is how long a client listens after its time is over.
const patience = 500 * time.Millisecond

// NodeAway says that a node can't be heard: its process is stopped, or what goes between it and its clients is held up.
// Its machine may take requests and news all the same.
func (a *Auditor) NodeAway(now time.Duration, name string) {
	if n := a.nodes[name]; n != nil && n.away == 0 {
		n.away = max(now, 1)
	}
}

// NodeBack says that it is heard again. What it was told meanwhile counts from now, and what it owed before has its time
// from now on, so long as its client still listens. How long a request has waited that came meanwhile the node can't
// know, and its client may leave before the node's time for it is over: whether that gets an answer is not judged.
func (a *Auditor) NodeBack(now time.Duration, name string, more time.Duration) {
	n := a.nodes[name]
	if n == nil || n.away == 0 {
		return
	}
	for box, news := range n.boxes {
		if news.at >= n.away {
			n.boxes[box] = boxNews{news.ready, now}
		}
	}
	for _, r := range n.open {
		r.excused = r.excused || r.at >= n.away || r.deadline+patience <= now
		r.deadline = max(r.deadline, now+a.Overlap+more)
	}
	n.away = 0
}

// Severed says that the connections between a node and its clients were reset by neither: what was asked on them may
// get an answer or none.
func (a *Auditor) Severed(name string) {
	if n := a.nodes[name]; n != nil {
		for _, r := range n.open {
			r.excused = true
		}
	}
}

// Unseen says of an attempt that nobody can see whether it is still out.
func (a *Auditor) Unseen(now time.Duration, node, id string, n int) {
	at, r := a.find(node, id)
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended || r.attempts[n].unseen {
		return
	}
	r.attempts[n].unseen = true
	r.out--
	a.forget(now, at, id, r)
}

// SentUnseen is an attempt that reached a stopped server at some time: it may have run, and counts as one, but neither
// when it came nor whether it is still out is known.
func (a *Auditor) SentUnseen(now time.Duration, node, id, box string) {
	n, r := a.find(node, id)
	if r == nil {
		return
	}
	if _, ok := n.boxes[box]; !ok {
		a.broke(KnownBox, now, node, id, box, "the node was never told of it")
	}
	for _, t := range r.attempts { // whichever of the two came first: it may have run when the other was sent
		if !t.never && a.classes[r.class].Effect == balancer.NonIdempotent {
			a.broke(NoSecondRun, now, node, id, box, "sent here and to %s, and each may have run it", t.box)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{at: now, box: box, unseen: true})
	if len(r.attempts) > a.rules.MaxAttempts {
		a.broke(MostSends, now, node, id, box, "attempt %d of %d", len(r.attempts), a.rules.MaxAttempts)
	}
}

// Taken is a request that a node has read to its end.
func (a *Auditor) Taken(now time.Duration, node, id string, class int, deadline time.Duration) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if n.open[id] != nil {
		a.broke(OneAnswer, now, node, id, "", "taken twice under one id")
		return
	}
	n.open[id] = &request{class: class, at: now, deadline: deadline}
}

// Told is news of a box that has reached a node, or counts as having reached it.
func (a *Auditor) Told(now time.Duration, node, box string, ready bool) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if old, ok := n.boxes[box]; !ok || old.ready != ready {
		n.boxes[box] = boxNews{ready, now}
	}
}

// Handed is an operator's word on a box that the node has said yes to. However often it was taken out, one word puts it
// back; no news of the box does.
func (a *Auditor) Handed(now time.Duration, node, box string, out bool) {
	n := a.nodes[node]
	if n == nil {
		return
	}
	if _, was := n.out[box]; out && !was {
		n.out[box] = now
	} else if !out {
		delete(n.out, box)
	}
}

// Sent is an attempt that leaves a node.
func (a *Auditor) Sent(now time.Duration, node, id string, box string) {
	n, r := a.find(node, id)
	if n == nil {
		return
	}
	if news, ok := n.boxes[box]; !ok {
		a.broke(KnownBox, now, node, id, box, "the node was never told of it")
	} else if !news.ready && now > news.at+a.rules.DrainGrace+a.rules.Slack {
		a.broke(Drain, now, node, id, box, "sent %.0f ms after the node was told that it drains or is gone", (now-news.at).Seconds()*1000)
	}
	if at, out := n.out[box]; out && now > at+a.rules.DrainGrace+a.rules.Slack {
		a.broke(ByHand, now, node, id, box, "sent %.0f ms after an operator took it out", (now-at).Seconds()*1000)
	}
	if r == nil {
		a.broke(OneAnswer, now, node, id, box, "sent for no open request")
		return
	}
	if r.answered && now > r.ended+a.Overlap {
		a.broke(OneAnswer, now, node, id, box, "sent after the final answer")
	}
	if r.out > 0 {
		r.overlaps = append(r.overlaps, overlap{now, box})
		a.stillOut(now, node, id, r)
	}
	if len(r.attempts) >= a.rules.MaxAttempts {
		a.broke(MostSends, now, node, id, box, "attempt %d of %d", len(r.attempts)+1, a.rules.MaxAttempts)
	}
	c := a.classes[r.class]
	for _, t := range r.attempts {
		late := c.Effect == balancer.IdempotentWithKey && now > t.at+c.Window
		if !t.never && (c.Effect == balancer.NonIdempotent || late) {
			a.broke(NoSecondRun, now, node, id, box, "sent again though %s may have run it", t.box)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{at: now, box: box})
	r.out++
}

// stillOut says which attempts were sent while an earlier one has stayed out for longer than it takes to notice.
func (a *Auditor) stillOut(now time.Duration, node, id string, r *request) {
	for len(r.overlaps) > 0 && now-r.overlaps[0].at >= a.Overlap {
		a.broke(OneOut, r.overlaps[0].at, node, id, r.overlaps[0].box, "another attempt is out")
		r.overlaps = r.overlaps[1:]
	}
}

// Ran is a box that has truly started on a request.
func (a *Auditor) Ran(now time.Duration, node, id, box string) {
	_, r := a.find(node, id)
	if r == nil {
		return
	}
	if r.ran++; r.ran > 1 && a.classes[r.class].Effect == balancer.NonIdempotent {
		a.broke(NoSecondRun, now, node, id, box, "run %d of a request that must run once", r.ran)
	}
}

// Ended is what a node was told of an attempt's end.
func (a *Auditor) Ended(now time.Duration, node, id string, n int, e balancer.Outcome) {
	at, r := a.find(node, id)
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	r.attempts[n].ended = true
	r.attempts[n].never = e == balancer.Overloaded || e == balancer.Unreachable || e == balancer.NotSent
	if r.attempts[n].unseen {
		return
	}
	a.stillOut(now, node, id, r)
	r.out--
	if r.out <= 1 {
		r.overlaps = nil
	}
	a.forget(now, at, id, r)
}

// Answered is a final answer.
func (a *Auditor) Answered(now time.Duration, node, id string, how Answer) {
	n, r := a.find(node, id)
	switch {
	case n == nil:
		return
	case r == nil:
		a.broke(OneAnswer, now, node, id, "", "answered though nothing is open under this id")
		return
	case r.answered:
		a.broke(OneAnswer, now, node, id, "", "answered a second time")
		return
	}
	r.answered, r.ended = true, now
	if now > r.deadline+a.rules.Slack && !r.gone && !r.excused {
		a.broke(InTime, now, node, id, "", "answered %.0f ms after its deadline", (now-r.deadline).Seconds()*1000)
	}
	if how == Served && r.ran == 0 {
		a.broke(MadeUp, now, node, id, "", "served though no box has run it")
	}
	if how == Refused && a.classes[r.class].Effect == balancer.NonIdempotent {
		for _, t := range r.attempts {
			if !t.never {
				a.broke(Harmless, now, node, id, t.box, "refused though it may have run there")
				break
			}
		}
	}
	a.forget(now, n, id, r)
}

// Dropped is a taken request whose connection the node has ended without a whole answer.
func (a *Auditor) Dropped(now time.Duration, node, id string) {
	if n, r := a.find(node, id); r != nil && !r.answered {
		if !r.excused {
			a.broke(Lost, now, node, id, "", "its connection ended without an answer")
		}
		r.answered, r.ended = true, now
		a.forget(now, n, id, r)
	}
}

// Gone is a client that has left.
func (a *Auditor) Gone(now time.Duration, node, id string) {
	if n, r := a.find(node, id); r != nil {
		r.gone, r.answered, r.ended = true, true, now
		a.forget(now, n, id, r)
	}
}

// Fell is a cold box that was pushed over, and the request that did it.
func (a *Auditor) Fell(now time.Duration, node, id, box string) {
	a.broke(Cold, now, node, id, box, "sent more than %.3g times what it could do within %v", a.rules.FallMultiple, a.rules.Fall)
}

// Finish says that the world has ended: what is still open was never answered.
func (a *Auditor) Finish(now time.Duration) {
	for _, name := range sorted(a.nodes) {
		n := a.nodes[name]
		for _, id := range sorted(n.open) {
			a.stillOut(now, name, id, n.open[id])
			if r := n.open[id]; !r.answered && !r.excused && now > r.deadline+a.rules.Slack {
				a.broke(InTime, now, name, id, "", "never answered; its deadline was %.3f s", r.deadline.Seconds())
			}
		}
	}
}

func (a *Auditor) find(name, id string) (*node, *request) {
	n := a.nodes[name]
	if n == nil {
		return nil, nil
	}
	return n, n.open[id]
}

// forget drops a request of which nothing more can come: an unsafe one that was sent again is kept, for the run
// of an attempt that was said never to have run may still show.
func (a *Auditor) forget(now time.Duration, n *node, id string, r *request) {
	for len(a.answered) > 0 && now > a.answered[0].at+a.Overlap {
		a.answered[0].drop()
		a.answered = a.answered[1:]
	}
	switch {
	case !r.answered:
	case a.Overlap > 0:
		a.answered = append(a.answered, past{now, n, id, r})
	default:
		past{now, n, id, r}.drop()
	}
}

func (p past) drop() {
	if r := p.req; r.answered && r.out == 0 && len(r.attempts) < 2 && p.node.open[p.id] == r {
		delete(p.node.open, p.id)
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
