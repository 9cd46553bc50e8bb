// Package invariants holds what must never happen at a node, as checks of typed facts. There is one for each moment at which
// a rule can be broken: a request is written to a server (Send), a request is retried (Retry), an attempt starts at a server
// in slow start (SlowStartSend), a request ends (RequestEnd). A check takes what is known at that moment and returns the
// Violation, nil if there is none. The checks are pure and may be called from any goroutine; a Guard counts and logs what
// the checks of one node found.
//
// The engine and the HTTP ingress call a check where the thing itself is done, whatever was decided before: a decision may
// rest on a state that has changed since. A check prevents nothing; it shows that a guard before it has failed, or that one
// is missing. The rules are the operators' (docs/incidents/2026-12-02-sends-on-an-expired-list.md).
package invariants

import (
	"fmt"
	"time"
)

// Rule is one of the operators' rules.
type Rule int

// The rules. Their names, as String gives them, are in the log.
const (
	// Drain: nothing is sent to a server that drains, has left the endpoint list or is disabled by an operator, nor on
	// an endpoint list that has expired. Broken, it shows as requests that end with a server's shutdown or restart.
	Drain Rule = iota
	// Duplicate: a request that may have run is neither retried nor rejected (which invites its client to retry it),
	// unless its class allows that it runs twice; and no request has two attempts out, or more than the settings allow.
	// Broken, it shows as work done twice.
	Duplicate
	// Lost: each request that was read gets one final answer in time, and nothing is sent for a client that has gone.
	// Broken, it shows as clients that time out, or as work done for nobody.
	Lost
	// Budget: a server is told at most the time that the client has left. Broken, it shows as servers that work on
	// requests whose clients have given up, most of all in an overload.
	Budget
	// SlowStart: a server that is warming up has at most one attempt of this node outstanding. Broken, it shows as a
	// cold server that is overloaded as soon as it is back.
	SlowStart
	ruleCount // how many there are
)

// Rules are all of them.
var Rules = [ruleCount]Rule{Drain, Duplicate, Lost, Budget, SlowStart}

var ruleNames = [ruleCount]string{"drain", "duplicate", "lost", "budget", "slow-start"}

// String is the rule's name in the log.
func (r Rule) String() string { return ruleNames[r] }

// The slack that the operators' rules leave, for what takes its time on the way.
const (
	// DrainGrace is from the moment at which the node is notified that a server may get nothing new, or at which the
	// endpoint list expires, until the last send: requests that are being written need not be recalled.
	DrainGrace = 250 * time.Millisecond
	// ClientGoneGrace is from a client's cancel or close until the last send for it: the node has to notice first.
	ClientGoneGrace = 100 * time.Millisecond
	// BudgetSlack is by how much the time-out that a server is told may exceed what the client has left: the request
	// is composed a little before it is written.
	BudgetSlack = 150 * time.Millisecond
	// AnswerSlack is from a request's deadline until its final answer at the latest: a time-out has to be noticed.
	AnswerSlack = 500 * time.Millisecond
)

// Violation says which rule was broken, how, and by how much.
type Violation struct {
	Rule        Rule
	Description string
	Excess      time.Duration // over the rule's limit; 0 where the rule has no limit in time
}

// Error describes the violation and says what an operator can do.
func (v *Violation) Error() string {
	text := fmt.Sprintf("invariant %v broken: %s", v.Rule, v.Description)
	if v.Excess > 0 {
		text += fmt.Sprintf(", by %v", v.Excess)
	}
	return text + "; keep the node's log and capture, and report it"
}

// timeLimitViolation is the violation of a limit in time: nil unless excess, the time over the limit, is positive.
func timeLimitViolation(rule Rule, what string, excess time.Duration) *Violation {
	if excess <= 0 {
		return nil
	}
	return &Violation{Rule: rule, Description: what, Excess: excess}
}
