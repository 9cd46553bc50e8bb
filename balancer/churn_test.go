package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// churnHost is what a host knows about timers and attempts in flight.
type churnHost struct {
	inFlight  map[string]int
	timers    []SetTimer
	pending   []pendingOutcome
	maxTimers int // most timers at the same time
}

// apply carries out actions. The function draw draws how long an attempt takes and its outcome.
func (h *churnHost) apply(now time.Duration, b *Balancer, acts []Action, draw func(Send) (time.Duration, Outcome)) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.inFlight[a.Server]++
			took, outcome := draw(a)
			n := len(b.requests[a.ID].attempts) - 1
			h.pending = append(h.pending, pendingOutcome{now + took, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: outcome, RequestDone: outcome == Success}})
		case SetTimer:
			h.timers = append(h.timers, a)
			h.maxTimers = max(h.maxTimers, len(h.timers))
		}
	}
}

// difference describes where the Balancer's counts of its attempts in flight differ from those of the host.
// It returns "" if they are the same.
func (h *churnHost) difference(b *Balancer) string {
	for id, n := range h.inFlight {
		if s := b.servers[id]; n < 0 || s == nil && n > 0 || s != nil && s.inFlightCount() != n {
			return fmt.Sprintf("%s: %d attempts are in flight, the Balancer has %+v", id, n, s)
		}
	}
	all := 0
	for _, p := range b.pools {
		if p.inFlight < 0 {
			return fmt.Sprintf("a pool counts %d attempts in flight", p.inFlight)
		}
		all += p.inFlight
	}
	for id, s := range b.servers {
		if s.inFlightCount() > 0 && h.inFlight[id] == 0 {
			return fmt.Sprintf("%s: no attempt is in flight, the Balancer has %d", id, s.inFlightCount())
		}
	}
	for _, n := range h.inFlight {
		all -= n
	}
	if all != 0 {
		return fmt.Sprintf("the pools count %d more attempts in flight than there are", all)
	}
	return ""
}

// A node that leaked a little state with each change would fail within weeks. For about two days of clock
// time, servers, IDs and keys keep changing: servers leave with attempts in flight, return, restart and
// drain; clients disconnect and give unusual deadlines. After every event the Balancer must count exactly the
// attempts in flight. At the end it must keep no state, and no timer or counter may have grown.
func TestChurnDoesNotLeak(t *testing.T) {
	for seed := range uint64(2) {
		settings := randomTestSettings()
		settings.Tier, settings.PollDiscovery = int(seed%2), seed%2 == 0
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		c := &churn{t: t, b: b, seed: seed, rng: rand.New(rand.NewPCG(seed, 9)), servers: servers(6), next: 6,
			host: &churnHost{inFlight: map[string]int{}}}
		c.handle(EndpointUpdate{Complete: true, Servers: c.servers})
		for i := range 10000 {
			c.advance(time.Duration(1+c.rng.IntN(6000)*c.rng.IntN(12)) * millisecond) // about two days in all
			c.addRequests(i)
			c.changeFleet()
		}
		for range 100 {
			c.advance(time.Minute)
		}
		c.checkNoLeaks()
	}
}

// churn drives a Balancer with servers and requests that keep changing.
type churn struct {
	t       *testing.T
	b       *Balancer
	seed    uint64
	rng     *rand.Rand
	now     time.Duration
	servers []Server
	next    int // number of the next new server
	host    *churnHost
}

// drawOutcome draws how long an attempt takes and its outcome.
func (c *churn) drawOutcome(s Send) (time.Duration, Outcome) {
	took := time.Duration(c.rng.ExpFloat64() * float64(150*millisecond))
	switch {
	case took > s.Timeout:
		return s.Timeout, TimedOut
	case c.rng.IntN(5) == 0:
		return took, Outcome(1 + c.rng.IntN(int(NotSent)))
	}
	return took, Success
}

// handle gives the Balancer an event and compares its counts with those of the host.
func (c *churn) handle(e Event) {
	c.t.Helper()
	c.host.apply(c.now, c.b, c.b.Handle(c.now, e), c.drawOutcome)
	if difference := c.host.difference(c.b); difference != "" {
		c.t.Fatalf("seed %d at %v after %T%+v: %s", c.seed, c.now, e, e, difference)
	}
}

