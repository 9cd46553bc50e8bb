package invariants

import "time"

// Send is an attempt whose request has been written to a server. Times are of one monotonic clock; 0 where something has
// not happened.
type Send struct {
	Began            time.Duration // right before the first byte was written
	Stopped          time.Duration // when the node was notified that the server may get nothing new
	ListExpires      time.Duration // when the endpoint list that has the server expires or expired, as known at Began
	ClientGone       time.Duration // when the client cancelled or closed
	Deadline         time.Duration // the client's
	AnnouncedTimeout time.Duration // how long the server was told that the node waits; 0: not counted from the first byte
}

// Check returns the first violation of a send: of Drain, then Lost, then Budget.
func (s Send) Check() *Violation {
	if v := s.checkStopped(); v != nil {
		return v
	}
	if v := s.checkLease(); v != nil {
		return v
	}
	if v := s.checkClient(); v != nil {
		return v
	}
	return s.checkBudget()
}

// checkStopped: nothing is sent to a server later than DrainGrace after the node was notified that it drains, has left the
// list or is disabled.
func (s Send) checkStopped() *Violation {
	if s.Stopped <= 0 {
		return nil
	}
	return timeLimitViolation(Drain, "a request was sent to a server that is out of service", s.Began-s.Stopped-DrainGrace)
}

// checkLease: nothing is sent later than DrainGrace after the endpoint list expired. Discovery may have announced long ago
// that the server drains, with this node cut off from it.
func (s Send) checkLease() *Violation {
	return timeLimitViolation(Drain, "a request was sent on an endpoint list that had expired", s.Began-s.ListExpires-DrainGrace)
}

// checkClient: nothing is sent later than ClientGoneGrace after the client has gone.
func (s Send) checkClient() *Violation {
	if s.ClientGone <= 0 {
		return nil
	}
	return timeLimitViolation(Lost, "a request was sent for a client that had gone", s.Began-s.ClientGone-ClientGoneGrace)
}

// checkBudget: the server is told at most the time that the client has left, and BudgetSlack.
func (s Send) checkBudget() *Violation {
	if s.AnnouncedTimeout <= 0 {
		return nil
	}
	remaining := s.Deadline - s.Began
	return timeLimitViolation(Budget, "a server was told more time than its client has left", s.AnnouncedTimeout-remaining-BudgetSlack)
}

// Retry is a further attempt of a request that is about to start.
type Retry struct {
	Attempts    int  // so far
	MaxAttempts int  // by the settings
	Outstanding int  // of those so far, how many have not ended
	MayHaveRun  bool // one of them
	Retryable   bool // the request's class allows that it runs again
}

// Check returns the violation of Duplicate by a retry, if any: one attempt is out at a time, what may have run is retried
// only if its class allows that, and the settings bound the number of attempts.
func (r Retry) Check() *Violation {
	switch {
	case r.Outstanding > 0:
		return &Violation{Rule: Duplicate, Description: "a request was retried while an attempt was outstanding"}
	case r.MayHaveRun && !r.Retryable:
		return &Violation{Rule: Duplicate, Description: "a request that may have run and must not run twice was retried"}
	case r.Attempts >= r.MaxAttempts:
		return &Violation{Rule: Duplicate, Description: "a request was retried more often than the settings allow"}
	}
	return nil
}

// RequestEnd is the end of a request at the node.
type RequestEnd struct {
	At         time.Duration // of the same clock as Deadline
	Deadline   time.Duration // the client's
	Answered   bool          // with a final answer
	Rejected   bool          // the answer says that sending the request again is harmless
	ClientGone bool
	MayHaveRun bool // an attempt
	Retryable  bool // the request's class allows that it runs again
}

// Check returns the violation by the end of a request, if any. Duplicate: what may have run is not rejected, unless its
// class allows another run, for its client would send it again. Lost: there is an answer, unless nobody is there for it,
// and it comes within AnswerSlack after the deadline.
func (c RequestEnd) Check() *Violation {
	switch {
	case c.Rejected && c.MayHaveRun && !c.Retryable:
		return &Violation{Rule: Duplicate, Description: "a request that may have run and must not run twice was rejected"}
	case !c.Answered && !c.ClientGone:
		return &Violation{Rule: Lost, Description: "a request was closed without an answer"}
	case c.Answered:
		return timeLimitViolation(Lost, "an answer came after its deadline", c.At-c.Deadline-AnswerSlack)
	}
	return nil
}

// SlowStartSend is an attempt that starts at a server.
type SlowStartSend struct {
	WarmingUp   bool // the server has started so lately that it is in slow start
	Outstanding int  // this node's attempts at it that have not ended, without this one
}

// Check returns the violation of SlowStart by the start of an attempt, if any.
func (s SlowStartSend) Check() *Violation {
	if s.WarmingUp && s.Outstanding > 0 {
		return &Violation{Rule: SlowStart, Description: "a server in slow start got a second attempt of this node at once"}
	}
	return nil
}
