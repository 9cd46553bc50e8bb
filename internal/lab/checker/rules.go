package checker

import (
	"fmt"
	"time"
)

// Rule is a rule that a node must keep. Its value is the name in reports and in recorded fault schedules.
type Rule string

// The rules.
const (
	OneAnswer      Rule = "one-answer"    // an accepted request gets exactly one final answer
	InTime         Rule = "in-time"       // the final answer is given by the deadline
	NoSecondRun    Rule = "no-second-run" // a request that may have run is not sent again, unless its class allows it
	SafeRejection  Rule = "refusal"       // nor is it rejected, because clients retry rejected requests
	OneAttempt     Rule = "one-out"       // at most one attempt of a request is in flight
	AttemptLimit   Rule = "attempts"      // a request has at most Rules.MaxAttempts attempts
	DrainGrace     Rule = "drain"         // no attempt is sent to a draining or removed server after the grace period
	WarmupOverload Rule = "cold"          // no server is overloaded while it is warming up
	AdminOverride  Rule = "by-hand"       // no attempt is sent to a server that an operator has disabled
	NothingLost    Rule = "lost"          // a node answers every accepted request before it stops
	GenuineAnswer  Rule = "made-up"       // a success comes from a server that executed the request
	KnownServer    Rule = "known-box"     // no attempt is sent to a server that the node was never notified of
)

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Node    string
	Request string // "" if no request is involved
	Server  string // "" if no server is involved
	Detail  string
}

// String returns the violation as a line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: node %s request %s server %s: %s", v.Rule, v.At.Seconds(), v.Node, orDash(v.Request), orDash(v.Server), v.Detail)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Answer is how a node answered a request.
type Answer int

// Answers.
const (
	Served   Answer = iota // with a server's answer
	Rejected               // the client may retry
	Failed
)
