package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// Excuse is why a request may have no answer. Its text is what a run prints.
type Excuse string

// Excuses. A request that its node has read is excused only where the platform killed the node.
const (
	ExcusedUnread  Excuse = "not read"           // the node ended the connection and had not read it: its client sends it again
	ExcusedRefused Excuse = "connection refused" // by a node that is down, or about to be
	ExcusedKilled  Excuse = "killed"             // the node was killed without a word before
	ExcusedLate    Excuse = "later than 0.7 s"   // after the first SIGTERM, and the node was killed
	ExcusedSecond  Excuse = "late second answer" // to another request: nothing tells it from the request's own
)

// excuses are all of them, in the order in which they are printed.
var excuses = []Excuse{ExcusedUnread, ExcusedRefused, ExcusedKilled, ExcusedLate, ExcusedSecond}

const (
	// answeredAfterTerm is how long after the first SIGTERM a request may arrive and still has to be answered.
	answeredAfterTerm = 700 * time.Millisecond

	// detectableSecondAnswerDelay is how late a second answer may be and must not reach another request.
	detectableSecondAnswerDelay = 20 * time.Millisecond

	// exitTime is how long a process that is killed may take to exit on a busy machine.
	exitTime = time.Second
)

// requestEnd is how the end of a request is judged: it has its answer, is excused, or is at fault.
type requestEnd struct {
	excuse Excuse
	fault  string // what is wrong; "": nothing
}

// classifyEnd judges the end of a request. One whose client has gone is owed nothing.
func classifyEnd(o *Observations, r *Request, forwarded bool) requestEnd {
	switch {
	case r.ClientGone > 0:
		return requestEnd{}
	case r.SecondAnswerOf != "" && o.SecondAnswers[r.SecondAnswerOf] > detectableSecondAnswerDelay:
		return requestEnd{excuse: ExcusedSecond}
	case r.Status != 0:
		return requestEnd{fault: answerFault(r)}
	}
	incarnation := incarnationOf(o, r)
	switch {
	case incarnation.killedWithoutTerm(r):
		return requestEnd{excuse: ExcusedKilled}
	case r.ConnectionRefused && isDown(o, r):
		return requestEnd{excuse: ExcusedRefused}
	case r.ConnectionRefused:
		return requestEnd{fault: "its connection was refused by a node in service"}
	case incarnation.killedAfterTerm(r) && r.arrived() > incarnation.Terminated+answeredAfterTerm:
		return requestEnd{excuse: ExcusedLate}
	case forwarded:
		return requestEnd{fault: "it was forwarded and has no answer"}
	case r.Unread && (!r.NewConnection || inFlood(o, r) || r.arrived() > incarnation.acceptsUntil()):
		return requestEnd{excuse: ExcusedUnread}
	case r.NewConnection:
		return requestEnd{fault: fmt.Sprintf("it was on a new connection and has no answer (unread: %v)", r.Unread)}
	}
	return requestEnd{fault: "its node has read it, and it has no answer"}
}

// answerFault says what is wrong with an answer, "" if nothing is.
func answerFault(r *Request) string {
	switch {
	case r.WrongBody != "":
		return fmt.Sprintf("it was answered with %s, which no server wrote for it", r.WrongBody)
	case r.Finished > r.Deadline+invariants.AnswerSlack+clockTolerance:
		return fmt.Sprintf("its answer came %v after its deadline", r.Finished-r.Deadline)
	case r.Status == http.StatusServiceUnavailable && !r.RetryAfter:
		return "it was rejected without Retry-After"
	}
	return ""
}

// arrived is when a request was at its node: with its last byte, or, where that was not written, when its client began.
func (r *Request) arrived() time.Duration {
	if r.Written != 0 {
		return r.Written
	}
	return r.At
}

// incarnationOf is the incarnation that a request without an answer was sent to: the one that ended while it was under way,
// or else the last one that had started.
func incarnationOf(o *Observations, r *Request) Incarnation {
	var last Incarnation
	for _, i := range o.Incarnations {
		if i.Node != r.Node || i.Started > r.Finished {
			continue
		}
		if i.killedWithoutTerm(r) || i.killedAfterTerm(r) {
			return i
		}
		last = i
	}
	return last
}

// killedWithoutTerm reports whether an incarnation was killed without a SIGTERM while a request was under way. A process
// that is killed goes on for some milliseconds on a busy machine, and its kernel accepts connections until it has exited.
func (i Incarnation) killedWithoutTerm(r *Request) bool {
	return i.Terminated == 0 && i.killedDuring(r)
}

// killedAfterTerm reports whether an incarnation was killed at the end of a restart while a request was under way.
func (i Incarnation) killedAfterTerm(r *Request) bool {
	return i.Terminated != 0 && i.killedDuring(r)
}

// killedDuring reports whether an incarnation was killed, or had not exited yet after it, while a request was under way.
func (i Incarnation) killedDuring(r *Request) bool {
	if i.Killed == 0 {
		return false
	}
	exited := max(i.Exited, i.Killed)
	return exited >= r.At && i.Killed <= r.Finished+clockTolerance
}

// isDown reports whether no incarnation of a request's node had to take connections while the request was under way: from
// acceptedAfterTerm after SIGTERM, or from SIGKILL on, until the next one is ready.
func isDown(o *Observations, r *Request) bool {
	for _, i := range o.Incarnations {
		if i.Node != r.Node || i.Ready == 0 || i.Ready > r.At {
			continue
		}
		end := i.acceptsUntil()
		if i.Killed != 0 {
			end = min(end, i.Killed)
		}
		if r.Finished+clockTolerance < end {
			return false
		}
	}
	return true
}

// acceptedAfterTerm is how long after SIGTERM new connections still come to a node.
const acceptedAfterTerm = 400 * time.Millisecond

// acceptsUntil is from when on no new connections are owed an answer.
func (i Incarnation) acceptsUntil() time.Duration {
	if i.Terminated == 0 {
		return math.MaxInt64
	}
	return i.Terminated + acceptedAfterTerm
}

// inFlood reports whether a crowd was at a request's node: then it may end connections on which it has read nothing.
func inFlood(o *Observations, r *Request) bool {
	for _, c := range o.Floods {
		if c.Node == r.Node && c.From <= r.Finished && r.At <= c.To+clockTolerance {
			return true
		}
	}
	return false
}

// checkRestarts finds processes that went on for longer than a restart may take.
func checkRestarts(o *Observations) (broken []string) {
	for _, i := range o.Incarnations {
		if by := i.Exited - i.Terminated - killDelay - exitTime; i.Terminated != 0 && by > 0 {
			broken = append(broken, fmt.Sprintf("restart: n%d, sent SIGTERM at %v, ran %v longer than it may", i.Node, i.Terminated, by))
		}
	}
	return broken
}

// Excused counts the requests without an answer that are excused.
func (r *Result) Excused() map[Excuse]int {
	forwarded := map[string]bool{}
	for _, a := range r.Observations.Attempts {
		forwarded[a.ID] = true
	}
	count := map[Excuse]int{}
	for _, request := range r.Observations.Requests {
		if e := classifyEnd(r.Observations, request, forwarded[request.ID]); e.excuse != "" {
			count[e.excuse]++
		}
	}
	return count
}
