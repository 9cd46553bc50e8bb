package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// expectedState is what a host knows of the attempts that are out, by server and in all.
type expectedState struct {
	inFlight  map[string]int
	timers    []SetTimer
	due       []pendingOutcome
	maxTimers int // timers at once
}

// apply notes what the module wants; draw gives an attempt its outcome.
func (h *expectedState) apply(now time.Duration, b *Balancer, acts []Action, draw func(Send) (time.Duration, Outcome)) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.inFlight[a.Server]++
			took, how := draw(a)
			n := len(b.requests[a.ID].attempts) - 1
			h.due = append(h.due, pendingOutcome{now + took, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: how, RequestDone: how == Success}})
		case SetTimer:
			h.timers = append(h.timers, a)
			h.maxTimers = max(h.maxTimers, len(h.timers))
		}
	}
}

// difference says where the module's count of its own attempts is not that of the attempts truly out.
func (h *expectedState) difference(b *Balancer) string {
	for id, n := range h.inFlight {
		if s := b.servers[id]; n < 0 || s == nil && n > 0 || s != nil && s.inFlightCount() != n {
			return fmt.Sprintf("%s: %d attempts are out, the module has %+v", id, n, s)
		}
	}
	all := 0
	for _, p := range b.pools {
		if p.inFlight < 0 {
			return fmt.Sprintf("%d in flight", p.inFlight)
		}
		all += p.inFlight
	}
	for id, s := range b.servers {
		if s.inFlightCount() > 0 && h.inFlight[id] == 0 {
			return fmt.Sprintf("%s: none is out, the module has %d", id, s.inFlightCount())
		}
	}
	for _, n := range h.inFlight {
		all -= n
	}
	if all != 0 {
		return fmt.Sprintf("the pools have %d more in flight than there are", all)
	}
	return ""
}

// Days go by in which servers, IDs and keys keep changing, servers leave with attempts out, come back,
// restart and drain, clients leave and give odd deadlines. A node that leaked a little with each would die
// within weeks. After every event the own attempts in flight are those that are truly out; in the end
// nothing is kept, and no timer or counter has grown.
func TestChurnLeavesNothingBehind(t *testing.T) {
	for seed := range uint64(2) {
		settings := randomTestSettings()
		settings.Tier, settings.PollDiscovery = int(seed%2), seed%2 == 0
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		c := &churn{t: t, b: b, seed: seed, rng: rand.New(rand.NewPCG(seed, 9)), fleet: servers(6), next: 6,
			host: &expectedState{inFlight: map[string]int{}}}
		c.give(EndpointUpdate{Complete: true, Servers: c.fleet})
		for i := range 10000 {
			c.pass(time.Duration(1+c.rng.IntN(6000)*c.rng.IntN(12)) * millisecond) // about two days in all
			c.ask(i)
			c.changeFleet()
		}
		for range 100 {
			c.pass(time.Minute)
		}
		c.checkNothingLeft()
	}
}

// churn is a host whose servers and requests keep changing.
type churn struct {
	t     *testing.T
	b     *Balancer
	seed  uint64
	rng   *rand.Rand
	now   time.Duration
	fleet []Server
	next  int // number of the next new server
	host  *expectedState
}

// draw draws how long an attempt takes and its outcome.
func (c *churn) draw(s Send) (time.Duration, Outcome) {
	took := time.Duration(c.rng.ExpFloat64() * float64(150*millisecond))
	switch {
	case took > s.Timeout:
		return s.Timeout, TimedOut
	case c.rng.IntN(5) == 0:
		return took, Outcome(1 + c.rng.IntN(int(NotSent)))
	}
	return took, Success
}

// give gives the Balancer an event and compares its counts with the host's.
func (c *churn) give(e Event) {
	c.t.Helper()
	c.host.apply(c.now, c.b, c.b.Handle(c.now, e), c.draw)
	if difference := c.host.difference(c.b); difference != "" {
		c.t.Fatalf("seed %d at %v after %T%+v: %s", c.seed, c.now, e, e, difference)
	}
}

// pass lets time go by, in which timers fire and attempts end.
func (c *churn) pass(step time.Duration) {
	c.now += step
	for _, w := range takeDue(&c.host.timers, func(w SetTimer) bool { return w.At <= c.now }) {
		c.give(TimerFired{Token: w.Token})
	}
	for _, d := range takeDue(&c.host.due, func(d pendingOutcome) bool { return d.at <= c.now }) {
		if c.host.inFlight[d.event.Server]--; c.host.inFlight[d.event.Server] == 0 {
			delete(c.host.inFlight, d.event.Server)
		}
		c.give(d.event)
	}
}

// ask gives some requests, of which some clients leave at once.
func (c *churn) ask(step int) {
	classes := c.b.settings.Classes
	for k := range 1 + c.rng.IntN(3) {
		id := fmt.Sprintf("%d.%d", step, k)
		c.give(Request{ID: id, Class: classes[c.rng.IntN(len(classes))].Name, Key: c.rng.Uint64(), HasKey: true,
			ClientRetry: c.rng.IntN(4) == 0, Deadline: c.now + time.Duration(c.rng.Int64N(int64(time.Hour)))>>c.rng.IntN(40)})
		if c.rng.IntN(10) == 0 {
			c.give(ClientGone{ID: id})
		}
	}
}

// changeFleet changes one server now and then.
func (c *churn) changeFleet() {
	switch s := &c.fleet[c.rng.IntN(len(c.fleet))]; c.rng.IntN(40) {
	case 0: // another machine in its place
		gone := *s
		gone.State = Removed
		c.give(EndpointUpdate{Servers: []Server{gone}})
		*s = Server{ID: fmt.Sprint("n", c.next), Zone: gone.Zone, StartTime: c.now}
		c.next++
		c.give(EndpointUpdate{Servers: []Server{*s}})
	case 1: // a new process
		s.State, s.StartTime = Ready, c.now
		c.give(EndpointUpdate{Servers: []Server{*s}})
	case 2:
		s.State = Draining
		c.give(EndpointUpdate{Servers: []Server{*s}})
	case 3: // back, as it was
		s.State = Ready
		c.give(EndpointUpdate{Complete: true, Servers: c.fleet})
	case 4:
		c.give(WatchFailed{})
	}
}

// checkNothingLeft checks that nothing of all that is kept, and that what was learned is within bounds.
func (c *churn) checkNothingLeft() {
	c.t.Helper()
	b, t := c.b, c.t
	if len(b.requests) > 0 || len(b.keyQueues) > 0 || len(b.servers) > len(c.fleet) {
		t.Errorf("seed %d: %d requests, %d key queues, %d servers are kept", c.seed, len(b.requests), len(b.keyQueues), len(b.servers))
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
	if c.host.maxTimers > 100 || len(c.host.timers) > 1 { // the next poll of discovery
		t.Errorf("seed %d: %d timers at once, %d in the end", c.seed, c.host.maxTimers, len(c.host.timers))
	}
	if c.now < 36*time.Hour {
		t.Errorf("only %v have passed", c.now)
	}
}
