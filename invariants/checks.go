package invariants

import "time"

// Send is an attempt whose request has been written to a server. All times are readings of one monotonic clock; 0 means
// that the event has not occurred.
type Send struct {
	Began            time.Duration // immediately before the first byte was written
	Stopped          time.Duration // when the node was notified that the server gets no new requests
	ListExpires      time.Duration // when the endpoint list that contains the server expires, as known at Began
	ClientGone       time.Duration // when the client canceled or closed
	Deadline         time.Duration // the client's deadline
	SendBy           time.Duration // until when servers discard the request as a duplicate; 0: it is none
	AnnouncedTimeout time.Duration // the timeout sent to the server; 0 if it does not start at the first byte
}

// Check returns the first violation by a send, or nil. It checks Drain, then Duplicate, Lost and Budget.
func (s Send) Check() *Violation {
	if v := s.checkStopped(); v != nil {
		return v
	}
	if v := s.checkLease(); v != nil {
		return v
	}
	if v := s.checkDuplicate(); v != nil {
		return v
	}
	if v := s.checkClient(); v != nil {
		return v
	}
	return s.checkBudget()
}

// checkStopped checks that the request was not sent later than DrainGrace after the node was notified that the server is
// draining, has left the list or is disabled.
func (s Send) checkStopped() *Violation {
	if s.Stopped <= 0 {
		return nil
	}
	return timeLimitViolation(Drain, "a request was sent to a server that is out of service", s.Began-s.Stopped-DrainGrace)
}

// checkLease checks that the request was not sent later than DrainGrace after the endpoint list expired. On an expired list,
// the server may long have been draining: discovery may have announced it without this node receiving the update.
func (s Send) checkLease() *Violation {
	return timeLimitViolation(Drain, "a request was sent on an endpoint list that had expired", s.Began-s.ListExpires-DrainGrace)
}

// checkDuplicate checks that a repeat was sent while servers discard it if they have run the request.
func (s Send) checkDuplicate() *Violation {
	if s.SendBy <= 0 {
		return nil
	}
	return timeLimitViolation(Duplicate, "a request was repeated after the window of its idempotency key", s.Began-s.SendBy-DedupSlack)
}

// checkClient checks that the request was not sent later than ClientGoneGrace after the client had gone.
func (s Send) checkClient() *Violation {
	if s.ClientGone <= 0 {
		return nil
	}
	return timeLimitViolation(Lost, "a request was sent for a client that had gone", s.Began-s.ClientGone-ClientGoneGrace)
}

// checkBudget checks that the timeout sent to the server exceeds the time that the client has left by at most BudgetSlack.
func (s Send) checkBudget() *Violation {
	if s.AnnouncedTimeout <= 0 {
		return nil
	}
	remaining := s.Deadline - s.Began
	return timeLimitViolation(Budget, "a server was sent a longer timeout than its client has left", s.AnnouncedTimeout-remaining-BudgetSlack)
}

// Retry is a further attempt of a request that is about to start.
type Retry struct {
	Attempts    int  // number of earlier attempts
	MaxAttempts int  // maximum from the settings
	Outstanding int  // number of earlier attempts that have not ended
	MayHaveRun  bool // a server may have run the request in an earlier attempt
	Retryable   bool // the request's class allows it to run again
}

// Check returns the violation of Duplicate by a retry, or nil. A request has at most one outstanding attempt. If it may have
// run, it is retried only if its class allows that. The settings limit the number of attempts.
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
	At         time.Duration // on the same clock as Deadline
	Deadline   time.Duration // the client's deadline
	AnswerBy   time.Duration // when the last answer of a node that shuts down is due; 0: it is not shutting down
	Answered   bool          // the request got a final answer
	Rejected   bool          // the answer tells the client that it can safely send the request again
	ClientGone bool
	MayHaveRun bool // a server may have run the request in one of the attempts
	Retryable  bool // the request's class allows it to run again
}

// Check returns the violation by the end of a request, or nil. Duplicate: a request that may have run is not rejected,
// because its client would send it again, unless its class allows that. Lost: the request is answered at most AnswerSlack
// after its deadline and at most KillSlack after AnswerBy, unless the client is gone.
func (e RequestEnd) Check() *Violation {
	switch {
	case e.Rejected && e.MayHaveRun && !e.Retryable:
		return &Violation{Rule: Duplicate, Description: "a request that may have run and must not run twice was rejected"}
	case !e.Answered && !e.ClientGone:
		return &Violation{Rule: Lost, Description: "a request was closed without an answer"}
	case e.Answered && e.AnswerBy > 0 && e.At > e.AnswerBy+KillSlack:
		return timeLimitViolation(Lost, "a request was answered after the process may have been killed", e.At-e.AnswerBy-KillSlack)
	case e.Answered:
		return timeLimitViolation(Lost, "a request was answered after its deadline", e.At-e.Deadline-AnswerSlack)
	}
	return nil
}

// SlowStartSend is an attempt that starts at a server.
type SlowStartSend struct {
	WarmingUp   bool // the server started so recently that it is in slow start
	Outstanding int  // this node's other attempts at the server that have not ended
}

// Check returns the violation of SlowStart by the start of an attempt, or nil.
func (s SlowStartSend) Check() *Violation {
	if s.WarmingUp && s.Outstanding > 0 {
		return &Violation{Rule: SlowStart, Description: "a server in slow start got two concurrent attempts from this node"}
	}
	return nil
}
