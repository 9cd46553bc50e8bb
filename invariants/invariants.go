// Package invariants checks that a node never breaks the operators' rules for it
// (docs/incidents/2026-12-02-sends-on-an-expired-list.md).
//
// There is one type for each operation that can break a rule: a request is written to a server (Send), a request is retried
// (Retry), an attempt is started at a server (SlowStartSend), or a request ends (RequestEnd). The type's fields describe the
// operation, and its method Check returns the Violation, or nil. The checks have no side effects and may be called from
// any goroutine. A Recorder counts and logs the violations of one node.
//
// The engine and the HTTP ingress run a check where the operation takes place, not where it was decided: the state may have
// changed since the decision. A check does not prevent a violation. It shows that the code that should prevent it failed or
// is missing.
package invariants

import (
	"fmt"
	"time"
)

// Rule is one of the operators' rules.
type Rule int

// The rules. The log contains their names, as returned by String.
const (
	// Drain: no request is sent to a server that is draining, has left the endpoint list or is disabled by an operator,
	// or when the endpoint list has expired. Violations cause requests to fail when a server shuts down or restarts.
	Drain Rule = iota
	// Duplicate: a request that may have run is neither retried nor rejected (a rejection invites the client to retry),
	// unless its class allows it to run twice. A request has at most one outstanding attempt, and at most as many
	// attempts as the settings allow. Violations cause work to be done twice.
	Duplicate
	// Lost: each request that was read gets one final answer in time, and nothing is sent for a client that is gone.
	// Violations cause clients to time out, or servers to work for clients that are gone.
	Lost
	// Budget: the timeout that is sent to a server does not exceed the time that the client has left. Violations cause
	// servers to work on requests whose clients have given up, most of all during an overload.
	Budget
	// SlowStart: this node has at most one outstanding attempt at a server that is warming up. Violations overload a
	// server as soon as it has started.
	SlowStart
	ruleCount // number of rules
)

// Rules contains all rules.
var Rules = [ruleCount]Rule{Drain, Duplicate, Lost, Budget, SlowStart}

var ruleNames = [ruleCount]string{"drain", "duplicate", "lost", "budget", "slow-start"}

// String returns the rule's name in the log.
func (r Rule) String() string { return ruleNames[r] }

// The tolerances of the rules.
const (
	// DrainGrace is the time for which requests may still be sent after the node is notified that a server gets no new
	// requests, or after the endpoint list expires: a request that is being written need not be stopped.
	DrainGrace = 250 * time.Millisecond
	// ClientGoneGrace is the time for which requests may still be sent for a client after the client cancels or closes: the
	// node first has to detect that.
	ClientGoneGrace = 100 * time.Millisecond
	// DedupSlack is how long after the end of its window a repeat may still be sent: servers discard it for that much
	// longer.
	DedupSlack = 50 * time.Millisecond
	// BudgetSlack is by how much the timeout sent to a server may exceed the time that the client has left: the request
	// is encoded shortly before it is written.
	BudgetSlack = 150 * time.Millisecond
	// AnswerSlack is how long after a request's deadline the final answer may still be given: the node first has to detect
	// that the deadline has passed.
	AnswerSlack = 500 * time.Millisecond
	// KillSlack is the time from the last answer of a node that shuts down to the earliest moment at which its process may
	// be killed.
	KillSlack = 150 * time.Millisecond
)

// Violation says which rule was broken, how, and by how much.
type Violation struct {
	Rule        Rule
	Description string
	Excess      time.Duration // time over the rule's limit; 0 if the rule has no time limit
}

// Error describes the violation and tells the operator what to do.
func (v *Violation) Error() string {
	text := fmt.Sprintf("invariant %v broken: %s", v.Rule, v.Description)
	if v.Excess > 0 {
		text += fmt.Sprintf(", by %v", v.Excess)
	}
	return text + "; keep the node's log and capture, and report it"
}

// timeLimitViolation returns a violation of a time limit if excess, the time over the limit, is positive; otherwise nil.
func timeLimitViolation(rule Rule, what string, excess time.Duration) *Violation {
	if excess <= 0 {
		return nil
	}
	return &Violation{Rule: rule, Description: what, Excess: excess}
}
