// Package engine hosts the decision module: it feeds events to it from one goroutine, carries out its actions, keeps
// its timers and gives each call one final answer. It knows no wire. A front hands in calls (Do) and turns answers
// into its protocol's; a Sender starts attempts and reports how they ended (Ended); a source brings lists (Tell).
package engine

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

// Options are an engine's parts. Figures and Capture may be nil: off.
type Options struct {
	Clock     Clock
	Log       *slog.Logger
	Balancer  *balancer.Balancer
	Sender    Sender
	Subscribe func() // asks the source for a watch; must not block
	Metrics   *metrics.Reporter
	Capture   *capture.Writer
	Guard     *invariants.Guard // nil: violations are not counted
}

// Engine is one host of one Balancer. Its methods may be called from any goroutine while Run runs.
type Engine struct {
	Options

	lists    chan Update
	arrivals chan *Call
	gone     chan *Call
	results  chan Result
	begun    chan beginning
	starts   chan FaultInjectionStart
	orders   chan order
	dumps    chan struct{} // takes a wish to see what the capture holds without blocking
	leaves   chan struct{}
	stop     chan struct{}

	calls   map[string]*Call
	visitor *Call               // that is being taken
	boxes   map[string]Endpoint // listed as ready, those out by hand among them
	targets map[string]*Target
	wakes   wakeHeap
	lease   lease       // on the list
	expired bool        // as the module was told
	usable  atomic.Bool // some listed server is in service
	listed  atomic.Bool // the same, those out by hand among them
	tally   tally
	aside   capture.EventContext // of the event that comes next
}

// New makes an engine; Run starts it.
func New(o Options) *Engine {
	e := &Engine{Options: o,
		lists: make(chan Update), arrivals: make(chan *Call), gone: make(chan *Call),
		results: make(chan Result), begun: make(chan beginning), starts: make(chan FaultInjectionStart), orders: make(chan order), dumps: make(chan struct{}, 1),
		leaves: make(chan struct{}), stop: make(chan struct{}),
		calls: map[string]*Call{}, boxes: map[string]Endpoint{}, targets: map[string]*Target{}, lease: newLease()}
	return e
}

// Why Do has no answer.
var (
	ErrStopped    = errors.New("the engine has stopped")
	ErrClientGone = errors.New("the client has left")
)

// Do hands in a call and waits for its final answer. If ctx ends first the call counts as given up by its client:
// nothing more is sent for it.
func (e *Engine) Do(ctx context.Context, c *Call) (Answer, error) {
	c.reply = make(chan Answer, 1)
	if ctx.Err() != nil {
		return Answer{}, ErrClientGone
	}
	select {
	case e.arrivals <- c:
	case <-ctx.Done():
		return Answer{}, ErrClientGone
	case <-e.stop:
		return Answer{}, ErrStopped
	}
	select {
	case a := <-c.reply:
		return a, nil
	case <-ctx.Done():
	}
	c.left.Store(int64(e.Clock.Now())) // a busy loop must not let an attempt go meanwhile
	select {
	case e.gone <- c:
	case <-e.stop:
	}
	return Answer{}, ErrClientGone
}

