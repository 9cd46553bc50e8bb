package checker

import (
	"fmt"
	"time"
)

// Rule is one of the promises that a node makes. The names are those of reports and found schedules.
type Rule string

// The rules.
const (
	OneAnswer      Rule = "one-answer"    // an accepted request gets exactly one final answer
	InTime         Rule = "in-time"       // that answer comes by the deadline
	NoSecondRun    Rule = "no-second-run" // what may have run is not sent again, unless its class allows it
	SafeRejection  Rule = "refusal"       // and it is not rejected, for a client retries what was rejected
	OneAttempt     Rule = "one-out"       // one attempt of a request is out at a time
	AttemptLimit   Rule = "attempts"      // no more attempts than the rules allow in all
	DrainGrace     Rule = "drain"         // nothing new goes to a draining or removed server after the grace
	WarmupOverload Rule = "cold"          // no warming server is sent so much that it falls over
	AdminOverride  Rule = "by-hand"       // nothing goes to a server that an operator has disabled
	NothingLost    Rule = "lost"          // a node that is asked to stop answers all that it accepted
	GenuineAnswer  Rule = "made-up"       // no success is answered that no server has run
	KnownServer    Rule = "known-box"     // nothing goes to a server that the node was never notified of
)

// Violation is one broken rule.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Node    string
	Request string // "": none
	Server  string // "": none
	Detail  string
}

// String is the line of a report.
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
	Served   Answer = iota // with what a server answered
	Rejected               // the client may retry
	Failed
)
