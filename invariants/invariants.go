// Package invariants holds what must never happen at a node, as checks of typed facts: each send, each repeat, each answer
// or close, and each start of calls to a cold server. A check takes what is known at that moment and gives the Violation,
// nil if there is none. It is pure; a Guard counts what the checks of one node gave.
//
// The engine and the HTTP front call it where the thing itself is done, whatever was decided before: a decision may rest
// on a state that has changed since. The figures are those of the operators' rules
// (docs/incidents/2026-12-02-sends-on-an-expired-list.md).
package invariants

import (
	"fmt"
	"time"
)

// Rule is one of the operators' rules.
type Rule int

// Rules.
const (
	Drain     Rule = iota // nothing goes to a server that drains or is gone, as far as the node was told or counts as told
	Duplicate             // what may have run is neither sent again nor refused, unless its class allows that
	Lost                  // each request read gets one final answer in time, and nothing is sent for a client that has gone
	Budget                // a server is told at most the time that the client has left
	SlowStart             // a cold server gets one call of this node at a time
	rules
)

// Rules are all of them.
var Rules = [rules]Rule{Drain, Duplicate, Lost, Budget, SlowStart}

func (r Rule) String() string {
	return [rules]string{"drain", "duplicate", "lost", "budget", "slow-start"}[r]
}

// The slack that the operators' rules leave.
const (
	DrainGrace      = 250 * time.Millisecond // from being told till the last send
	ClientGoneGrace = 100 * time.Millisecond // from a client's end till the last attempt
	BudgetSlack     = 150 * time.Millisecond
	AnswerSlack     = 500 * time.Millisecond // after a request's deadline
)

// Violation says which rule was broken, how, and by how much.
type Violation struct {
	Rule   Rule
	What   string
	Excess time.Duration // 0 where the rule has no time
}

func (v *Violation) Error() string {
	text := fmt.Sprintf("invariant %v broken: %s", v.Rule, v.What)
	if v.Excess > 0 {
		text += fmt.Sprintf(", by %v", v.Excess)
	}
	return text + "; keep the node's log and capture, and report it"
}

// over gives the violation of a limit in time, if it is one.
func over(rule Rule, what string, by time.Duration) *Violation {
	if by <= 0 {
		return nil
	}
	return &Violation{Rule: rule, What: what, Excess: by}
}

// first gives the first of several violations.
func first(list ...*Violation) *Violation {
	for _, v := range list {
		if v != nil {
			return v
		}
	}
	return nil
}

// Send is one attempt whose request has been written. Times are of one monotonic clock; 0 where something has not
// happened.
type Send struct {
	Began            time.Duration // right before the first byte was written
	Stopped          time.Duration // when the node was told to send no more to the server
	ListExpires      time.Duration // when the list that has the server expires or expired, as known at Began
	ClientGone       time.Duration
	Deadline         time.Duration // the client's
	AnnouncedTimeout time.Duration // how long the server was told that the node waits; 0: that does not count from the first byte
}

// Check gives what is wrong with a send.
func (s Send) Check() *Violation {
	var stopped, left *Violation
	if s.Stopped > 0 {
		stopped = over(Drain, "a request was sent to a server that is out of service", s.Began-s.Stopped-DrainGrace)
	}
	if s.ClientGone > 0 {
		left = over(Lost, "a request was sent for a client that had left", s.Began-s.ClientGone-ClientGoneGrace)
	}
	var budget *Violation
	if s.AnnouncedTimeout > 0 {
		budget = over(Budget, "a server was told more time than its client has", s.AnnouncedTimeout-(s.Deadline-s.Began)-BudgetSlack)
	}
	expired := over(Drain, "a request was sent on a list that had expired", s.Began-s.ListExpires-DrainGrace)
	return first(stopped, expired, left, budget)
}

// Retry is a further attempt of a request that is about to begin.
type Retry struct {
	Attempts    int  // so far
	MaxAttempts int  // by the settings
	Outstanding int  // of the earlier ones, those that have not ended
	MayHaveRun  bool // one of them
	Retryable   bool // the class allows that it runs again
}

// Check gives what is wrong with a further attempt.
func (r Retry) Check() *Violation {
	switch {
	case r.Outstanding > 0:
		return &Violation{Rule: Duplicate, What: "a request was sent again while an attempt was out"}
	case r.MayHaveRun && !r.Retryable:
		return &Violation{Rule: Duplicate, What: "a request that may have run and must not run twice was sent again"}
	case r.Attempts >= r.MaxAttempts:
		return &Violation{Rule: Duplicate, What: "a request was sent more often than the settings allow"}
	}
	return nil
}

// Close is the end of a request at the node.
type Close struct {
	At         time.Duration
	Deadline   time.Duration // the client's
	Answered   bool          // with a final answer
	Rejected   bool          // which says that trying again is harmless
	ClientGone bool
	MayHaveRun bool // an attempt
	Retryable  bool // the class allows that it runs again
}

// Check gives what is wrong with the end of a request.
func (c Close) Check() *Violation {
	switch {
	case c.Rejected && c.MayHaveRun && !c.Retryable:
		return &Violation{Rule: Duplicate, What: "a request that may have run and must not run twice was refused"}
	case !c.Answered && !c.ClientGone:
		return &Violation{Rule: Lost, What: "a request was closed without an answer"}
	case c.Answered:
		return over(Lost, "an answer came after its time", c.At-c.Deadline-AnswerSlack)
	}
	return nil
}

// SlowStartSend is a call that begins at a server.
type SlowStartSend struct {
	WarmingUp   bool // it has started so lately that it is in slow start
	Outstanding int  // own calls at it, without this one
}

// Check gives what is wrong with the start of a call.
func (s SlowStartSend) Check() *Violation {
	if s.WarmingUp && s.Outstanding > 0 {
		return &Violation{Rule: SlowStart, What: "a server in slow start got a second call of this node at once"}
	}
	return nil
}
