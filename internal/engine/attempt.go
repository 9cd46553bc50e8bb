package engine

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/invariants"
)

// Attempt is one attempt of a call: it sends the call's request to one server.
//
// An attempt is in one of the following states. Its Sender makes the transitions and notifies the event loop:
//
//   - started: the loop has passed the attempt to Sender.Start. Nothing has been written; the attempt may still wait for a
//     connection. MaySend reports whether it may be sent.
//   - sent: the first byte has been written (CheckSend), so the server may run the request. A sent request can't be
//     withdrawn: the attempt ends with the response, a broken connection or the Deadline.
//   - streaming: the response has begun and is being forwarded to the client (ResponseStarted, ForwardResponse).
//   - ended: the Result has been delivered (AttemptEnded). An attempt may end in any state, even before it is sent.
type Attempt struct {
	Call   *Call
	Number int // index among the call's attempts, from 0
	Target *Target
	// Deadline is when the attempt must have ended, on the engine's clock. For a call with a streamed body it is only an
	// upper bound: Timeout starts at the body's last byte.
	Deadline time.Duration
	Timeout  time.Duration // how long the balancer waits for the response
	// SendBy is until when the request may be written, on the engine's clock; 0: until the Deadline. A repeat that reaches
	// its server later may run a second time, because servers discard duplicates only for a time.
	SendBy  time.Duration
	Started time.Duration // when the attempt was passed to the Sender, on the engine's clock

	streaming  bool           // accessed only by the event loop
	lease      *leaseDeadline // on the endpoint list that contains the target; nil: the lease never expires
	violations *invariants.Recorder
}

// Result says how an attempt ended.
type Result struct {
	Attempt *Attempt
	Outcome balancer.Outcome
	Reply   any           // of a success: the response, which becomes Answer.Reply
	Latency time.Duration // of a stream: until the first message; 0: the engine measures until it receives the result

	// For the log: why there was no response, and the history of the attempt's connection.
	Err            error
	ConnectionUses int
	ConnectionAge  time.Duration
	ConnectionIdle time.Duration

	// For the log and the capture: the reason for the outcome, and how far the attempt progressed.
	Reason     Reason
	Connection uint64 // number of the connection in this process; 0: the attempt had none
	Written    bool   // the request's last byte was written
	ClosedBy   string // who or what closed the connection; "": it is open
}

// Reason explains the outcome of an attempt, in particular whether the server can have run the request. Logs and captures
// contain its text.
type Reason string

// The reasons for an outcome.
const (
	ReasonResponse             Reason = "response"               // to this request: no other response is due on the connection
	ReasonMarkedRejection      Reason = "marked rejection"       // the response says that the request did not run
	ReasonRejectionInDoubt     Reason = "rejection in doubt"     // it may be the response to another request
	ReasonSendNotAllowed       Reason = "nothing written: over"  // MaySend returned false: call closed, server stopped, lease expired
	ReasonNoDescriptor         Reason = "no descriptor"          // nothing was written
	ReasonBodyIncomplete       Reason = "body not complete"      // the client did not send all of it
	ReasonNoConnection         Reason = "no connection"          // connecting failed, or the server closed before the first byte
	ReasonLastByteNotWritten   Reason = "last byte not written"  // the server can't have run the request
	ReasonNoResponse           Reason = "ended without response" // after the last byte: the request may have run
	ReasonDeadline             Reason = "deadline"               // after the last byte: the request may have run
	ReasonResponseNotForwarded Reason = "response not passed on" // the client is gone
	ReasonStreamFinished       Reason = "streamed to its end"    // all of the response was forwarded
	ReasonStreamBroken         Reason = "stream broken off"      // by the server or by the client
)

// captureTrace returns the data about the end of an attempt that a capture records in addition to the event.
func (r Result) captureTrace() capture.AttemptTrace {
	return capture.AttemptTrace{Connection: r.Connection, Use: r.ConnectionUses, Idle: r.ConnectionIdle, Written: r.Written,
		ClosedBy: r.ClosedBy, Reason: string(r.Reason)}
}

// Sender sends attempts to servers. The event loop calls its methods, which must not block.
type Sender interface {
	// Start starts an attempt. The Sender must deliver exactly one Result for it (Engine.AttemptEnded), whatever happens.
	Start(*Attempt)
	// Retire releases the resources kept for a target that gets no new attempts, such as idle connections. Outstanding
	// attempts continue.
	Retire(*Target)
}

// MaySend reports whether the attempt may be sent at the time now of the engine's clock. The Sender calls it in the
// attempt's goroutine immediately before it writes the first byte. While the Sender was connecting, the server may have
// started to drain, the endpoint list may have expired, the client may have gone, or the time in which servers discard a
// duplicate may have ended. Without this check, such requests violate the invariants "drain", "lost" and "duplicate".
func (a *Attempt) MaySend(now time.Duration) bool {
	c := a.Call
	if a.lease.expired(now) || c.Closed() || c.clientGoneAt.Load() != 0 || a.Target.Stopped() || now >= a.WriteDeadline() {
		return false
	}
	return c.ClientGone == nil || !c.ClientGone()
}

// RepeatExpired reports whether the attempt is a repeat that servers no longer discard as a duplicate at the time now of the
// engine's clock.
func (a *Attempt) RepeatExpired(now time.Duration) bool { return a.SendBy > 0 && now >= a.SendBy }

// WriteDeadline returns until when the request may be written, on the engine's clock.
func (a *Attempt) WriteDeadline() time.Duration {
	if a.SendBy > 0 {
		return min(a.SendBy, a.Deadline)
	}
	return a.Deadline
}

