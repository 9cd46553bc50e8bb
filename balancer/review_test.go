package balancer

import (
	"fmt"
	"testing"
	"time"
)

// answers plays a request's timers and returns what it is answered with, and when.
func finalAnswerAt(b *Balancer, now time.Duration, e Request) (at time.Duration, answer Action) {
	acts := b.Handle(now, e)
	for range 100 {
		var next *SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case Reject, Fail, Send:
				return now, a
			case SetTimer:
				next = &a
			}
		}
		if next == nil {
			break
		}
		now = next.At
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	return now, nil
}

// With nobody to send to, a request waits for no longer than an answer could still be in time, however long its client
// would, and its client is told when to come back.
func TestWithoutServersRequestsAreRejectedEarly(t *testing.T) {
	for _, class := range []string{"get", "pay"} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true})
		at, a := finalAnswerAt(b, msec, Request{ID: "r", Class: class, Deadline: time.Hour})
		if r, ok := a.(Reject); !ok || r.RetryAfter != 50*msec || at > 500*msec {
			t.Errorf("%s: %+v at %v", class, a, at)
		}
		if len(b.requests) > 0 {
			t.Errorf("%s: it is still held", class)
		}
	}
}

// What has used up its attempts is answered in the same event, with advice where it is refused.
func TestExhaustedRequestIsAnsweredAtOnce(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	for class, want := range map[string]Action{"get": Reject{ID: "get", RetryAfter: 50 * msec}, "pay": Fail{ID: "pay"}} {
		s := sends(b.Handle(msec, Request{ID: class, Class: class, Deadline: time.Second}))[0]
		acts := b.Handle(2*msec, AttemptEnded{ID: class, Server: s.Server, Outcome: ConnectionLost})
		if len(acts) != 1 || acts[0] != want {
			t.Errorf("%s: %+v", class, acts)
		}
	}
}

// A client that says that it waits for an hour is given no more than its class: its call would hold its place in the
// window for as long, and outlive a node that is told to stop.
func TestDeadlineIsLimitedByTheClass(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	if s := sends(b.Handle(msec, Request{ID: "r", Class: "pay", Deadline: time.Hour}))[0]; s.Timeout > 1500*msec {
		t.Errorf("waited for during %v", s.Timeout)
	}
}

// Where only unsafe requests come, one of them must be the trial after an ejection: else the server is out for good.
func TestNonIdempotentRequestsEndAnEjection(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	drawFromAll(b)
	b.servers["s03"].ejectionLevel, b.servers["s03"].ejectedUntil = 1, time.Second
	got := map[string]int{}
	for i := range 400 {
		now := time.Second + time.Duration(i)*20*msec
		id := fmt.Sprint(i)
		s := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second}))[0]
		if now < 1100*msec && s.Server == "s03" {
			t.Fatalf("an unsafe trial at %v, when a safe one might still come", now)
		}
		got[s.Server]++
		endAttempt(b, now+10*msec, id, s, Success)
	}
	if got["s03"] < 40 {
		t.Errorf("requests by server: %v", got)
	}
}

// A client that gives less time than answers take shows that its budgets are short: nobody is ejected for it, and the
// window stays for the others.
func TestShortDeadlinesTeachNothing(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	drawFromAll(b)
	traffic(b, 200, "get", func(string) Outcome { return Success })
	now, window := b.now+msec, b.pools[0].window
	for i := range 300 {
		id := fmt.Sprint("short", i)
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + 4*msec})) {
			endAttempt(b, now+4*msec, id, s, TimedOut)
		}
		now += 5 * msec
	}
	for id, s := range b.servers {
		if s.ejectionLevel > 0 || s.consecutiveFailures > 0 {
			t.Errorf("%s: %d bad endings, level %d", id, s.consecutiveFailures, s.ejectionLevel)
		}
	}
	if got := b.pools[0].window; got < window {
		t.Errorf("the window fell from %.2f to %.2f", window, got)
	}
}

// What was sent to a process before it started anew says nothing of the new one, and yet is in flight until it ends.
func TestOutcomesOfAnEarlierProcessAreIgnored(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas, s.MaxAttempts = 1, 1 })
	l := servers(1)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: l})
	var out []Send
	for i := range 4 {
		out = append(out, sends(b.Handle(msec, Request{ID: fmt.Sprint(i), Class: "pay", Deadline: time.Second}))...)
	}
	l[0].StartTime = 2 * msec
	b.Handle(3*msec, EndpointUpdate{Servers: l})
	s := b.servers["s00"]
	b.lastSuccess = 900 * msec // others have been answered meanwhile
	if b.now = 950 * msec; b.isUnresponsive(s) {
		t.Error("silent for what the earlier process owes")
	}
	for i, o := range out {
		if s.inFlightCount() != len(out)-i {
			t.Fatalf("%d calls in flight, want %d", s.inFlightCount(), len(out)-i)
		}
		b.Handle(960*msec, AttemptEnded{ID: o.ID, Server: o.Server, Outcome: []Outcome{ConnectionLost, TimedOut, Unreachable, ConnectionLost}[i]})
	}
	if s.inFlightCount() != 0 || s.consecutiveFailures != 0 || s.ejectedUntil != 0 || s.capacityLimitUntil != 0 {
		t.Errorf("held against the new process: %+v", s)
	}
}

// A stream's latency is the time till its first message, which its host has measured: it may last for hours.
func TestStreamLatencyEndsAtItsFirstMessage(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	for i := range 20 {
		id, now := fmt.Sprint(i), time.Duration(i)*time.Hour
		s := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
		b.Handle(now+msec, ResponseStarted{ID: id})
		b.Handle(now+time.Hour-msec, AttemptEnded{ID: id, Server: s.Server, Outcome: Success, Latency: 20 * msec, RequestDone: true})
	}
	if mean := time.Duration(b.classes["get"].meanLatency); mean > 21*msec {
		t.Errorf("the class is taken to last %v", mean)
	}
	if p := b.pools[0]; p.loadRatio > 0.1 {
		t.Errorf("the window sees %.2f of the aim", p.loadRatio)
	}
}

// Where clients mark no repeats, one client with a longer budget than all others must not make these look like repeats.
func TestOneLongDeadlineMakesNobodyARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	repeats := 0
	for i := range 1000 {
		now, budget := time.Duration(i)*10*msec, 800*msec
		if i%5 == 0 {
			budget = 1500 * msec
		}
		id := fmt.Sprint(i)
		acts := b.Handle(now, Request{ID: id, Class: "get", Deadline: now + budget})
		if b.requests[id].clientRetry && i > 200 {
			repeats++
		}
		for _, s := range sends(acts) {
			endAttempt(b, now+5*msec, id, s, Success)
		}
	}
	if repeats > 8 {
		t.Errorf("%d of 800 first tries are taken for repeats", repeats)
	}
}
