package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// truth is what a host knows of the attempts that are out, by server and in all.
type expectedState struct {
	out    map[string]int
	timers []SetTimer
	due    []ending
	most   int // timers at once
}

// ending is an outcome to come.
type ending struct {
	at time.Duration
	e  AttemptEnded
}

// take notes what the module wants; draw gives an attempt its ending.
func (h *expectedState) apply(now time.Duration, b *Balancer, acts []Action, draw func(Send) (time.Duration, Outcome)) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.out[a.Server]++
			took, how := draw(a)
			n := len(b.requests[a.ID].attempts) - 1
			h.due = append(h.due, ending{now + took, AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: how, RequestDone: how == Success}})
		case SetTimer:
			h.timers = append(h.timers, a)
			h.most = max(h.most, len(h.timers))
		}
	}
}

// agrees says where the module's count of its own calls is not that of the attempts truly out.
func (h *expectedState) difference(b *Balancer) string {
	for id, n := range h.out {
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
		if s.inFlightCount() > 0 && h.out[id] == 0 {
			return fmt.Sprintf("%s: none is out, the module has %d", id, s.inFlightCount())
		}
	}
	for _, n := range h.out {
		all -= n
	}
	if all != 0 {
		return fmt.Sprintf("the pools have %d more in flight than there are", all)
	}
	return ""
}

// Days go by in which servers, ids and keys keep changing, servers leave with calls out, come back, restart and drain,
// clients leave and give odd budgets. After every event the own calls in flight are those that are truly out; in the end
// nothing is kept, and no timer or counter has grown.
func TestChurnLeavesNothingBehind(t *testing.T) {
	for seed := range uint64(2) {
		set := ruleSettings()
		set.Tier, set.PollDiscovery = int(seed%2), seed%2 == 0
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		rng, h := rand.New(rand.NewPCG(seed, 9)), &expectedState{out: map[string]int{}}
		fleet, next := servers(6), 6
		now := time.Duration(0)
		draw := func(s Send) (time.Duration, Outcome) {
			took := time.Duration(rng.ExpFloat64() * float64(150*msec))
			switch {
			case took > s.Timeout:
				return s.Timeout, TimedOut
			case rng.IntN(5) == 0:
				return took, Outcome(1 + rng.IntN(int(NotSent)))
			}
			return took, Success
		}
		give := func(e Event) {
			h.apply(now, b, b.Handle(now, e), draw)
			if fault := h.difference(b); fault != "" {
				t.Fatalf("seed %d at %v after %T%+v: %s", seed, now, e, e, fault)
			}
		}
		pass := func(step time.Duration) {
			now += step
			for _, w := range takeDue(&h.timers, func(w SetTimer) bool { return w.At <= now }) {
				give(TimerFired{Token: w.Token})
			}
			for _, d := range takeDue(&h.due, func(d ending) bool { return d.at <= now }) {
				if h.out[d.e.Server]--; h.out[d.e.Server] == 0 {
					delete(h.out, d.e.Server)
				}
				give(d.e)
			}
		}
		give(EndpointUpdate{Complete: true, Servers: fleet})
		for i := range 10000 {
			pass(time.Duration(1+rng.IntN(6000)*rng.IntN(12)) * msec) // about two days in all
			for k := range 1 + rng.IntN(3) {
				id := fmt.Sprintf("%d.%d", i, k)
				give(Request{ID: id, Class: set.Classes[rng.IntN(len(set.Classes))].Name, Key: rng.Uint64(), HasKey: true,
					ClientRetry: rng.IntN(4) == 0, Deadline: now + time.Duration(rng.Int64N(int64(time.Hour)))>>rng.IntN(40)})
				if rng.IntN(10) == 0 {
					give(ClientGone{ID: id})
				}
			}
			switch s := &fleet[rng.IntN(len(fleet))]; rng.IntN(40) {
			case 0: // another machine in its place
				gone := *s
				gone.State = Removed
				give(EndpointUpdate{Servers: []Server{gone}})
				*s = Server{ID: fmt.Sprint("n", next), Zone: gone.Zone, StartTime: now}
				next++
				give(EndpointUpdate{Servers: []Server{*s}})
			case 1: // a new process
				s.State, s.StartTime = Ready, now
				give(EndpointUpdate{Servers: []Server{*s}})
			case 2:
				s.State = Draining
				give(EndpointUpdate{Servers: []Server{*s}})
			case 3: // back, as it was
				s.State = Ready
				give(EndpointUpdate{Complete: true, Servers: fleet})
			case 4:
				give(WatchFailed{})
			}
		}
		for range 100 {
			pass(time.Minute)
		}
		if len(b.requests) > 0 || len(b.keyQueues) > 0 || len(b.servers) > len(fleet) {
			t.Errorf("seed %d: %d requests, %d lines, %d servers are kept", seed, len(b.requests), len(b.keyQueues), len(b.servers))
		}
		for _, s := range b.servers {
			if s.inFlightCount() != 0 || s.ejectionLevel > maxBackoffLevel || s.consecutiveRejections > maxBackoffLevel || s.capacityLimit < 0 {
				t.Errorf("seed %d: %+v", seed, s)
			}
		}
		for _, p := range b.pools {
			for _, v := range []float64{p.window, p.loadRatio, p.unloadedRatio, p.peakInFlight, p.floorServers, p.shedShare, p.crossZoneShare, p.preferredLatency, p.otherLatency, b.retryBalance, b.errorRate} {
				if math.IsNaN(v) || math.Abs(v) > 1000 {
					t.Errorf("seed %d: %+v", seed, p)
				}
			}
			if p.inFlight != 0 || len(p.queued) > 0 {
				t.Errorf("seed %d: %d in flight, %d held", seed, p.inFlight, len(p.queued))
			}
		}
		if h.most > 100 || len(h.timers) > 1 { // the next asking of discovery
			t.Errorf("seed %d: %d timers at once, %d in the end", seed, h.most, len(h.timers))
		}
		if now < 36*time.Hour {
			t.Errorf("only %v have passed", now)
		}
	}
}

// taken removes what is due from a list and returns it.
func takeDue[T any](list *[]T, due func(T) bool) (out []T) {
	keep := (*list)[:0:0]
	for _, v := range *list {
		if due(v) {
			out = append(out, v)
		} else {
			keep = append(keep, v)
		}
	}
	*list = keep
	return out
}
