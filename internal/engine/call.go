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

// ErrClientGone means that a call has no answer because its client closed the connection or canceled the call. Nothing more
// is sent for the call.
var ErrClientGone = errors.New("the client is gone: it closed the connection or canceled the call before the final answer")

// Call is one request of a client. The ingress sets the exported fields and submits the call once (Do). It must not change
// the fields afterwards.
//
// A call is in one of the following states. The event loop makes all transitions, except that Do records first that the
// client is gone (clientGoneAt), and the loop handles that later.
//
//   - arriving: Do waits until the loop receives the call. The balancer does not know the call yet.
//   - queued: the balancer queues the call before its first attempt, or because of an injected delay. A retry is never
//     queued: it is sent when the previous attempt ends, or not at all.
//   - attempt outstanding: the Sender handles one attempt (outstanding is 1). A retry can still follow.
//   - streaming: the response to the attempt is forwarded to the client while it arrives (Attempt.streaming). No retry can
//     follow, because the client has received a part of the response. With ForwardResponse, the start of the response is
//     the final answer, so the call is also answered. With ResponseStarted, the call is answered when the attempt ends.
//   - answered: the call is closed, and Do returns the final answer. An attempt may still be outstanding. The balancer
//     must still be notified of its result; only then is the call removed.
//   - client gone: the call is closed without an answer, and Do returns ErrClientGone. An attempt may still be
//     outstanding, as in the state answered.
//
// A denied call and a call with a duplicate ID change from arriving directly to answered, and are never in Engine.calls.
type Call struct {
	Request      balancer.Request
	Tenant       string
	Budget       time.Duration // the timeout that the client sent
	BodyTimeout  time.Duration // for a call with a streamed body: the maximum time for receiving the body
	Tags         metrics.Tags
	Retryable    bool // the class allows the request to run more than once
	AccessDenied bool // the access list denies the client; Request contains only the ID
	Payload      any  // data for the Sender; not used by the engine
	// ClientGone, if not nil, reports whether the call's client is gone or may be gone. If it is gone for certain, ClientGone cancels
	// the context of Do. It detects that earlier than a read from the connection. The Sender's goroutines call it; it must not block.
	ClientGone func() bool

	closed atomic.Bool // answered, or the client is gone: nothing more may be sent for the call
	// clientGoneAt is when the client was found to be gone, on the engine's clock; 0 if it is not. Do sets it and Senders
	// read it, so that nothing is sent for the call before a busy loop handles the event.
	clientGoneAt atomic.Int64
	answer       chan Answer // buffers the final answer, so that the loop does not wait for Do

	// State that only the event loop accesses.
	arrivedAt   time.Duration
	attempts    int  // number of attempts started
	maxAttempts int  // from the settings under which the call was accepted
	outstanding int  // number of attempts that have not ended: 0 or 1
	mayHaveRun  bool // a server may have run the request in an attempt that has ended
}

// ClaimAnswer marks the call as closed and claims the right to give it the final answer. It reports whether the call was
// still open. A caller that gets true must answer the call, unless the client is gone; a caller that gets false must not
// answer it.
func (c *Call) ClaimAnswer() bool { return !c.closed.Swap(true) }

// Closed reports whether the call has its answer or its client is gone. Nothing more may be sent for a closed call.
func (c *Call) Closed() bool { return c.closed.Load() }

// Verdict is the kind of a final answer.
type Verdict int

// The kinds of final answers.
const (
	// Served: an attempt succeeded. Reply is its response.
	Served Verdict = iota
	// Rejected: the request did not run, or its class allows it to run again. The client may retry after RetryAfter.
	Rejected
	// Failed: the request may have run and can't be retried, or its deadline has passed. The client must not send it again.
	Failed
	// Denied: the access list denies the client.
	Denied
	// DuplicateID: another open call has the same ID, or an abandoned run had it (recentRuns).
	DuplicateID
	// Aborted: a fault injection ended the call with Status.
	Aborted
)

// statusUnavailable is the HTTP status with which a fault injection rejects a call. The balancer uses HTTP statuses for all
// protocols.
const statusUnavailable = 503

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	Status     int           // of an aborted call: the HTTP status from the fault injection
	RetryAfter time.Duration // of a rejected or aborted call
	Reply      any           // of a served call: the response from the Sender
}

