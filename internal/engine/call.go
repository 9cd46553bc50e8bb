package engine

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/metrics"
)

// ErrClientGone says that a call has no answer because its client has closed or cancelled it. Nothing more is sent for it,
// and there is nobody to answer.
var ErrClientGone = errors.New("the client has gone: the call was closed or canceled before its answer")

// Call is one request of a client. The ingress fills the exported fields and hands it in once (Do); it must not change
// them afterwards.
//
// A call is in one of these states. All changes are the event loop's but for the one to "client gone", which Do records
// first (clientGoneAt) and the loop takes up later:
//
//   - arriving: Do waits for the loop to take the call. The balancer does not know it yet.
//   - queued: the balancer holds it before its first attempt, or for an injected delay. A retry never waits: it is sent as
//     the attempt before it ends, or not at all.
//   - attempt out: one attempt is with the Sender (outstanding is 1). It can still end so that a retry follows.
//   - streaming: the response to its attempt is passed on to the client as it comes (Attempt.streaming). No retry can
//     follow: the client has seen a part of it. With PassResponse the start of the response is the final answer, so the
//     call is answered as well; with ResponseStarted it is answered when the attempt ends.
//   - answered: closed, and Do returns the one final answer. An attempt may still be out, whose result is owed to the
//     balancer; the call is forgotten when that has come.
//   - client gone: closed without an answer; Do returns ErrClientGone. As with answered, an attempt may still be out.
//
// Denied calls and those with a duplicate ID go from arriving to answered at once, and are never in Engine.calls.
type Call struct {
	Request      balancer.Request
	Tenant       string
	Budget       time.Duration // as the client gave it
	BodyTimeout  time.Duration // of a call with a streamed body: the longest that its body may take
	Tags         metrics.Tags
	Retryable    bool // its class allows that it runs more than once
	AccessDenied bool // the access list denies its client; Request has only the ID
	Payload      any  // what the Sender needs of it; the engine does not look at it
	// ClientGone, if not nil, says that the client of a call with a streamed body has gone, before reading the body shows
	// it. Senders' goroutines call it; it must not block.
	ClientGone func() bool

	closed atomic.Bool // answered or client gone: nothing more may be sent for it
	// clientGoneAt is when the client has gone, by the engine's clock; 0: it has not. Do sets it and senders read it, so
	// that nothing is sent for the call while a busy loop has not heard of it yet.
	clientGoneAt atomic.Int64
	answer       chan Answer // buffers the one final answer, so that the loop need not wait for Do

	// The loop's own state.
	attempts    int  // that have been started
	maxAttempts int  // by the settings in force when it arrived
	outstanding int  // attempts that have not ended: 0 or 1
	mayHaveRun  bool // an attempt that has ended may have run at its server
}

// ClaimAnswer claims the right to give the call its one final answer, and marks the call as closed. It says whether the right was
// still to be had: who gets true must answer the call, unless its client has gone; who gets false must not.
func (c *Call) ClaimAnswer() bool { return !c.closed.Swap(true) }

// Closed says that the call has its answer or its client has gone: nothing more may be sent for it.
func (c *Call) Closed() bool { return c.closed.Load() }

// Verdict is what a final answer says.
type Verdict int

// The verdicts.
const (
	// Served: an attempt succeeded, and Reply has what came back.
	Served Verdict = iota
	// Rejected: it did not run, or its class allows another run. The client may retry after RetryAfter.
	Rejected
	// Failed: it may have run and can't be retried, or its deadline has passed. Its client must not send it again.
	Failed
	// Denied: the access list denies its client.
	Denied
	// DuplicateID: another open call has its ID.
	DuplicateID
	// Aborted: a fault injection ended it with Status.
	Aborted
)

// statusUnavailable is the status with which a fault injection rejects a call. Balancers give such statuses in HTTP's terms.
const statusUnavailable = 503

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	Status     int           // of an aborted call: the fault injection's, as an HTTP status
	RetryAfter time.Duration // of a rejected or aborted call
	Reply      any           // of a served call: what the Sender got
}

// rejects says whether an answer tells its client that the request has not run, so that sending it again is harmless.
func (a Answer) rejects() bool { return a.Verdict == Rejected || a.Status == statusUnavailable }

