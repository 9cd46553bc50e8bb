package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Half of the servers leave. The remaining ones must not get the attempts of all: the window shrinks with the
// list and grows again only with answers.
func TestWindowShrinksWithTheEndpointList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(20)})
	b.pools[0].window = 100
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(10)})
	if b.pools[0].window != 50 {
		t.Errorf("window %v after half of the servers left, want 50", b.pools[0].window)
	}
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(20)})
	if b.pools[0].window != 50 {
		t.Errorf("window %v after the list grew, want 50: it grows only with answers", b.pools[0].window)
	}
}

// Servers that are added in a surge of traffic depend on deeper tiers that did not grow. Late answers must
// not meet a floor of the window that grew with the list; quick answers must raise it.
func TestWindowFloorGrowsWithAnswersNotWithTheEndpointList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(40)})
	now := millisecond
	answers := func(n int, after time.Duration) {
		for i := range n {
			id := fmt.Sprint(now, i)
			sent := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*millisecond}))
			b.pools[0].inFlight += 1000 // the window is fully used
			for _, s := range sent {
				endAttempt(b, now+after, id, s, Success)
			}
			b.pools[0].inFlight -= 1000
			now += after
		}
	}
	answers(300, 490*millisecond)
	if floor := minWindowPerServer * 2.0; math.Abs(b.pools[0].window-floor) > 0.5 {
		t.Errorf("window %v after late answers, want the floor of the 4 servers it knew, %v", b.pools[0].window, floor)
	}
	before := b.pools[0].floorServers
	answers(300, 5*millisecond)
	if b.pools[0].floorServers <= before || b.pools[0].floorServers > b.pools[0].serversPerReplica {
		t.Errorf("floorServers %v after quick answers, %v before", b.pools[0].floorServers, before)
	}
}

// In an overload answers are late: the window must shrink, but never below its floor. With quick answers it
// must grow.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * millisecond, false}, {40 * millisecond, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		start, now := b.pools[0].window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * millisecond
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sentAt+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(endAttempt(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.pools[0].window > start; grew != tc.grow && tc.grow || b.pools[0].window < minWindowPerServer*b.pools[0].serversPerReplica {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.pools[0].window, start)
		}
		if !tc.grow && b.pools[0].window > minWindowPerServer*b.pools[0].serversPerReplica+1 {
			t.Errorf("late answers left the window at %.1f", b.pools[0].window)
		}
	}
}

// After a quiet time, servers with spare capacity must not have requests rejected for half a minute while a
// full window grows slowly. Near the target the window must grow slowly, or it overshoots.
func TestWindowGrowsInProportionToTheDistanceFromTheTarget(t *testing.T) {
	grown := func(loadRatio float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(4)})
		p := b.pools[0]
		p.window, p.loadRatio, p.shedShare = 20, loadRatio, maxUnloadedShedShare
		sent := time.Duration(float64(b.settings.Classes[0].LatencyObjective) * loadRatio)
		r := &request{class: b.classes["get"], attempts: []*attempt{{sentAt: time.Second - sent}}}
		b.now = time.Second
		for range 40 {
			p.inFlight = int(p.window) // fully used
			b.adjustWindow(r, AttemptEnded{Outcome: Success})
		}
		return p.window - 20
	}
	if far, near := grown(0.2*targetLoadRatio), grown(0.98*targetLoadRatio); far < 20 || near > 2 || near <= 0 {
		t.Errorf("40 answers grew a window of 20 by %.1f far from the target, want 20 or more, "+
			"and by %.1f near it, want little", far, near)
	}
}

// Work that takes half of the latency objective while no load is shed is not an overload, and the window must
// not fall because of it. The same latency after quicker answers is an overload, and so is a latency near the
// whole objective.
func TestUnloadedLatencyIsNotTreatedAsOverload(t *testing.T) {
	for _, tc := range []struct {
		name        string
		before, now float64 // latency over the objective
		falls       bool
	}{{"slow from the start", 0.55, 0.55, false}, {"slow because of an overload", 0.2, 0.55, true}, {"near the objective", 0.8, 0.8, true}} {
		b := newBalancer(t, nil)
		b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(4)})
		p, objective := b.pools[0], float64(b.settings.Classes[0].LatencyObjective)
		p.window = 60
		answers := func(latencyRatio float64) {
			r := &request{class: b.classes["get"], attempts: []*attempt{{sentAt: 0}}}
			b.now = time.Duration(latencyRatio * objective)
			for range 200 {
				b.adjustWindow(r, AttemptEnded{Outcome: Success})
			}
		}
		answers(tc.before)
		p.window, p.shedShare = 60, 0.2
		if answers(tc.now); p.window < 60 != tc.falls {
			t.Errorf("%s: window from 60 to %.1f", tc.name, p.window)
		}
	}
}

