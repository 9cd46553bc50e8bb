package engine

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/invariants"
)

// Attempt is one send of a call to a server.
//
// An attempt is in one of these states. The Sender that has it carries it from one to the next; the event loop takes note:
//
//   - started: the loop has handed it to Sender.Start. Nothing has been written; it may still wait for a connection.
//     MaySend says whether it may go on.
//   - sent: its first byte has been written (Sent), and its server may run it. It is never recalled; it ends with its
//     response, a broken connection or its Deadline.
//   - streaming: its response has begun and is the client's (ResponseStarted, PassResponse).
//   - ended: its one Result has been handed in (AttemptEnded). An attempt may end from any state, also unsent.
type Attempt struct {
	Call   *Call
	Number int // of the call's attempts, from 0
	Target *Target
	// Deadline is when the attempt must have ended, by the engine's clock. Of a call with a streamed body it is only an
	// upper bound: Timeout runs from the body's last byte.
	Deadline time.Duration
	Timeout  time.Duration // how long the balancer waits for it
	Started  time.Duration // when the Sender got it, by the engine's clock

	streaming  bool           // the loop's own
	lease      *leaseDeadline // on the endpoint list that has the target; nil: it has no end
	violations *invariants.Recorder
}

// Result is how an attempt ended.
type Result struct {
	Attempt *Attempt
	Outcome balancer.Outcome
	Reply   any           // of a success; goes into the answer
	Latency time.Duration // of a stream: until its first message; 0: until the loop takes the result

	// For the log: why there was no response, and the history of the attempt's connection.
	Err            error
	ConnectionUses int
	ConnectionAge  time.Duration
	ConnectionIdle time.Duration

	// For the log and the capture: what the outcome rests on, and how far the attempt came.
	Reason     Reason
	Connection uint64 // its number in this process; 0: the attempt had none
	Written    bool   // the request's last byte was written
	ClosedBy   string // who or what closed the connection; "": it is open
}

// Reason is what an outcome rests on: for one that allows a retry, why the server can't have run the request, or that its
// class allows a second run. Its text is what logs and captures have.
type Reason string

// The grounds.
const (
	ReasonResponse             Reason = "response"               // to this request, on a connection without anything else on its way
	ReasonMarkedRejection      Reason = "marked rejection"       // such a response that says that the request did not run
	ReasonRejectionInDoubt     Reason = "rejection in doubt"     // it may be the response to another request
	ReasonSendNotAllowed       Reason = "nothing written: over"  // the call is over, its server gets nothing new, or the list has expired
	ReasonNoDescriptor         Reason = "no descriptor"          // nothing was written
	ReasonBodyIncomplete       Reason = "body not complete"      // at the client's side; the last byte was not written
	ReasonNoConnection         Reason = "no connection"          // none came up, or it had ended before the first byte
	ReasonLastByteNotWritten   Reason = "last byte not written"  // the server can't have run it
	ReasonNoResponse           Reason = "ended without response" // after the last byte: it may have run
	ReasonDeadline             Reason = "deadline"               // likewise
	ReasonResponseNotForwarded Reason = "response not passed on" // the client has gone
	ReasonStreamFinished       Reason = "streamed to its end"    // a response that was passed on as it came
	ReasonStreamBroken         Reason = "stream broken off"      // by the server or by the client
)

// captureTrace is what the capture has of an attempt's end beside the balancer's event.
func (r Result) captureTrace() capture.AttemptTrace {
	return capture.AttemptTrace{Connection: r.Connection, Use: r.ConnectionUses, Idle: r.ConnectionIdle, Written: r.Written,
		ClosedBy: r.ClosedBy, Ground: string(r.Reason)}
}

// Sender carries attempts to servers. The event loop calls its methods, which must not block.
type Sender interface {
	// Start begins an attempt. The Sender owes the engine one Result for it (Engine.AttemptEnded), whatever happens.
	Start(*Attempt)
	// Retire closes what is kept for a target that gets no new attempts, as idle connections. Attempts that are out go on.
	Retire(*Target)
}

