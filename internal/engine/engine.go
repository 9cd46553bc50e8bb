// Package engine runs the balancer, which makes all decisions. One goroutine, the event loop, passes events to the
// balancer, executes its actions, runs its timers and gives each call one final answer. The engine is independent of any
// wire protocol.
//
// Three kinds of components use the engine. An ingress submits calls (Do) and translates the answers to its protocol. A
// Sender sends attempts to servers and reports their outcomes (AttemptEnded). An endpoint source delivers endpoint lists
// and changes to them (ApplyUpdate), and says how long the list remains valid (RenewLease).
//
// Ownership: only the event loop accesses the balancer and the non-atomic state of Engine, Call, Target and Attempt. Other
// goroutines communicate with it over unbuffered channels, so a method that delivers something blocks until the loop
// receives it. The loop never waits for other goroutines or for I/O. The type Call documents the states of a call, and the
// type Attempt those of an attempt.
package engine

import (
	"container/heap"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

// idleWait is how long the event loop waits when no timer is set and the endpoint lease does not expire earlier. Any long
// duration works.
const idleWait = time.Hour

// ErrStopped means that the event loop has ended because the node is shutting down. The operation was not performed and
// will not be. Either a successor process continues to serve, or the node must be started again.
var ErrStopped = errors.New("the engine has stopped: the node is shutting down")

// Options are the components that an engine uses. Metrics, Capture and Violations may be nil, which disables them. All
// other fields must be set before Run.
type Options struct {
	Clock    Clock
	Log      *slog.Logger
	Balancer *balancer.Balancer // accessed only by the event loop once Run has started
	Sender   Sender
	// Subscribe asks the endpoint source for the list and its changes. The first call starts a source that polls on its
	// own, such as internal/discovery; for such a source, later calls have no effect. The event loop calls it, so it must
	// not block.
	Subscribe  func()
	Metrics    *metrics.Reporter
	Capture    *capture.Writer
	Violations *invariants.Recorder // counts and logs violations of invariants
	// OnAbandonedRun, if not nil, is called with the ID of a request whose client left while an attempt was outstanding, and which
	// must not run again. The event loop calls it, so it must not block.
	OnAbandonedRun func(id string)
}

// Engine runs one Balancer. Its methods may be called from any goroutine. Unless documented otherwise, they block until the
// event loop has received what they deliver.
type Engine struct {
	Options

	// Input of the event loop.
	updates              chan Update
	commands             chan command
	arrivals             chan *Call
	clientsGone          chan *Call
	results              chan Result
	responses            chan responseStart
	faultInjectionStarts chan FaultInjectionStart
	captureDumps         chan struct{}      // buffers one request, so that DumpCapture does not block
	shutdowns            chan time.Duration // buffers the time by which all calls must be answered (BeginShutdown)
	stopped              chan struct{}      // closed by Stop

	// State that only the event loop accesses.
	calls        map[string]*Call    // by request ID: calls that are open or have an outstanding attempt
	arriving     *Call               // the call whose Request event the balancer is handling
	endpoints    map[string]Endpoint // by server ID: all that are listed as ready, including disabled ones
	targets      map[string]*Target  // by server ID: the endpoints that may receive attempts
	timers       timerHeap           // set by the balancer and not fired yet
	leaseExpired bool                // whether the lease had expired when the balancer was last notified
	answerBy     time.Duration       // when all calls must be answered; 0: the node is not shutting down
	recentRuns   recentRuns
	counters     counters // for the log
	// eventContext is recorded by the capture together with the next event that decide passes to the balancer. A caller
	// of dispatch that has a context for its event sets it immediately before; decide clears it. If dispatch finds that
	// the lease has just changed, the context is used up by the LeaseChanged event, and the dispatched event has none.
	eventContext capture.EventContext

	// State that other goroutines read at any time.
	lease           *leaseDeadline
	hasUsableServer atomic.Bool // at least one server is listed as ready and not disabled
	hasListedServer atomic.Bool // at least one server is listed as ready, even if it is disabled
}

// New returns an engine. Run starts it.
func New(o Options) *Engine {
	return &Engine{
		Options:              o,
		updates:              make(chan Update),
		commands:             make(chan command),
		arrivals:             make(chan *Call),
		clientsGone:          make(chan *Call),
		results:              make(chan Result),
		responses:            make(chan responseStart),
		faultInjectionStarts: make(chan FaultInjectionStart),
		captureDumps:         make(chan struct{}, 1),
		shutdowns:            make(chan time.Duration, 1),
		stopped:              make(chan struct{}),
		calls:                map[string]*Call{},
		endpoints:            map[string]Endpoint{},
		targets:              map[string]*Target{},
		recentRuns:           newRecentRuns(),
		lease:                newLeaseDeadline(),
	}
}

// BeginShutdown notifies the balancer that the node is about to stop: every call, also one that arrives later, is answered
// by answerBy on the engine's clock, and fault injections end. The event loop continues until Stop. It must be called at
// most once, and doesn't block.
func (e *Engine) BeginShutdown(answerBy time.Duration) { e.shutdowns <- answerBy }

// DumpCapture requests that the capture write the records that it holds in memory to standard error. It must not be
// called if Options.Capture is nil. It doesn't block. Requests that arrive while one is pending are merged with it.
func (e *Engine) DumpCapture() {
	select {
	case e.captureDumps <- struct{}{}:
	default:
	}
}

// Stop ends Run, and doesn't block. It must be called at most once, and only after AttemptEnded has returned for all
// attempts: after Stop nothing receives their results.
func (e *Engine) Stop() { close(e.stopped) }

// Run is the event loop: it handles events until Stop. It must be called once, in its own goroutine. Before it returns, it
// logs the remaining counters.
func (e *Engine) Run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	report := time.NewTicker(countersInterval)
	defer report.Stop()
	defer e.logCounters()
	for {
		e.checkLease()
		if e.handleUrgent() {
			continue
		}
		e.fireTimers()
		timer.Reset(e.nextDue())
		if !e.handleNext(timer.C, report.C) {
			return
		}
	}
}