// While load is shed, quick answers must not lower the target of the load ratio. With a target below the time
// that the work takes by itself, the window could only fall, which would continue the shedding that lowered
// the target.
func TestSheddingDoesNotLowerTheTarget(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	p := b.pools[0]
	p.window, p.loadRatio = 100, 0.4
	for i := range 50 {
		p.shedShare = 0.8
		b.now = time.Second
		p.inFlight = int(p.window)
		took := 340 * millisecond // of an objective of 500: some servers are slower than others
		if i%2 == 0 {
			took = 60 * millisecond
		}
		a := &attempt{server: p.inService[i%10], sentAt: b.now - took}
		a.request = &request{class: b.classes["get"], attempts: []*attempt{a}}
		b.recordOutcome(a, AttemptEnded{Outcome: Success})
		b.adjustWindow(a.request, AttemptEnded{Outcome: Success})
	}
	if p.window <= 100 {
		t.Errorf("window from 100 to %.1f while answers took 0.4 of the objective on average", p.window)
	}
}

// Many replicas have windows of one and a half attempts. When answers are late, they must not all round up
// and admit two: together that is a third more than the servers can take.
func TestFallingWindowIsRoundedAtRandom(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 40 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(12)}) // a floor of 1.5 attempts
	p, closed := b.pools[0], 0
	fullAfter := func(loadRatio float64, e Outcome) bool {
		p.window, p.loadRatio, p.inFlight = 1.5, loadRatio, 1
		b.adjustWindow(&request{class: b.classes["get"], attempts: []*attempt{{}}}, AttemptEnded{Outcome: e})
		return b.windowFull(p)
	}
	for range 400 {
		if fullAfter(1, TimedOut) {
			closed++
		}
	}
	if closed < 160 || closed > 240 {
		t.Errorf("full at one attempt %d times in 400, want about half", closed)
	}
	if fullAfter(0, Success) {
		t.Error("a window that does not fall must be rounded up")
	}
}

// Two pools overlap. If both counted a shared server in the floors of their windows, it would be sent twice
// what it can take.
func TestOverlappingPoolsCountSharedServersOnce(t *testing.T) {
	b, _ := newBalancerWithRestrictedClass(t, 12)
	unrestricted, restricted := b.classes["get"].pool, b.classes["post"].pool
	if restricted.serversPerReplica != 2 || unrestricted.serversPerReplica != 4 {
		t.Errorf("12 servers for 2 replicas: %v per replica in the restricted pool, %v in the unrestricted one; want 2 and 4", restricted.serversPerReplica, unrestricted.serversPerReplica)
	}
}

// Clients that disconnect early and retry make an overload worse if their places in the window become free
// immediately: servers still work on their attempts. These attempts count in the window until each of them
// has its outcome.
func TestAttemptsOfDisconnectedClientsCountInTheWindow(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 5 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	b.pools[0].window = 4
	var sent []Send
	for i := range 40 {
		id := fmt.Sprint(i)
		sent = append(sent, sends(b.Handle(millisecond, Request{ID: id, Class: "get", Deadline: time.Second}))...)
		if acts := b.Handle(millisecond, ClientGone{ID: id}); len(acts) > 0 {
			t.Fatalf("%v after a client disconnected", acts)
		}
	}
	if len(sent) != 4 {
		t.Fatalf("%d attempts in flight in a window of 4", len(sent))
	}
	b.Handle(100*millisecond, AttemptEnded{ID: sent[0].ID, Server: sent[0].Server, Outcome: Success, RequestDone: true})
	if got := sends(b.Handle(100*millisecond, Request{ID: "next", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("%d attempts sent after an outcome has freed a place, want 1", len(got))
	}
}

// A few clients that send or read slowly must not fill the window. An attempt with a streamed body never
// counts in it, and one with a streamed response only until the response begins. Its end does not free a
// place twice, and its latency is what the host measured.
func TestStreamedMessagesDoNotCountInTheWindow(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, completeList(4))
	p := b.pools[0]
	up := newRequest("up", "pay", 0, time.Second)
	up.StreamedBody = true
	first := sends(b.Handle(0, up))
	second := sends(b.Handle(0, newRequest("down", "pay", 0, time.Second)))
	if p.inFlight != 1 {
		t.Fatalf("%d attempts count in the window, want 1: a streamed body does not count", p.inFlight)
	}
	b.Handle(10*millisecond, ResponseStarted{ID: "down"})
	b = restoreFromCheckpoint(t, b.settings, b)
	p = b.pools[0]
	for i, id := range []string{"up", "down"} {
		if calls := b.servers[[]string{first[0].Server, second[0].Server}[i]].inFlightCount(); p.inFlight != 0 || calls == 0 {
			t.Fatalf("%d attempts count in the window, %d are in flight at the server", p.inFlight, calls)
		}
		b.Handle(time.Minute, AttemptEnded{ID: id, Server: "s", Outcome: Success, Latency: 20 * millisecond, RequestDone: true})
	}
	if p.inFlight != 0 || b.classes["pay"].meanLatency > float64(time.Second) {
		t.Errorf("%d in flight, mean latency %v", p.inFlight, time.Duration(b.classes["pay"].meanLatency))
	}
}
