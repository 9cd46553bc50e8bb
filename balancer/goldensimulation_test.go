package balancer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// goldenSettings sets every field, and uses every effect and scope.
func goldenSettings() Settings {
	objective, deadline := 500*millisecond, 1500*millisecond
	prefix := netip.MustParsePrefix
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, DedupScope: ScopeAll, LatencyObjective: objective, Deadline: deadline, LateCredit: 0.25, PriorityWeight: 1},
			{Name: "post", Effect: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 900 * millisecond, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 3},
			{Name: "watch", Effect: Idempotent, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1, Stream: true},
			{Name: "order", Effect: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 900 * millisecond, OrderedByKey: true, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1,
				AllowedZones: []string{"z"}, AllowedKinds: []string{"large", "small"}},
			{Name: "remote", Effect: Idempotent, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1, AllowedZones: []string{"far"}},
		},
		Replicas: 2, ReplicaIndex: 1, Zone: "z", TotalValueWeight: 0.6, WorstClassWeight: 0.3, ClientsMarkRetries: true,
		MaxAttempts: 5, PollDiscovery: true, MaxPollInterval: 10 * time.Second, TimerTolerance: 2 * millisecond, MaxRetryAfter: 2 * time.Second,
		KeyQuietPeriod: 30 * millisecond, SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
		FaultInjections: []FaultInjection{{Name: "refuse", Class: "post", Percent: 50, AbortStatus: 503, Duration: time.Second},
			{Name: "stall", Class: "get", Percent: 30, Delay: 80 * millisecond, Duration: time.Minute}},
		AccessList: &AccessList{Allow: []netip.Prefix{prefix("10.0.0.0/8"), prefix("2001:db8::/32")},
			Deny: []netip.Prefix{prefix("10.9.0.0/16")}, TrustedProxies: []netip.Prefix{prefix("192.0.2.1/32")}},
	}
}

// goldenSimulation is a Balancer with its host, which ends attempts when they are due.
type goldenSimulation struct {
	*Balancer
	rng          *rand.Rand
	timers       []SetTimer
	pending      []pendingOutcome
	requestCount int
}

// handle gives the Balancer an event and draws the outcomes of the attempts that it sends.
func (g *goldenSimulation) handle(e Event) {
	for _, a := range g.Handle(g.now, e) {
		switch a := a.(type) {
		case SetTimer:
			g.timers = append(g.timers, a)
		case Send:
			o := AttemptEnded{ID: a.ID, Attempt: len(g.requests[a.ID].attempts) - 1, Server: a.Server}
			took := time.Duration(60+g.rng.IntN(250)) * millisecond
			if g.servers[a.Server].Zone == g.settings.Zone {
				took *= 3 // servers of the same zone are the slowest, so that some requests cross zones
			}
			switch {
			case a.Server == "s1":
				o.Outcome = ConnectionLost
			case a.Server == "s5" && g.rng.IntN(3) == 0:
				o.Outcome = Overloaded
			case g.rng.IntN(20) == 0:
				took = time.Minute // its server hangs
			}
			if took > a.Timeout {
				took, o.Outcome = a.Timeout, TimedOut
			}
			o.RequestDone, o.Latency = o.Outcome == Success, took
			g.pending = append(g.pending, pendingOutcome{g.now + took, o})
		}
	}
}

// advance moves the clock on, fires the timers that are due and ends the attempts that are due.
func (g *goldenSimulation) advance(step time.Duration) {
	g.now += step
	for _, w := range takeDue(&g.timers, func(w SetTimer) bool { return w.At <= g.now }) {
		g.handle(TimerFired{Token: w.Token})
	}
	for _, d := range takeDue(&g.pending, func(d pendingOutcome) bool { return d.at <= g.now }) {
		g.handle(d.event)
	}
}

// endAttempts ends the selected attempts in flight early, with the given outcome.
func (g *goldenSimulation) endAttempts(outcome Outcome, selected func(*attempt) bool) {
	for _, d := range takeDue(&g.pending, func(d pendingOutcome) bool { return selected(g.requests[d.event.ID].attempts[d.event.Attempt]) }) {
		d.event.Outcome, d.event.RequestDone = outcome, false
		g.handle(d.event)
	}
}