// handleUrgent handles one endpoint update or administrative command if one is pending, and reports whether it did.
//
// Updates and commands are handled before all pending calls and results. After a node is notified that a server is
// draining, or an operator disables the server, the node may send requests to it for at most 250 ms
// (invariants.DrainGrace). If the update had to wait for pending calls and results, that could take longer, and the
// balancer would continue to choose the server: a busy node would violate the rule.
func (e *Engine) handleUrgent() bool {
	select {
	case u := <-e.updates:
		e.handleUpdate(u)
	case c := <-e.commands:
		c.run()
	default:
		return false
	}
	return true
}

// handleNext waits for one event of any kind and handles it. It reports whether the loop should continue.
func (e *Engine) handleNext(due, report <-chan time.Time) bool {
	select {
	case u := <-e.updates:
		e.handleUpdate(u)
	case c := <-e.commands:
		c.run()
	case c := <-e.arrivals:
		e.handleArrival(c)
	case c := <-e.clientsGone:
		e.handleClientGone(c)
	case r := <-e.results:
		e.handleResult(r)
	case r := <-e.responses:
		e.handleResponseStart(r)
	case s := <-e.faultInjectionStarts:
		e.handleFaultInjectionStart(s)
	case <-e.captureDumps:
		e.Capture.Dump()
	case answerBy := <-e.shutdowns:
		e.answerBy = answerBy
		e.dispatch(balancer.ShutdownBegun{AnswerBy: answerBy})
	case <-e.lease.changed: // the next iteration of Run starts with checkLease
	case <-due:
	case <-report:
		e.logCounters()
	case <-e.stopped:
		return false
	}
	return true
}

// nextDue returns the time until the next timer fires or the endpoint lease expires.
func (e *Engine) nextDue() time.Duration {
	now := e.Clock.Now()
	wait := idleWait
	if len(e.timers) > 0 {
		wait = e.timers[0].At - now
	}
	if until := e.lease.expiresAt(); !e.leaseExpired && until-now < wait {
		wait = until - now
	}
	return wait
}

// dispatch passes one event to the balancer and executes the resulting actions. If the endpoint lease has expired or was
// renewed since the last event, it notifies the balancer of that first: no decision may be based on an expired list.
func (e *Engine) dispatch(event balancer.Event) {
	e.checkLease()
	e.decide(event)
}

// decide passes one event to the balancer and executes the resulting actions in order. Unlike dispatch, it does not check
// the lease.
func (e *Engine) decide(event balancer.Event) {
	now := e.Clock.Now()
	actions := e.Balancer.Handle(now, event)
	if e.Capture != nil {
		e.Capture.Event(now, event, actions, e.eventContext)
		e.eventContext = capture.EventContext{}
	}
	for _, action := range actions {
		e.execute(now, action)
	}
}

// execute executes one action of the balancer. now is the time of the decision on the engine's clock.
func (e *Engine) execute(now time.Duration, action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		e.startAttempt(now, a)
	case balancer.Reject:
		e.answer(a.ID, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.answer(a.ID, Answer{Verdict: Failed})
	case balancer.Deny:
		e.deny(a)
	case balancer.FaultInjected:
		e.recordFaultInjected(a)
	case balancer.Abort:
		e.answer(a.ID, Answer{Verdict: Aborted, Status: a.Status, RetryAfter: a.RetryAfter})
	case balancer.SetTimer:
		heap.Push(&e.timers, a)
	case balancer.Subscribe:
		e.Subscribe()
	}
}
