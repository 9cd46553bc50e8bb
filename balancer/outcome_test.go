package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A replica at a deep tier gets few requests a second. Its first answers of a class must outweigh the initial
// estimate from the latency objective, which covers all tiers together.
func TestFirstAnswersOutweighTheInitialEstimate(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 2 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	now := time.Duration(0)
	for i := range 10 {
		id := fmt.Sprint(i)
		s := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		now += 10 * millisecond
		endAttempt(b, now, id, s[0], Success)
	}
	if c := b.classes["get"]; c.latencyBound(unresponsiveDeviations) > 100*millisecond {
		t.Errorf("after ten answers of 10 ms each, a server counts as unresponsive only after %v", c.latencyBound(unresponsiveDeviations))
	}
}

// A client that gives less time than answers take shows only that its deadlines are short. No server is
// ejected because of it, and the window stays open for other clients.
func TestTimeoutsFromShortDeadlinesAreIgnored(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	disableSubsetting(b)
	traffic(b, 200, "get", func(string) Outcome { return Success })
	now, window := b.now+millisecond, b.pools[0].window
	for i := range 300 {
		id := fmt.Sprint("short", i)
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + 4*millisecond})) {
			endAttempt(b, now+4*millisecond, id, s, TimedOut)
		}
		now += 5 * millisecond
	}
	for id, s := range b.servers {
		if s.ejectionLevel > 0 || s.consecutiveFailures > 0 {
			t.Errorf("%s: %d failures, level %d", id, s.consecutiveFailures, s.ejectionLevel)
		}
	}
	if got := b.pools[0].window; got < window {
		t.Errorf("the window fell from %.2f to %.2f", window, got)
	}
}

// A server restarts with attempts in flight. Their outcomes say nothing about the new process, but they count
// as in flight until they end.
func TestOutcomesOfAnEarlierProcessAreIgnored(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas, s.MaxAttempts = 1, 1 })
	l := servers(1)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: l})
	var sent []Send
	for i := range 4 {
		sent = append(sent, sends(b.Handle(millisecond, Request{ID: fmt.Sprint(i), Class: "pay", Deadline: time.Second}))...)
	}
	l[0].StartTime = 2 * millisecond
	b.Handle(3*millisecond, EndpointUpdate{Servers: l})
	s := b.servers["s00"]
	b.lastSuccess = 900 * millisecond // other servers have answered meanwhile
	if b.now = 950 * millisecond; b.isUnresponsive(s) {
		t.Error("unresponsive because of attempts at the previous process")
	}
	for i, o := range sent {
		if s.inFlightCount() != len(sent)-i {
			t.Fatalf("%d attempts in flight, want %d", s.inFlightCount(), len(sent)-i)
		}
		b.Handle(960*millisecond, AttemptEnded{ID: o.ID, Server: o.Server, Outcome: []Outcome{ConnectionLost, TimedOut, Unreachable, ConnectionLost}[i]})
	}
	if s.inFlightCount() != 0 || s.consecutiveFailures != 0 || s.ejectedUntil != 0 || s.capacityLimitUntil != 0 {
		t.Errorf("counted against the new process: %+v", s)
	}
}

// A stream may last for hours. Its latency is the time until its first message, which the host has measured;
// if its whole duration counted, it would raise every latency bound of the class.
func TestStreamLatencyEndsAtItsFirstMessage(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	for i := range 20 {
		id, now := fmt.Sprint(i), time.Duration(i)*time.Hour
		s := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
		b.Handle(now+millisecond, ResponseStarted{ID: id})
		b.Handle(now+time.Hour-millisecond, AttemptEnded{ID: id, Server: s.Server, Outcome: Success, Latency: 20 * millisecond, RequestDone: true})
	}
	if mean := time.Duration(b.classes["get"].meanLatency); mean > 21*millisecond {
		t.Errorf("the mean latency of the class is %v", mean)
	}
	if p := b.pools[0]; p.loadRatio > 0.1 {
		t.Errorf("the load ratio is %.2f", p.loadRatio)
	}
}
