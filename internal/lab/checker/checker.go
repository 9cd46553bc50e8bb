// Package checker checks the rules that a node guarantees. The simulation in virtual time and the runs on real sockets
// report the same facts to it: what a node accepted, sent and answered, what it was notified of, and what servers executed.
// The checker does not influence the run. It reports each broken rule as a Violation with the rule, request, server and
// time.
package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxViolations limits the listed violations, because a single fault can break a rule on every request. All violations are
// counted.
const maxViolations = 1000

// clientListenTime is how long a client still listens after its deadline.
const clientListenTime = 500 * time.Millisecond

// Checker takes facts in order of time. It is not safe for concurrent use.
type Checker struct {
	rules       scenario.Rules
	classes     []scenario.Class
	nodes       map[string]*node
	violations  []Violation
	countByRule map[Rule]int

	// ObservationLag is how long after the fact a server may notice what a node does. On sockets a server can see that a
	// connection was closed, or read a request that was already canceled, shortly after the next attempt has arrived at
	// another server or the client has received the final answer. In virtual time the lag is 0.
	ObservationLag   time.Duration
	answeredRequests []answeredRequest // kept for ObservationLag after their answers
}

// node is one incarnation of a node: the endpoint states and overrides that it knows, and the requests that it accepted.
type node struct {
	requests   map[string]*request
	endpoints  map[string]endpointState
	overridden map[string]time.Duration // servers that an operator has disabled, since when

	unresponsiveSince time.Duration // 0: the node is responsive
}

// endpointState is the latest state of a server that a node was notified of.
type endpointState struct {
	ready bool
	since time.Duration
}

// request is a request that a node has accepted. It is open until it is answered, and is kept as long as events of its
// attempts can still be reported.
type request struct {
	class            int
	acceptedAt       time.Duration
	deadline         time.Duration
	excused          bool // a fault outside the node decides whether and when it is answered
	answered         bool
	answeredAt       time.Duration
	clientGone       bool // the node need not answer it
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
	neverRan   bool // the outcome proves that no server executed it
	unobserved bool // it cannot be observed whether it is in flight; it does not count as in flight
}

// overlap is an attempt that was sent while another one appeared to be in flight.
type overlap struct {
	at     time.Duration
	server string
}

// New returns a Checker for the rules and classes of a scenario.
func New(s *scenario.Scenario) *Checker {
	return &Checker{rules: s.Rules, classes: s.Classes, nodes: map[string]*node{}, countByRule: map[Rule]int{}}
}

// report counts a violation, and lists it if fewer than maxViolations are listed.
func (c *Checker) report(rule Rule, now time.Duration, node, request, server, format string, args ...any) {
	c.countByRule[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, now, node, request, server, fmt.Sprintf(format, args...)})
	}
}

// Violations returns the violations so far, at most maxViolations of them.
func (c *Checker) Violations() []Violation { return c.violations }

// Count returns the number of all violations, including those that are not listed.
func (c *Checker) Count() (total int) {
	for _, n := range c.countByRule {
		total += n
	}
	return total
}

// Finish ends the run and reports the requests that were never answered.
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

// find returns a node and one of its requests, each nil if it does not exist.
func (c *Checker) find(name, id string) (*node, *request) {
	n := c.nodes[name]
	if n == nil {
		return nil, nil
	}
	return n, n.requests[id]
}

// nonIdempotent reports whether a request must not be executed twice.
func (c *Checker) nonIdempotent(r *request) bool {
	return c.classes[r.class].Effect == balancer.NonIdempotent
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