// MaySend says whether the attempt may still be written at a time of the engine's clock. A Sender calls it right before it
// writes the first byte, from the attempt's own goroutine. What was true when the balancer chose the server may have changed
// during a connect: the server has begun to drain, the endpoint list has expired, the client has gone. Without this check
// such requests show as broken invariants "drain" and "lost".
func (a *Attempt) MaySend(now time.Duration) bool {
	c := a.Call
	if a.lease.expired(now) || c.Closed() || c.clientGoneAt.Load() != 0 || a.Target.Stopped() || now >= a.Deadline {
		return false
	}
	return !c.Request.StreamedBody || c.ClientGone == nil || !c.ClientGone()
}

// CheckSend notes that the attempt's first byte was written at a time of the engine's clock, with announced as the time-out
// that its server was told; 0: one that doesn't run from the first byte. Broken invariants are counted and logged. The
// Sender calls it from the attempt's own goroutine.
func (a *Attempt) CheckSend(began, announced time.Duration) {
	c := a.Call
	send := invariants.Send{
		Began:            began,
		Stopped:          time.Duration(a.Target.stoppedAt.Load()),
		ListExpires:      a.lease.expiresAt(),
		ClientGone:       time.Duration(c.clientGoneAt.Load()),
		Deadline:         c.Request.Deadline,
		AnnouncedTimeout: announced,
	}
	a.violations.Record(send.Check(), a.logAttrs()...)
}

// logAttrs are the log attributes that name an attempt.
func (a *Attempt) logAttrs() []any {
	return []any{"id", a.Call.Request.ID, "server", a.Target.ID, "attempt", a.Number}
}

// AttemptEnded hands in the result of an attempt. It blocks until the loop has taken it, so a Sender calls it from the
// attempt's own goroutine. Engine.Stop must come after the results of all attempts.
func (e *Engine) AttemptEnded(r Result) { e.results <- r }

// ResponseStarted says that the streamed response to an attempt is passed on to the client from here on: its call is not
// retried. It is for a Sender that has a way to the client of its own. It blocks as AttemptEnded does.
func (e *Engine) ResponseStarted(a *Attempt) { e.responses <- responseStart{attempt: a} }

// ForwardResponse says that the response to an attempt has begun and can be passed on as it comes: reply is the call's final
// answer. It says whether the call was still open; if not, nobody takes the response. The attempt's Result is owed when the
// response has ended. It blocks as AttemptEnded does.
func (e *Engine) ForwardResponse(a *Attempt, reply any) bool {
	accepted := make(chan bool, 1)
	e.responses <- responseStart{attempt: a, reply: reply, accepted: accepted}
	return <-accepted
}

// responseStart is what a Sender hands in when the response to an attempt begins.
type responseStart struct {
	attempt  *Attempt
	reply    any       // the call's final answer
	accepted chan bool // buffers whether the call was open; nil: the client has its answer already
}

// startAttempt hands an attempt to the Sender.
func (e *Engine) startAttempt(now time.Duration, a balancer.Send) {
	c := e.calls[a.ID]
	if c == nil {
		e.Log.Error("send for an unknown request", "id", a.ID)
		return
	}
	attempt := &Attempt{
		Call:       c,
		Number:     c.attempts,
		Target:     e.targets[a.Server],
		Deadline:   min(now+a.Timeout, c.Request.Deadline),
		Timeout:    a.Timeout,
		lease:      e.lease,
		violations: e.Violations,
	}
	if c.Request.StreamedBody {
		attempt.Deadline = now + c.BodyTimeout + a.Timeout
	}
	if attempt.Target == nil { // the server has left the list meanwhile: the attempt ends unsent
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

// handleResponseStart marks an attempt as streaming, and gives its call its final answer where the Sender asks for that.
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

// handleResult takes up how an attempt ended: a success is its call's answer; of all else the balancer decides whether the
// call is retried, rejected or failed.
func (e *Engine) handleResult(r Result) {
	c := r.Attempt.Call
	if c.clientGoneAt.Load() != 0 {
		e.handleClientGone(c) // before the balancer decides on a retry for which there is no client
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
	if r.Attempt.streaming { // a stream is not retried: when it breaks its call is over, as its client has seen
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