// advance moves the clock on, fires the timers that are due and ends the attempts that are due.
func (c *churn) advance(step time.Duration) {
	c.now += step
	for _, w := range takeDue(&c.host.timers, func(w SetTimer) bool { return w.At <= c.now }) {
		c.handle(TimerFired{Token: w.Token})
	}
	for _, d := range takeDue(&c.host.pending, func(d pendingOutcome) bool { return d.at <= c.now }) {
		if c.host.inFlight[d.event.Server]--; c.host.inFlight[d.event.Server] == 0 {
			delete(c.host.inFlight, d.event.Server)
		}
		c.handle(d.event)
	}
}

// addRequests gives the Balancer one to three requests. Some of their clients disconnect immediately.
func (c *churn) addRequests(step int) {
	classes := c.b.settings.Classes
	for k := range 1 + c.rng.IntN(3) {
		id := fmt.Sprintf("%d.%d", step, k)
		c.handle(Request{ID: id, Class: classes[c.rng.IntN(len(classes))].Name, Key: c.rng.Uint64(), HasKey: true,
			ClientRetry: c.rng.IntN(4) == 0, Deadline: c.now + time.Duration(c.rng.Int64N(int64(time.Hour)))>>c.rng.IntN(40)})
		if c.rng.IntN(10) == 0 {
			c.handle(ClientGone{ID: id})
		}
	}
}

// changeFleet occasionally changes one server.
func (c *churn) changeFleet() {
	switch s := &c.servers[c.rng.IntN(len(c.servers))]; c.rng.IntN(40) {
	case 0: // replaced by another machine
		removed := *s
		removed.State = Removed
		c.handle(EndpointUpdate{Servers: []Server{removed}})
		*s = Server{ID: fmt.Sprint("n", c.next), Zone: removed.Zone, StartTime: c.now}
		c.next++
		c.handle(EndpointUpdate{Servers: []Server{*s}})
	case 1: // restarted
		s.State, s.StartTime = Ready, c.now
		c.handle(EndpointUpdate{Servers: []Server{*s}})
	case 2:
		s.State = Draining
		c.handle(EndpointUpdate{Servers: []Server{*s}})
	case 3: // ready again without a restart
		s.State = Ready
		c.handle(EndpointUpdate{Complete: true, Servers: c.servers})
	case 4:
		c.handle(WatchFailed{})
	}
}

// checkNoLeaks checks that no state is left, and that what was learned is within bounds.
func (c *churn) checkNoLeaks() {
	c.t.Helper()
	b, t := c.b, c.t
	if len(b.requests) > 0 || len(b.keyQueues) > 0 || len(b.servers) > len(c.servers) {
		t.Errorf("seed %d: %d requests, %d key queues, %d servers are left", c.seed, len(b.requests), len(b.keyQueues), len(b.servers))
	}
	for _, s := range b.servers {
		if s.inFlightCount() != 0 || s.ejectionLevel > maxBackoffLevel || s.consecutiveRejections > maxBackoffLevel || s.capacityLimit < 0 {
			t.Errorf("seed %d: %+v", c.seed, s)
		}
	}
	for _, p := range b.pools {
		for _, v := range []float64{p.window, p.loadRatio, p.unloadedRatio, p.peakInFlight, p.floorServers, p.shedShare,
			p.crossZoneShare, p.preferredLogLatency, p.otherLogLatency, b.retryBalance, b.errorRate} {
			if math.IsNaN(v) || math.Abs(v) > 1000 {
				t.Errorf("seed %d: %+v", c.seed, p)
			}
		}
		if p.inFlight != 0 || len(p.queued) > 0 {
			t.Errorf("seed %d: %d in flight, %d queued", c.seed, p.inFlight, len(p.queued))
		}
	}
	if c.host.maxTimers > 100 || len(c.host.timers) > 1 { // the one left is the next poll of discovery
		t.Errorf("seed %d: up to %d timers at the same time, %d at the end", c.seed, c.host.maxTimers, len(c.host.timers))
	}
	if c.now < 36*time.Hour {
		t.Errorf("only %v of clock time have passed", c.now)
	}
}
