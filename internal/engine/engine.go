// Package engine hosts the balancer, the module that decides: one goroutine, the event loop, feeds events to it, carries
// out its actions, keeps its timers and gives each call one final answer. The engine knows no wire protocol.
//
// Three kinds of parties use it. An ingress hands in calls (Do) and turns their answers into its protocol's. A Sender
// starts attempts at servers and reports their outcomes (AttemptEnded). A source of endpoints hands in endpoint lists and
// their changes (ApplyUpdate) and says how long they may be relied on (RenewLease).
//
// Ownership: the event loop alone touches the balancer and all state of Engine, Call, Target and Attempt that is not
// atomic. The other parties reach it through unbuffered channels, so that a method that hands something in blocks until
// the loop takes it; the loop itself never waits for them nor for I/O. The states of a call are written down at Call, those
// of an attempt at Attempt.
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

// maxLoopWait is how long the loop waits when neither a timer nor the endpoint lease comes due. Any long span would do.
const maxLoopWait = time.Hour

// ErrStopped says that the engine's loop has ended, as it does when the node shuts down: what was handed in has not been
// and will not be done. A successor process serves on, or the node has to be started again.
var ErrStopped = errors.New("the engine has stopped: the node is shutting down")

// Options are an engine's parts. Metrics, Capture and Guard may be nil: off. The others must be set before Run.
type Options struct {
	Clock    Clock
	Log      *slog.Logger
	Balancer *balancer.Balancer // the loop's own once Run has begun
	Sender   Sender
	// Subscribe asks the source for the endpoint list and its changes. The first call lets a source begin that polls by
	// itself, as internal/discovery does; later ones change nothing there. It is called in the loop and must not block.
	Subscribe  func()
	Metrics    *metrics.Reporter
	Capture    *capture.Writer
	Violations *invariants.Recorder // counts and logs broken invariants
}

// Engine is the host of one Balancer. Its methods may be called from any goroutine; unless they say otherwise, they block
// until the event loop has taken what they hand in.
type Engine struct {
	Options

	// What is handed to the loop.
	updates              chan Update
	commands             chan command
	arrivals             chan *Call
	clientsGone          chan *Call
	results              chan Result
	responses            chan responseStart
	faultInjectionStarts chan FaultInjectionStart
	captureDumps         chan struct{} // buffers one request, so that DumpCapture need not block
	endFaultInjections   chan struct{} // closed by EndFaultInjections
	stopped              chan struct{} // closed by Stop

	// The loop's own state.
	calls        map[string]*Call    // by request ID: those that are open or have an attempt out
	arriving     *Call               // the call whose Request event the balancer is handling
	endpoints    map[string]Endpoint // by server ID: all that are listed as ready, also those disabled by an operator
	targets      map[string]*Target  // by server ID: those of endpoints that may be sent to
	timers       timerHeap           // that the balancer has set
	endPending   <-chan struct{}     // endFaultInjections until the balancer has been notified of it; then nil
	leaseExpired bool                // as the balancer was last notified
	counters     counters            // for the log
	// eventContext is what the capture records beside the next event that decide gives to the balancer. Whoever dispatches
	// an event with a context sets it right before; decide clears it. When dispatch finds that the lease has just changed,
	// the event of that takes it, and the event behind it is recorded without.
	eventContext capture.EventContext

	// State that other goroutines read at any time.
	lease           *leaseDeadline
	hasUsableServer atomic.Bool // some target may be sent to
	hasListedServer atomic.Bool // some endpoint is listed as ready, be it disabled by an operator
}

// New makes an engine, which does nothing before Run.
func New(o Options) *Engine {
	endFaultInjections := make(chan struct{})
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
		endFaultInjections:   endFaultInjections,
		endPending:           endFaultInjections,
		stopped:              make(chan struct{}),
		calls:                map[string]*Call{},
		endpoints:            map[string]Endpoint{},
		targets:              map[string]*Target{},
		lease:                newLeaseDeadline(),
	}
}

// EndFaultInjections ends all fault injections for good: the node shuts down. It has no other effect, and a node without fault
// injections need not call it. It must be called once at most, and doesn't block. The loop goes on until Stop.
func (e *Engine) EndFaultInjections() { close(e.endFaultInjections) }

// DumpCapture has the records that the capture holds in memory written to standard error. It must not be called without a
// capture. It doesn't block; a request while another one waits is merged with it.
func (e *Engine) DumpCapture() {
	select {
	case e.captureDumps <- struct{}{}:
	default:
	}
}

// Stop ends Run, and doesn't block. It must be called once at most, and after the results of all attempts have been handed
// in: nothing takes them any more.
func (e *Engine) Stop() { close(e.stopped) }

// Run is the event loop; it handles events until Stop. It must be called once, from a goroutine of its own. As it ends it
// logs the last counters.
func (e *Engine) Run() {
	timer := time.NewTimer(maxLoopWait)
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

// handleUrgent handles one endpoint update or administrative command if there is one, and says whether there was.
//
// These go ahead of all waiting traffic. From the moment that a node is notified that a server drains, or is told by an
// operator to disable it, it has a grace of 250 ms (invariants.DrainGrace) until its last request may go there. Behind
// a queue of calls and results the update could wait for longer than that, while the balancer goes on choosing the
// server: the rule would be broken exactly when the node is busy.
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

// handleNext waits for one event of any kind and handles it. It says whether the loop goes on.
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
	case <-e.endPending:
		e.endPending = nil
		e.dispatch(balancer.EndFaultInjections{})
	case <-e.lease.changed: // Run begins its next round with checkLease
	case <-due:
	case <-report:
		e.logCounters()
	case <-e.stopped:
		return false
	}
	return true
}

// nextDue is how long it takes until the next timer fires or the endpoint lease expires.
func (e *Engine) nextDue() time.Duration {
	now := e.Clock.Now()
	wait := maxLoopWait
	if len(e.timers) > 0 {
		wait = e.timers[0].At - now
	}
	if until := e.lease.expiresAt(); !e.leaseExpired && until-now < wait {
		wait = until - now
	}
	return wait
}

// dispatch gives one event to the balancer and carries out its actions. The balancer is notified first if the endpoint
// lease has expired or was renewed meanwhile: no decision may rest on an expired list.
func (e *Engine) dispatch(event balancer.Event) {
	e.checkLease()
	e.decide(event)
}

// decide gives one event to the balancer and carries out its actions, in the balancer's order.
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

// execute carries out one action of the balancer, which decided on it at a time of the engine's clock.
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