// CheckSend checks the invariants of an attempt that was sent, and counts and logs violations. began is the time
// immediately before the first byte was written, on the engine's clock. announced is the timeout that was sent to the
// server; 0 means that the timeout does not start at the first byte. The Sender calls it in the attempt's goroutine.
func (a *Attempt) CheckSend(began, announced time.Duration) {
	c := a.Call
	send := invariants.Send{
		Began:            began,
		Stopped:          time.Duration(a.Target.stoppedAt.Load()),
		ListExpires:      a.lease.expiresAt(),
		ClientGone:       time.Duration(c.clientGoneAt.Load()),
		Deadline:         c.Request.Deadline,
		SendBy:           a.SendBy,
		AnnouncedTimeout: announced,
	}
	a.violations.Record(send.Check(), a.logAttrs()...)
}

// logAttrs returns the log attributes that identify an attempt.
func (a *Attempt) logAttrs() []any {
	return []any{"id", a.Call.Request.ID, "server", a.Target.ID, "attempt", a.Number}
}

// AttemptEnded delivers the result of an attempt. It blocks until the event loop receives the result, so the Sender calls
// it in the attempt's goroutine. It must return for all attempts before Engine.Stop is called.
func (e *Engine) AttemptEnded(r Result) { e.results <- r }

// ResponseStarted notifies the engine that the streamed response to an attempt is forwarded to the client from now on, so
// the call is not retried. It is for a Sender that forwards responses to the client without the ingress. It blocks like
// AttemptEnded.
func (e *Engine) ResponseStarted(a *Attempt) { e.responses <- responseStart{attempt: a} }

// ForwardResponse notifies the engine that the response to an attempt has begun and can be forwarded while it arrives.
// reply becomes the final answer to the call. It reports whether the call was still open; if not, nobody reads the
// response. The Sender must still deliver the attempt's Result when the response has ended. It blocks like AttemptEnded.
func (e *Engine) ForwardResponse(a *Attempt, reply any) bool {
	accepted := make(chan bool, 1)
	e.responses <- responseStart{attempt: a, reply: reply, accepted: accepted}
	return <-accepted
}

// responseStart notifies the event loop that the response to an attempt has begun.
type responseStart struct {
	attempt  *Attempt
	reply    any       // the final answer to the call, for ForwardResponse
	accepted chan bool // buffers whether the call was still open; nil for ResponseStarted
}

// startAttempt creates an attempt and passes it to the Sender.
func (e *Engine) startAttempt(now time.Duration, a balancer.Send) {
	c := e.calls[a.ID]
	if c == nil {
		e.Log.Error("balancer sent an unknown request", "id", a.ID, "server", a.Server)
		return
	}
	attempt := &Attempt{
		Call:       c,
		Number:     c.attempts,
		Target:     e.targets[a.Server],
		Deadline:   min(now+a.Timeout, c.Request.Deadline),
		Timeout:    a.Timeout,
		SendBy:     a.SendBy,
		lease:      e.lease,
		violations: e.Violations,
	}
	if c.Request.StreamedBody {
		attempt.Deadline = now + c.BodyTimeout + a.Timeout
	}
	if attempt.Target == nil { // the server may get no new attempts: this one ends without being sent
		attempt.Target = &Target{ID: a.Server}
		attempt.Target.StopSending(now)
	}
	e.checkAttemptStart(now, attempt)
	c.attempts++
	c.outstanding++
	attempt.Target.outstanding++
	attempt.Started = e.Clock.Now()
	e.Sender.Start(attempt)
}

// handleResponseStart marks an attempt as streaming. For ForwardResponse, it also gives the call its final answer.
func (e *Engine) handleResponseStart(r responseStart) {
	c := r.attempt.Call
	if r.accepted != nil {
		accepted := c.ClaimAnswer()
		r.accepted <- accepted
		if !accepted {
			return
		}
		e.serve(c, r.reply)
	}
	r.attempt.streaming = true
	e.dispatch(balancer.ResponseStarted{ID: c.Request.ID, Attempt: r.attempt.Number})
}

// handleResult handles the end of an attempt. A success becomes the answer to the call. For any other outcome, the balancer
// decides whether to retry the call, reject it or fail it.
func (e *Engine) handleResult(r Result) {
	c := r.Attempt.Call
	if c.clientGoneAt.Load() != 0 {
		e.handleClientGone(c) // first, so that the balancer does not retry a call whose client is gone
	}
	c.outstanding--
	r.Attempt.Target.outstanding--
	c.mayHaveRun = c.mayHaveRun || !r.Outcome.NeverRan()
	e.counters.addResult(e.Log, e.Clock.Now(), r)
	if r.Outcome == balancer.Success && c.ClaimAnswer() {
		e.eventContext.Served = true
		e.checkAnswer(c, false)
		e.serve(c, r.Reply)
	}
	if r.Attempt.streaming { // no retry of a streamed response: the client has already received a part of it
		e.answer(c.Request.ID, Answer{Verdict: Failed})
	}
	latency := r.Latency
	if latency == 0 {
		latency = e.Clock.Now() - r.Attempt.Started
	}
	e.eventContext.Attempt = r.captureTrace()
	e.dispatch(balancer.AttemptEnded{
		ID:          c.Request.ID,
		Attempt:     r.Attempt.Number,
		Server:      r.Attempt.Target.ID,
		Outcome:     r.Outcome,
		Latency:     latency,
		RequestDone: c.Closed(),
	})
	e.removeIfDone(c)
}