// rejects reports whether the answer means that the client can safely send the request again.
func (a Answer) rejects() bool { return a.Verdict == Rejected || a.Status == statusUnavailable }

// Abandoner is implemented by a Reply that holds resources until it is read, such as a response that is still arriving.
type Abandoner interface {
	// Abandon releases the resources of a Reply that nobody reads. It must not block.
	Abandon()
}

// Do submits a call and waits for its final answer. If ctx is done first, the client counts as gone: nothing more is sent
// for the call, and Do returns ErrClientGone. Do returns ErrStopped if the engine stops before it receives the call.
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
	// Senders see this immediately. With the channel below alone, an attempt could be sent before a busy loop receives it.
	c.clientGoneAt.Store(int64(e.Clock.Now()))
	select {
	case e.clientsGone <- c:
	case <-e.stopped:
	}
	return Answer{}, ErrClientGone
}

// handleArrival passes a new call to the balancer. A call with the ID of another open call is answered immediately: the
// balancer would mistake it for the request that it already has, and never answer it. So is a call with the ID of an abandoned
// run, which would run twice.
func (e *Engine) handleArrival(c *Call) {
	e.arriving = c
	if c.AccessDenied {
		e.eventContext = c.eventContext()
		e.dispatch(c.Request)
		return
	}
	if abandoned := e.recentRuns.contains(c.Request.ID, e.Clock.Now()); abandoned || e.calls[c.Request.ID] != nil {
		e.Log.Warn("request not taken: its ID is in use, or was used by a client that left", "id", c.Request.ID, "abandoned", abandoned)
		c.ClaimAnswer()
		c.answer <- Answer{Verdict: DuplicateID}
		return
	}
	c.arrivedAt = e.Clock.Now()
	c.Request = e.Balancer.WithoutSettingsInForce(c.Request)
	c.maxAttempts = e.Balancer.MaxAttempts(c.Request)
	e.calls[c.Request.ID] = c
	e.counters.received++
	e.eventContext = c.eventContext()
	e.dispatch(c.Request)
}

// handleClientGone closes a call whose client is gone, and notifies the balancer. If the call was answered just before, Do
// has not read the answer and does not read it any more.
func (e *Engine) handleClientGone(c *Call) {
	if !c.ClaimAnswer() {
		c.abandonAnswer()
		return
	}
	e.counters.clientGone++
	e.reportAbandonedRun(c)
	e.dispatch(balancer.ClientGone{ID: c.Request.ID})
	e.removeIfDone(c)
}

// abandonAnswer releases the resources of an answer that was given and that nobody reads.
func (c *Call) abandonAnswer() {
	select {
	case unread := <-c.answer:
		if reply, ok := unread.Reply.(Abandoner); ok {
			reply.Abandon()
		}
	default:
	}
}

// deny answers the arriving call, whose client is denied by the access list. It does not look up the call by ID, because
// another client's call may have the same ID.
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

// answer gives a call a final answer other than Served and Denied. It does nothing if the call is already closed.
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

// serve answers a call with the reply of a successful attempt. The caller must have claimed the answer.
func (e *Engine) serve(c *Call, reply any) {
	e.counters.served++
	c.answer <- Answer{Verdict: Served, Reply: reply}
}

// removeIfDone removes a call that is closed and has no outstanding attempt. From then on its ID can be used again.
func (e *Engine) removeIfDone(c *Call) {
	if c.Closed() && c.outstanding == 0 && e.calls[c.Request.ID] == c {
		e.rememberAbandonedRun(c)
		delete(e.calls, c.Request.ID)
	}
}

// eventContext returns the data about a call that a capture records in addition to the event.
func (c *Call) eventContext() capture.EventContext {
	return capture.EventContext{Tenant: c.Tenant, Budget: c.Budget}
}

// clientAttr returns the log attribute for a client's address, or nothing if the address is unknown.
func clientAttr(client netip.Addr) []any {
	if !client.IsValid() {
		return nil
	}
	return []any{"client", client}
}
