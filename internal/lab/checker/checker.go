// Package checker holds a played world to the promises that a node makes. Virtual time and sockets report the same facts
// to it: what a node accepted, sent and answered, what it was notified of, and what servers really ran. It decides nothing
// and changes nothing; each broken rule is a Violation that names rule, request, server and time.
package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxViolations is how many violations are listed; all are counted. One broken rule can break every request of a play.
const maxViolations = 1000

// clientListenTime is how long a client still listens after its deadline.
const clientListenTime = 500 * time.Millisecond

// Checker takes facts in the order of time. It belongs to one goroutine.
type Checker struct {
	rules       scenario.Rules
	classes     []scenario.Class
	nodes       map[string]*node
	violations  []Violation
	countByRule map[Rule]int

	// ObservationLag is how late a server may notice what a node does: on sockets it sees that a connection was closed, or
	// reads a request that was canceled in the meantime, a moment after the next attempt has arrived elsewhere or the final
	// answer is given. In virtual time it is 0.
	ObservationLag   time.Duration
	answeredRequests []answeredRequest // kept for ObservationLag after their answers
}

// node is one incarnation of a node: what it was notified of, and what it owes.
type node struct {
	requests   map[string]*request
	endpoints  map[string]endpointState
	overridden map[string]time.Duration // servers that an operator has disabled, since when

	unresponsiveSince time.Duration // 0: it is responsive
}

// endpointState is what a node was notified of a server last.
type endpointState struct {
	ready bool
	since time.Duration
}

// request is one that a node has accepted. It is open until it is answered, and is kept while facts about its attempts can
// still come.
type request struct {
	class            int
	acceptedAt       time.Duration
	deadline         time.Duration
	excused          bool // whether and when it is answered is not its node's doing
	answered         bool
	answeredAt       time.Duration
	clientGone       bool // nothing is owed
	attempts         []attempt
	attemptsInFlight int
	executions       int
	overlaps         []overlap
}

// attempt is one time that a request was sent.
type attempt struct {
	sentAt     time.Duration
	server     string
	ended      bool
	neverRan   bool // proven
	unobserved bool // whether it is still out can't be seen: it does not count as out
}

// overlap is an attempt that was sent while another one seemed to be out.
type overlap struct {
	at     time.Duration
	server string
}

// New returns a Checker for a scenario's rules and classes.
func New(s *scenario.Scenario) *Checker {
	return &Checker{rules: s.Rules, classes: s.Classes, nodes: map[string]*node{}, countByRule: map[Rule]int{}}
}

// report counts a violation, and lists it while there are few.
func (c *Checker) report(rule Rule, now time.Duration, node, request, server, format string, args ...any) {
	c.countByRule[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, now, node, request, server, fmt.Sprintf(format, args...)})
	}
}

// Violations are the broken rules so far, at most maxViolations of them.
func (c *Checker) Violations() []Violation { return c.violations }

// Count is how often rules were broken in all.
func (c *Checker) Count() (total int) {
	for _, n := range c.countByRule {
		total += n
	}
	return total
}

// Finish ends the world: what is still open was never answered.
func (c *Checker) Finish(now time.Duration) {
	for _, name := range sortedKeys(c.nodes) {
		requests := c.nodes[name].requests
		for _, id := range sortedKeys(requests) {
			r := requests[id]
			c.reportOverlaps(now, name, id, r)
			if !r.answered && !r.excused && now > r.deadline+c.rules.Slack {
				c.report(InTime, now, name, id, "", "never answered; its deadline was %.3f s", r.deadline.Seconds())
			}
		}
	}
}

// find returns a node and one of its requests; nil: there is none.
func (c *Checker) find(name, id string) (*node, *request) {
	n := c.nodes[name]
	if n == nil {
		return nil, nil
	}
	return n, n.requests[id]
}

// nonIdempotent says that a request must not run twice.
func (c *Checker) nonIdempotent(r *request) bool {
	return c.classes[r.class].Effect == balancer.NonIdempotent
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