// request gives the Balancer a request. Every fifth request has a byte in its ID that is not valid UTF-8.
func (g *goldenSimulation) request(class string, r Request) {
	g.requestCount++
	r.ID, r.Class, r.SettingsVersion = fmt.Sprint("r", g.requestCount), class, g.settingsVersion
	if g.requestCount%5 == 0 {
		r.ID += "\xff"
	}
	r.Deadline, r.Client = g.now+1500*millisecond, netip.MustParseAddr("10.1.2.3")
	g.handle(r)
	if class == "watch" && g.requests[r.ID] != nil {
		g.handle(ResponseStarted{ID: r.ID})
	}
}

// overload gives the Balancer n requests of random classes, more than the servers can serve.
func (g *goldenSimulation) overload(n int, interval time.Duration) {
	for range n {
		g.advance(interval)
		class := g.settings.Classes[g.rng.IntN(len(g.settings.Classes))].Name
		g.request(class, Request{Key: 1 + g.rng.Uint64N(3), HasKey: true, ClientRetry: g.rng.IntN(6) == 0, StreamedBody: g.rng.IntN(8) == 0})
	}
}

// goldenBusyBalancer returns a Balancer whose state has everything that a checkpoint can contain, except for
// the two parts that goldenStoppingBalancer adds.
func goldenBusyBalancer(t *testing.T) *goldenSimulation {
	t.Helper()
	b, err := New(goldenSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &goldenSimulation{Balancer: b, rng: rand.New(rand.NewPCG(7, 1))}
	g.now = time.Hour
	var list []Server
	for i := range 9 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: []string{"z", "y"}[i/6], Kind: []string{"large", "small"}[i%2],
			Cell: i % 3, StartTime: time.Duration(i%2) * 59 * time.Minute})
	}
	list = append(list, Server{ID: "far", Zone: "far", Kind: "large"}, Server{ID: "old", Zone: "z", Kind: "old", State: Draining})
	g.handle(EndpointUpdate{Complete: true, Cached: true, Servers: list})
	g.handle(EndpointUpdate{Complete: true, Servers: list})
	g.overload(600, 4*millisecond)
	g.handle(AdminOverride{Server: "far", Disabled: true}) // the only server of its zone
	g.handle(AdminOverride{Server: "s3", Disabled: true})
	g.handle(AdminOverride{Server: "s4", Disabled: true})
	g.overload(200, 4*millisecond)
	g.handle(AdminOverride{Server: "s4"})
	set := goldenSettings()
	set.Classes[0].PriorityWeight, set.Classes[3].PriorityWeight, set.Classes[4].AllowedZones = 4, 2, []string{"z", "y"}
	g.handle(SettingsChanged{Settings: set})
	g.handle(StartFaultInjection{Name: "stall"})
	g.overload(30, 4*millisecond)
	removed := list[2]
	removed.State = Removed
	g.overload(100, millisecond)
	g.handle(EndpointUpdate{Servers: []Server{removed}})
	g.endAttempts(Overloaded, func(a *attempt) bool { return a.server.ID == removed.ID })
	g.endAttempts(Overloaded, func(a *attempt) bool { return a.server.ID == "s5" })
	first := true // one request of an ordered class times out, which starts the quiet period of its key
	g.endAttempts(TimedOut, func(a *attempt) bool {
		ends := first && a.request.keyQueue != nil
		first = first && !ends
		return ends
	})
	g.handle(WatchFailed{})
	g.handle(WatchFailed{})
	for _, id := range slices.Sorted(maps.Keys(g.requests)) { // a client with an attempt in flight disconnects
		if r := g.requests[id]; r.hasAttemptInFlight() && !r.streaming {
			g.handle(ClientGone{ID: id})
			break
		}
	}
	return g
}

// goldenStoppingBalancer returns the same Balancer after its lease has expired and its node has begun to shut
// down. In that state no request is queued or delayed by a fault injection.
func goldenStoppingBalancer(t *testing.T) *goldenSimulation {
	t.Helper()
	g := goldenBusyBalancer(t)
	g.handle(LeaseChanged{Expired: true})
	g.handle(ShutdownBegun{AnswerBy: g.now + time.Hour})
	return g
}