// Do hands in a call and waits for its final answer. If ctx ends first, the client counts as gone: nothing more is sent
// for the call, and the error is ErrClientGone. It is ErrStopped if the engine stops before it has taken the call.
func (e *Engine) Do(ctx context.Context, c *Call) (Answer, error) {
	c.answer = make(chan Answer, 1)
	if ctx.Err() != nil {
		return Answer{}, ErrClientGone
	}
	select {
	case e.arrivals <- c:
	case <-ctx.Done():
		return Answer{}, ErrClientGone
	case <-e.stopped:
		return Answer{}, ErrStopped
	}
	select {
	case a := <-c.answer:
		return a, nil
	case <-ctx.Done():
	}
	// Senders see this at once. Were it only for the channel below, a busy loop would let an attempt leave meanwhile.
	c.clientGoneAt.Store(int64(e.Clock.Now()))
	select {
	case e.clientsGone <- c:
	case <-e.stopped:
	}
	return Answer{}, ErrClientGone
}

// handleArrival gives a call to the balancer. One whose ID another open call has is answered at once: the balancer would
// take it for the request that it has, and never answer it.
func (e *Engine) handleArrival(c *Call) {
	e.arriving = c
	if c.AccessDenied {
		e.eventContext = c.eventContext()
		e.dispatch(c.Request)
		return
	}
	if e.calls[c.Request.ID] != nil {
		c.ClaimAnswer()
		c.answer <- Answer{Verdict: DuplicateID}
		return
	}
	c.maxAttempts = e.Balancer.MaxAttempts()
	e.calls[c.Request.ID] = c
	e.counters.received++
	e.eventContext = c.eventContext()
	e.dispatch(c.Request)
}

// handleClientGone closes a call whose client has gone, and notifies the balancer.
func (e *Engine) handleClientGone(c *Call) {
	if !c.ClaimAnswer() {
		return
	}
	e.counters.clientGone++
	e.dispatch(balancer.ClientGone{ID: c.Request.ID})
	e.removeIfDone(c)
}

// deny answers the arriving call, whose client the access list denies. It is not looked up by its ID, which may be that of
// another client's call.
func (e *Engine) deny(a balancer.Deny) {
	c := e.arriving
	if !c.ClaimAnswer() {
		return
	}
	e.counters.denied++
	e.Log.Info("denied", append([]any{"id", a.ID, "class", c.Request.Class}, clientAttr(c.Request.Client)...)...)
	c.answer <- Answer{Verdict: Denied}
	e.removeIfDone(c)
}

// answer gives a call the final answer that the balancer decided on, any but Served and Denied. It does nothing if the call
// is closed already.
func (e *Engine) answer(id string, a Answer) {
	c := e.calls[id]
	if c == nil || !c.ClaimAnswer() {
		return
	}
	if a.rejects() {
		e.counters.rejected[c.attemptStage()]++
		if e.leaseExpired {
			e.counters.rejectedLeaseExpired++
			e.Metrics.Count(c.Tags, metrics.RejectedExpired)
		}
	} else {
		e.counters.failed[c.attemptStage()]++
	}
	e.checkAnswer(c, a.rejects())
	c.answer <- a
	e.removeIfDone(c)
}

// serve gives a call the answer of an attempt that succeeded. The caller has claimed the answer.
func (e *Engine) serve(c *Call, reply any) {
	e.counters.served++
	c.answer <- Answer{Verdict: Served, Reply: reply}
}

// removeIfDone drops a call that is closed and has no attempt out; from then on its ID is free.
func (e *Engine) removeIfDone(c *Call) {
	if c.Closed() && c.outstanding == 0 && e.calls[c.Request.ID] == c {
		delete(e.calls, c.Request.ID)
	}
}

// eventContext is what a capture records of a call beside the event that the balancer gets.
func (c *Call) eventContext() capture.EventContext {
	return capture.EventContext{Tenant: c.Tenant, Budget: c.Budget}
}

// clientAttr is the log attribute of a client's address; nothing where that is not known.
func clientAttr(client netip.Addr) []any {
	if !client.IsValid() {
		return nil
	}
	return []any{"client", client}
}
