package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// Excuse is a reason for which a request may remain without an answer. Its value is printed in the output of a run.
type Excuse string

// Excuses. A request that its node has read is excused only if the node was killed.
const (
	ExcusedUnread  Excuse = "not read"           // the node closed the connection before it had read the request: the client can retry it
	ExcusedRefused Excuse = "connection refused" // the node was down or shutting down
	ExcusedKilled  Excuse = "killed"             // the node was killed without a SIGTERM
	ExcusedLate    Excuse = "later than 0.7 s"   // the request arrived later than that after the first SIGTERM, and the node was killed
	ExcusedBegun   Excuse = "begun"              // the answer had begun in time, and its node was killed before its server had given all of it
	ExcusedSecond  Excuse = "late second answer" // the second answer to another request arrived so late that it could not be told from the answer to this one
)

// excuses lists all excuses in the order in which they are printed.
var excuses = []Excuse{ExcusedUnread, ExcusedRefused, ExcusedKilled, ExcusedLate, ExcusedBegun, ExcusedSecond}

const (
	// answeredAfterTerm is how long after the first SIGTERM an arriving request must still be answered.
	answeredAfterTerm = 700 * time.Millisecond

	// detectableSecondAnswerDelay is the longest delay of a second answer at which the node must still keep it from other
	// requests.
	detectableSecondAnswerDelay = 20 * time.Millisecond

	// exitTime is how long a killed process may take to exit on a busy machine.
	exitTime = time.Second
)

// requestEnd is the verdict on the end of a request: an excuse, a fault, or neither.
type requestEnd struct {
	excuse Excuse
	fault  string // what is wrong, or ""
}

// classifyEnd returns the verdict on the end of a request. A request whose client is gone needs no answer.
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
	case o.LongAnswers[r.ID] && r.FirstByte > 0 && r.FirstByte <= r.Deadline+invariants.AnswerSlack && incarnation.killedAfterTerm(r):
		return requestEnd{excuse: ExcusedBegun}
	case r.ConnectionRefused && isDown(o, r):
		return requestEnd{excuse: ExcusedRefused}
	case r.ConnectionRefused:
		return requestEnd{fault: "its connection was refused by a node in service"}
	case incarnation.killedAfterTerm(r) && r.arrived() > incarnation.Terminated+answeredAfterTerm:
		return requestEnd{excuse: ExcusedLate}
	case forwarded:
		return requestEnd{fault: "it was forwarded but has no answer"}
	case r.Unread && (!r.NewConnection || inFlood(o, r) || r.arrived() > incarnation.acceptsUntil()):
		return requestEnd{excuse: ExcusedUnread}
	case r.NewConnection:
		return requestEnd{fault: fmt.Sprintf("it was sent on a new connection but has no answer (unread: %v)", r.Unread)}
	}
	return requestEnd{fault: "its node has read it but it has no answer"}
}

// answerFault returns what is wrong with an answer, or "".
func answerFault(r *Request) string {
	switch {
	case r.WrongBody != "":
		return fmt.Sprintf("it was answered with %s, which no server wrote for it", r.WrongBody)
	case !r.unfinished() && r.answeredAt() > r.Deadline+invariants.AnswerSlack+clockTolerance:
		return fmt.Sprintf("it was answered %v after its deadline", r.answeredAt()-r.Deadline)
	case r.Upload && r.Status == http.StatusBadRequest:
		return "its body was sound, and it was answered 400"
	case r.Status == http.StatusServiceUnavailable && !r.RetryAfter:
		return "it was rejected without Retry-After"
	}
	return ""
}

// answeredAt returns when what is due at the deadline was there: the whole answer or, of a long one, its beginning.
func (r *Request) answeredAt() time.Duration {
	if r.LongAnswer {
		return r.FirstByte
	}
	return r.Finished
}

// unfinished reports whether the last byte of a long body was never written, so that the time of its request has not begun.
func (r *Request) unfinished() bool { return r.Upload && r.Written == 0 }

// arrived returns when a request reached its node: when its last byte was written or, if it was not, when its client began
// to send it.
func (r *Request) arrived() time.Duration {
	switch {
	case r.Written != 0:
		return r.Written
	case r.unfinished():
		return r.Finished
	}
	return r.At
}

// incarnationOf returns the incarnation to which a request without an answer was sent: the one that was killed while the
// request was in flight, or otherwise the last one that had started.
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

// killedWithoutTerm reports whether an incarnation was killed without a SIGTERM while a request was in flight. On a busy
// machine a killed process keeps running for some milliseconds, and the kernel accepts connections until it has exited.
func (i Incarnation) killedWithoutTerm(r *Request) bool {
	return i.Terminated == 0 && i.killedDuring(r)
}

// killedAfterTerm reports whether an incarnation was killed after a SIGTERM while a request was in flight.
func (i Incarnation) killedAfterTerm(r *Request) bool {
	return i.Terminated != 0 && i.killedDuring(r)
}

// killedDuring reports whether the time from SIGKILL to the exit of an incarnation overlaps the time of a request.
func (i Incarnation) killedDuring(r *Request) bool {
	if i.Killed == 0 {
		return false
	}
	exited := max(i.Exited, i.Killed)
	return exited >= r.At && i.Killed <= r.Finished+clockTolerance
}

// isDown reports whether no incarnation of the request's node was required to accept connections throughout the request. A
// node need not accept them from acceptedAfterTerm after SIGTERM, or from SIGKILL, until its next incarnation is ready.
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

// acceptedAfterTerm is how long after SIGTERM a node must still accept new connections.
const acceptedAfterTerm = 400 * time.Millisecond

// acceptsUntil returns the time until which an incarnation must answer requests on new connections.
func (i Incarnation) acceptsUntil() time.Duration {
	if i.Terminated == 0 {
		return math.MaxInt64
	}
	return i.Terminated + acceptedAfterTerm
}

// inFlood reports whether a connection flood at the request's node overlaps the request. The node may then close
// connections from which it has read nothing.
func inFlood(o *Observations, r *Request) bool {
	for _, c := range o.Floods {
		if c.Node == r.Node && c.From <= r.Finished && r.At <= c.To+clockTolerance {
			return true
		}
	}
	return false
}

// checkRestarts finds processes that ran for longer than a restart may take.
func checkRestarts(o *Observations) (broken []string) {
	for _, i := range o.Incarnations {
		if by := i.Exited - i.Terminated - killDelay - exitTime; i.Terminated != 0 && by > 0 {
			broken = append(broken, fmt.Sprintf("restart: n%d was sent SIGTERM at %v and ran %v longer than allowed", i.Node, i.Terminated, by))
		}
	}
	return broken
}

// Excused returns the number of excused requests by excuse.
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