// ApplyUpdate hands in an update of the list. When it returns nil they go ahead of all that is
// handed in after.
func (e *Engine) ApplyUpdate(ctx context.Context, n Update) error {
	select {
	case e.lists <- n:
		return nil
	case <-e.stop:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AttemptEnded hands in how an attempt ended. A sender may wait here, so it is called from an attempt's own goroutine; Stop
// comes only after all of them have ended.
func (e *Engine) AttemptEnded(r Result) { e.results <- r }

// ResponseStarted tells that a streamed answer is the client's from here on: its call is not sent again. Like Ended.
func (e *Engine) ResponseStarted(a *Attempt) { e.begun <- beginning{a: a} }

// PassResponse tells that an attempt's answer begins and is passed on as it comes: it is the call's final answer. False: the
// call is over, and nobody takes it. The attempt's Result comes when it has ended. Like Ended.
func (e *Engine) PassResponse(a *Attempt, reply any) bool {
	wanted := make(chan bool, 1)
	e.begun <- beginning{a: a, reply: reply, wanted: wanted}
	return <-wanted
}

// beginning is an answer that begins.
type beginning struct {
	a      *Attempt
	reply  any
	wanted chan bool // nil: the front has it already
}

func (e *Engine) takeBeginning(b beginning) {
	c := b.a.Call
	if b.wanted != nil {
		wanted := c.Close()
		b.wanted <- wanted
		if !wanted {
			return
		}
		e.tally.served++
		c.reply <- Answer{Verdict: Served, Reply: b.reply}
	}
	b.a.begun = true
	e.handle(balancer.ResponseStarted{ID: c.Request.ID, Attempt: b.a.Number})
}

// StartFaultInjection has the module start a drill.
func (e *Engine) StartFaultInjection(s FaultInjectionStart) error {
	select {
	case e.starts <- s:
		return nil
	case <-e.stop:
		return ErrStopped
	}
}

// BeginShutdown tells the module, once, that the node begins to leave.
func (e *Engine) BeginShutdown() { close(e.leaves) }

// DumpCapture has what the capture holds in memory written, where there is one. A wish that still waits is enough.
func (e *Engine) DumpCapture() {
	select {
	case e.dumps <- struct{}{}:
	default:
	}
}

// HasListedServer says whether some server is listed as in service, be it out by hand.
func (e *Engine) HasListedServer() bool { return e.listed.Load() }

// HasUsableServer says whether some listed server is in service.
func (e *Engine) HasUsableServer() bool { return e.usable.Load() }

// Stop ends Run. No attempt may be out any more.
func (e *Engine) Stop() { close(e.stop) }

// Run handles events until Stop. Senders on the channels may wait; the loop never does.
func (e *Engine) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(tallyEvery)
	defer report.Stop()
	defer func() { e.tally.write(e.Log, len(e.calls)) }()
	leaves := e.leaves
	for {
		e.checkLease()
		// Updates of the list and operators' orders go ahead of waiting traffic: the grace of a drain is running.
		select {
		case n := <-e.lists:
			e.takeUpdate(n)
			continue
		case o := <-e.orders:
			o.done <- o.do()
			continue
		default:
		}
		for len(e.wakes) > 0 && e.wakes[0].At <= e.Clock.Now() {
			w := heap.Pop(&e.wakes).(balancer.SetTimer)
			e.handle(balancer.TimerFired{Token: w.Token})
		}
		timer.Reset(e.idle())
		select {
		case n := <-e.lists:
			e.takeUpdate(n)
		case o := <-e.orders:
			o.done <- o.do()
		case c := <-e.arrivals:
			e.takeCall(c)
		case c := <-e.gone:
			e.takeGone(c)
		case r := <-e.results:
			e.takeResult(r)
		case b := <-e.begun:
			e.takeBeginning(b)
		case s := <-e.starts:
			e.Log.Info("drill started", append([]any{"drill", s.Name}, who(s.Client)...)...)
			e.handle(balancer.StartFaultInjection{Name: s.Name})
		case <-e.dumps:
			e.Capture.Dump()
		case <-leaves:
			leaves = nil
			e.handle(balancer.ShuttingDown{})
		case <-e.lease.renewed:
		case <-timer.C:
		case <-report.C:
			e.tally.write(e.Log, len(e.calls))
		case <-e.stop:
			return
		}
	}
}

// idle is how long nothing comes due.
func (e *Engine) idle() time.Duration {
	now := e.Clock.Now()
	wait := time.Hour
	if len(e.wakes) > 0 {
		wait = e.wakes[0].At - now
	}
	if until := e.lease.until(); !e.expired && until-now < wait {
		wait = until - now
	}
	return wait
}

// handle gives one event to the module, which is told of an expired list first, and carries out what it answers.
func (e *Engine) handle(event balancer.Event) {
	e.checkLease()
	e.decide(event)
}

// decide gives one event to the module and carries out what it answers.
func (e *Engine) decide(event balancer.Event) {
	now := e.Clock.Now()
	actions := e.Balancer.Handle(now, event)
	if e.Capture != nil {
		e.Capture.Event(now, event, actions, e.aside)
		e.aside = capture.EventContext{}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			e.send(now, a)
		case balancer.Reject:
			e.answer(a.ID, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
		case balancer.Fail:
			e.answer(a.ID, Answer{Verdict: Failed})
		case balancer.Deny:
			e.deny(a)
		case balancer.FaultInjected:
			e.mark(a)
		case balancer.Abort:
			e.answer(a.ID, Answer{Verdict: Aborted, Status: a.Status, RetryAfter: a.RetryAfter})
		case balancer.SetTimer:
			heap.Push(&e.wakes, a)
		case balancer.Subscribe:
			e.Subscribe()
		}
	}
}

func (e *Engine) takeCall(c *Call) {
	e.visitor = c
	if c.AccessDenied {
		e.aside = c.aside()
		e.handle(c.Request)
		return
	}
	// An id still in use would be taken by the module for the request that it has, and never answered.
	if e.calls[c.Request.ID] != nil {
		c.Close()
		c.reply <- Answer{Verdict: DuplicateID}
		return
	}
	c.most = e.Balancer.MaxAttempts()
	e.calls[c.Request.ID] = c
	e.tally.taken++
	e.aside = c.aside()
	e.handle(c.Request)
}

// takeGone notes that the client of a call has left.
func (e *Engine) takeGone(c *Call) {
	if !c.Close() {
		return
	}
	e.tally.left++
	e.handle(balancer.ClientGone{ID: c.Request.ID})
	e.forget(c)
}

// aside is what a capture has of a call beside what the module is told.
func (c *Call) aside() capture.EventContext {
	return capture.EventContext{Tenant: c.Tenant, Budget: c.Budget}
}

// deny answers a stranger. Its id may be that of another call.
func (e *Engine) deny(a balancer.Deny) {
	c := e.visitor
	if !c.Close() {
		return
	}
	e.tally.denied++
	e.Log.Info("denied", append([]any{"id", a.ID, "class", c.Request.Class}, who(c.Request.Client)...)...)
	c.reply <- Answer{Verdict: Denied}
	e.forget(c)
}

// mark notes that a call is part of a drill.
func (e *Engine) mark(a balancer.FaultInjected) {
	if c := e.calls[a.ID]; c != nil {
		e.tally.drilled++
		e.Metrics.Count(c.Tags, metrics.FaultInjected)
		e.Log.Info("drilled", append([]any{"id", a.ID, "class", c.Request.Class, "drill", a.FaultInjection}, who(c.Request.Client)...)...)
	}
}

func (e *Engine) send(now time.Duration, a balancer.Send) {
	c := e.calls[a.ID]
	if c == nil {
		e.Log.Error("send for an unknown request", "id", a.ID)
		return
	}
	att := &Attempt{Call: c, Number: c.attempts, Target: e.targets[a.Server], Deadline: min(now+a.Timeout, c.Request.Deadline),
		Timeout: a.Timeout, lease: &e.lease, guard: e.Guard}
	if c.Request.StreamedBody {
		att.Deadline = now + c.BodyTimeout + a.Timeout
	}
	if att.Target == nil { // no such server any more: the attempt ends unsent
		att.Target = &Target{ID: a.Server}
		att.Target.StopSending(now)
	}
	e.guardStart(now, att)
	c.attempts++
	c.out++
	att.Target.calls++
	att.Started = e.Clock.Now()
	e.Sender.Start(att)
}

// answer gives the one final answer; later ones of the same call go nowhere.
func (e *Engine) answer(id string, a Answer) {
	c := e.calls[id]
	if c == nil || !c.Close() {
		return
	}
	if a.Verdict == Rejected || a.Status == unavailable {
		e.tally.refused[tried(c)]++
		if e.expired {
			e.tally.expired++
			e.Metrics.Count(c.Tags, metrics.RejectedExpired)
		}
	} else {
		e.tally.failed[tried(c)]++
	}
	e.guardClose(c, a.Verdict == Rejected || a.Status == unavailable)
	c.reply <- a
	e.forget(c)
}

// forget drops a call that is closed and has no attempt out.
func (e *Engine) forget(c *Call) {
	if c.Closed() && c.out == 0 && e.calls[c.Request.ID] == c {
		delete(e.calls, c.Request.ID)
	}
}

func (e *Engine) takeResult(r Result) {
	c := r.Attempt.Call
	if c.left.Load() != 0 {
		e.takeGone(c) // ahead of what would follow the attempt
	}
	c.out--
	r.Attempt.Target.calls--
	c.mayHaveRun = c.mayHaveRun || !r.Outcome.NeverRan()
	e.tally.note(e.Log, e.Clock.Now(), r)
	if r.Outcome == balancer.Success && c.Close() {
		e.tally.served++
		e.aside.Served = true
		e.guardClose(c, false)
		c.reply <- Answer{Verdict: Served, Reply: r.Reply}
	}
	if r.Attempt.begun { // it is not moved: its break is its call's end, and its client has seen it
		e.answer(c.Request.ID, Answer{Verdict: Failed})
	}
	latency := r.Latency
	if latency == 0 {
		latency = e.Clock.Now() - r.Attempt.Started
	}
	e.handle(balancer.AttemptEnded{ID: c.Request.ID, Attempt: r.Attempt.Number, Server: r.Attempt.Target.ID, Outcome: r.Outcome,
		Latency: latency, RequestDone: c.Closed()})
	e.forget(c)
}

// takeUpdate updates the servers' addresses, stops what must get nothing new, then tells the module.
func (e *Engine) takeUpdate(n Update) {
	if n.Failed {
		e.handle(balancer.WatchFailed{})
		return
	}
	list := balancer.EndpointUpdate{Complete: n.Complete, Cached: n.Cached}
	listed := map[string]bool{}
	for _, b := range n.Endpoints {
		list.Servers = append(list.Servers, b.Server)
		listed[b.ID] = true
		old := e.targets[b.ID]
		if b.State != balancer.Ready {
			e.drop(b.ID)
			continue
		}
		// A server that moved or started anew shares no connection with the one before.
		if old != nil && (old.Addr != b.Addr || old.Boot != b.StartTime) {
			e.drop(b.ID)
		}
		e.boxes[b.ID] = b
		e.aim(b)
	}
	if n.Complete {
		for id := range e.boxes {
			if !listed[id] {
				e.drop(id)
			}
		}
	}
	if e.Capture != nil {
		e.aside.Addresses = map[string]string{}
		for _, b := range n.Endpoints {
			e.aside.Addresses[b.ID] = b.Addr
		}
	}
	e.handle(list)
	e.usable.Store(len(e.targets) > 0)
	e.listed.Store(len(e.boxes) > 0)
}

// aim lets a listed server get attempts, unless it does already or the module says that it is out by hand.
func (e *Engine) aim(b Endpoint) {
	if e.targets[b.ID] == nil && !e.Balancer.IsDisabled(b.ID) {
		e.targets[b.ID] = &Target{ID: b.ID, Addr: b.Addr, Boot: b.StartTime}
	}
}

// drop forgets a server that is not listed as ready any more.
func (e *Engine) drop(id string) {
	e.halt(id)
	delete(e.boxes, id)
}

// halt stops all sends to a server, those that wait for a connection among them.
func (e *Engine) halt(id string) {
	if t := e.targets[id]; t != nil {
		t.StopSending(e.Clock.Now())
		e.Sender.Retire(t)
		delete(e.targets, id)
	}
}

// who is what a log line tells of a client, where that is known.
func who(client netip.Addr) []any {
	if !client.IsValid() {
		return nil
	}
	return []any{"client", client}
}

// wakeHeap holds the timers that the module asked for, the next one first.
type wakeHeap []balancer.SetTimer

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *wakeHeap) Push(x any)        { *h = append(*h, x.(balancer.SetTimer)) }
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
