package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, DedupScope: ScopeAll, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 1},
			{Name: "post", Effect: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 900 * msec, LatencyObjective: 500 * msec,
				Deadline: 1500 * msec, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalValueWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, Tick: 2 * msec,
		MaxPollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// wide makes a copy draw from the whole list for some hundred calls, as a busy one does.
func drawFromAll(b *Balancer) { b.pools[0].peakInFlight = 1e9 }

// calling are n calls just sent.
func callsInFlight(n int) (open []*attempt) {
	for range n {
		open = append(open, &attempt{request: &request{class: &class{meanLatency: 1e18}}})
	}
	return open
}

func servers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

func TestPickFromGroups(t *testing.T) {
	mk := func(calls ...int) []*server {
		var l []*server
		for i, c := range calls {
			l = append(l, &server{Server: Server{ID: fmt.Sprint(i, c)}, inFlight: callsInFlight(c)})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*server) float64 {
		got := 0
		for range n {
			s := b.pickFromGroups(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*server
		want        float64
	}{
		{"fewer left", mk(1), mk(2), 1},
		{"fewer right", mk(2), mk(1), 0},
		{"zero beats one", mk(1), mk(0), 0},
		{"nonzero tie goes left", mk(3), mk(3), 1},
		{"zero tie by shares", mk(0, 0, 0), mk(0), 0.75},
		{"left empty", nil, mk(1), 0},
		{"right empty", mk(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pickFromGroups(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pickFromGroups(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

func TestReplicasShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Complete: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.pools[0].ready[i].ID != b.pools[0].ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.pools[0].ready[i].ID, b.pools[0].ready[i].ID)
		}
	}
}

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestQueuedRequestIsAnsweredThoughTimersFireEarly(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// settle answers the single attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id string, s Send, e Outcome) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Server: s.Server, Outcome: e, RequestDone: e == Success})
}

// traffic sends n requests one after another; fate decides how attempts at a server end. It
// returns how many first tries each server got in the second half.
func traffic(b *Balancer, n int, class string, fate func(server string) Outcome) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Server]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Server)
				now += 10 * msec
				again := sends(b.Handle(now, AttemptEnded{ID: id, Attempt: k, Server: s.Server, Outcome: e, RequestDone: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// A server that errs at once drains its count; without ejection it would win every draw.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Outcome{Failure, Unreachable, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
		drawFromAll(b)
		got := traffic(b, 600, "get", func(s string) Outcome {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// In a list so short that its share rounds to nothing, one bad server can still be left out.
// In a chain a stray error is mostly passed on from below: ejecting the server for it takes a sound one's
// capacity away. Some in a row while its peers serve, or a time-out, tell of the server.
func TestOneErrorDoesNotEject(t *testing.T) {
	for _, tc := range []struct {
		endings []Outcome
		ejected bool
	}{{[]Outcome{Failure}, false}, {[]Outcome{ConnectionLost}, false}, {[]Outcome{Failure, Success, Failure}, false},
		{[]Outcome{Failure, Failure, Failure}, true}, {[]Outcome{TimedOut}, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		b.now = 20 * msec // what each call takes
		s, r := b.pools[0].ready[0], &request{class: b.classes["get"]}
		for _, e := range tc.endings {
			for i := range 9 {
				b.recordOutcome(&attempt{request: r, server: b.pools[0].ready[1+i%3]}, AttemptEnded{Outcome: Success})
			}
			b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: e})
		}
		if got := s.ejectedUntil > b.now; got != tc.ejected {
			t.Errorf("after endings %v: ejected %v, want %v", tc.endings, got, tc.ejected)
		}
	}
}

func TestOneOfFourIsEjected(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	got := traffic(b, 600, "get", func(s string) Outcome {
		if s == "s03" {
			return Failure
		}
		return Success
	})
	if got["s03"] > 10 {
		t.Errorf("the bad server got %d of 600 first tries", got["s03"])
	}
}

// When every server fails alike the trouble is below them: nobody may be starved of calls.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	drawFromAll(b)
	got := traffic(b, 800, "get", func(string) Outcome { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A machine gone quiet shows nothing but an old unanswered call while others answer.
func TestUnresponsiveServerIsPassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	drawFromAll(b)
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				stuck++
			} else {
				endAttempt(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// After an ejection the first trial must not be a request that cannot be repeated, while others come.
func TestProbationRequestIsIdempotentWherePossible(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	drawFromAll(b)
	s := b.servers["s03"]
	s.ejectionLevel = 1
	for range 100 {
		s.ejectedUntil = b.now // the ejection has just ended
		traffic(b, 2, "pay", func(string) Outcome { return Success })
		if s.consecutiveSuccesses > 0 {
			t.Fatal("a server on trial got an unsafe request")
		}
	}
	drawFromAll(b)
	if got := traffic(b, 400, "get", func(string) Outcome { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// Below the first tier a server that holds several of our calls is passed over while others idle.
func TestServerOverItsConcurrencyCapIsPassedOver(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(6)})
	drawFromAll(b)
	b.servers["s00"].inFlight, b.pools[0].inFlight = callsInFlight(2), 2
	got := traffic(b, 300, "get", func(string) Outcome { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("draws: %v", got)
	}
}

// The stretches of all copies cover the servers about evenly, each has its share of both groups, and a
// swamped copy reaches every server: else connection tables fill up where many copies call.
func TestSubsetsCoverTheServersEvenly(t *testing.T) {
	drawn := map[string]int{}
	for self := range 60 {
		b := newBalancer(t, func(s *Settings) { s.ReplicaIndex, s.Tier, s.Replicas = self, 1, 60 })
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(80)})
		got := traffic(b, 400, "get", func(string) Outcome { return Success })
		left := 0
		for id := range got {
			drawn[id]++
			if id < "s40" {
				left++
			}
		}
		if len(got) < minSubset || len(got) > minSubset+2 || left*2 != len(got) {
			t.Fatalf("copy %d drew %d servers, %d of them left", self, len(got), left)
		}
		b.pools[0].inFlight = 160
		if got := traffic(b, 4000, "get", func(string) Outcome { return Success }); len(got) < 70 {
			t.Fatalf("swamped copy %d drew only %d servers", self, len(got))
		}
	}
	for _, s := range servers(80) {
		if n := drawn[s.ID]; n < 3 || n > 6 {
			t.Errorf("%s: drawn by %d copies, want 4.5", s.ID, n)
		}
	}
}

// With its whole stretch unable to take a request, a copy draws from the rest of the list.
func TestSubsetWithoutCapacityFallsBackToTheList(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(80)})
	own := traffic(b, 400, "get", func(string) Outcome { return Success })
	for id := range own {
		b.servers[id].capacityLimitUntil, b.servers[id].capacityLimit = time.Hour, 0
	}
	got := traffic(b, 100, "get", func(string) Outcome { return Success })
	for id := range got {
		if own[id] > 0 {
			t.Errorf("%s was drawn though it has no room", id)
		}
	}
	if len(got) < 20 {
		t.Errorf("only %d servers of the rest were drawn", len(got))
	}
}

// When half of the list goes, the rest must not take the calls of all: the window goes with the list.
func TestWindowShrinksWithTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(20)})
	b.pools[0].window = 100
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(10)})
	if b.pools[0].window != 50 {
		t.Errorf("window %v after half of the list went, want 50", b.pools[0].window)
	}
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(20)})
	if b.pools[0].window != 50 {
		t.Errorf("window %v after the list grew, want 50: it grows by answers alone", b.pools[0].window)
	}
}

// A fleet enlarged in a surge stands on tiers below that did not grow: late answers must not find a floor
// that grew with the list, and answers in good time must raise it.
func TestWindowFloorGrowsByAnswersNotByTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(40)})
	now := msec
	answers := func(n int, after time.Duration) {
		for i := range n {
			id := fmt.Sprint(now, i)
			todo := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec}))
			b.pools[0].inFlight += 1000 // a window in full use
			for _, s := range todo {
				endAttempt(b, now+after, id, s, Success)
			}
			b.pools[0].inFlight -= 1000
			now += after
		}
	}
	answers(300, 490*msec)
	if floor := minWindowPerServer * 2.0; math.Abs(b.pools[0].window-floor) > 0.5 {
		t.Errorf("window %v after late answers, want the floor of the 4 servers it knew, %v", b.pools[0].window, floor)
	}
	before := b.pools[0].floorServers
	answers(300, 5*msec)
	if b.pools[0].floorServers <= before || b.pools[0].floorServers > b.pools[0].serversPerReplica {
		t.Errorf("base %v after answers in good time, %v before", b.pools[0].floorServers, before)
	}
}

// In overload the window must shrink, and never under its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		start, now := b.pools[0].window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
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

// Servers far from crowded must not see callers turned away for half a minute while a full window creeps up;
// near the target the window must creep.
func TestWindowGrowsWithTheFreePartOfTheTarget(t *testing.T) {
	grown := func(fill float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(4)})
		p := b.pools[0]
		p.window, p.loadRatio, p.shedShare = 20, fill, maxUnloadedShedShare
		sent := time.Duration(float64(b.settings.Classes[0].LatencyObjective) * fill)
		r := &request{class: b.classes["get"], attempts: []*attempt{{sentAt: time.Second - sent}}}
		b.now = time.Second
		for range 40 {
			p.inFlight = int(p.window) // in full use
			b.adjustWindow(r, AttemptEnded{Outcome: Success})
		}
		return p.window - 20
	}
	if far, near := grown(0.2*targetLoadRatio), grown(0.98*targetLoadRatio); far < 20 || near > 2 || near <= 0 {
		t.Errorf("40 answers grew a window of 20 by %.1f far from the target, want 20 or more, "+
			"and by %.1f near it, want little", far, near)
	}
}

// A copy far down the chain gets few calls a second: what its first answers tell of a class must outweigh the
// guess made from the aim, which is for all tiers together.
func TestFirstAnswersOutweighTheGuess(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 2 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	now := time.Duration(0)
	for i := range 10 {
		id := fmt.Sprint(i)
		s := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		now += 10 * msec
		endAttempt(b, now, id, s[0], Success)
	}
	if c := b.classes["get"]; c.latencyBound(unresponsiveDeviations) > 100*msec {
		t.Errorf("after ten answers of 10 ms each, an answer is overlong only after %v", c.latencyBound(unresponsiveDeviations))
	}
}

// A machine that is cut off takes requests and says nothing. What may be sent again must not wait there until
// its time is up; what must never run twice has nothing else to wait for.
func TestIdempotentAttemptsLeaveTimeForARetry(t *testing.T) {
	for class, early := range map[string]bool{"get": true, "pay": false} {
		b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		now := time.Duration(0)
		send := func(id string) Send {
			return sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second}))[0]
		}
		if s := send("first"); s.Timeout != time.Second {
			t.Errorf("%s: waited for %v on a guess, want to the deadline", class, s.Timeout)
		}
		for i := range 20 {
			s := send(fmt.Sprint(i))
			now += 20 * msec
			endAttempt(b, now, s.ID, s, Success)
		}
		s := send("cut off")
		if got := s.Timeout < 500*msec; got != early {
			t.Fatalf("%s: waited for %v of a second, answers take 20 ms", class, s.Timeout)
		}
		now += s.Timeout
		if next := sends(endAttempt(b, now, s.ID, s, TimedOut)); early && (len(next) != 1 || next[0].Server == s.Server) {
			t.Errorf("%s: %v after the time-out, want one send to another server", class, next)
		}
	}
}

// Work that takes half of the aim with nobody turned away is no crowd; the same latency after quicker answers
// is one, and so is one near the whole aim.
func TestUnloadedLatencyIsNoOverload(t *testing.T) {
	for _, tc := range []struct {
		name        string
		before, now float64 // latency over aim
		falls       bool
	}{{"long from the start", 0.55, 0.55, false}, {"long by a crowd", 0.2, 0.55, true}, {"near the aim", 0.8, 0.8, true}} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(4)})
		p, aim := b.pools[0], float64(b.settings.Classes[0].LatencyObjective)
		p.window = 60
		answers := func(over float64) {
			r := &request{class: b.classes["get"], attempts: []*attempt{{sentAt: 0}}}
			b.now = time.Duration(over * aim)
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

// A refusal tells of a queue at one moment. A server that goes on answering with all the calls that it then had
// must be given more again, or those that never refused take all the load.
func TestCapacityLimitGrowsWithAnswers(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.now = 20 * msec
	s, r := b.pools[0].ready[0], &request{class: b.classes["get"]}
	s.inFlight = callsInFlight(2)
	b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Overloaded})
	if b.capacityLimit(s) != 2 {
		t.Fatalf("room for %d calls after a refusal at 2", b.capacityLimit(s))
	}
	s.inFlight = nil // both are answered, the second with the server idle but for it
	b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Success})
	if b.capacityLimit(s) != 2 {
		t.Errorf("room for %d calls after an answer below the room, want 2", b.capacityLimit(s))
	}
	for n := 1; n < 4; n++ {
		s.inFlight = callsInFlight(n)
		b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Success})
	}
	if got := b.capacityLimit(s); got != 5 {
		t.Errorf("room for %d calls after three answers at the room, want 5", got)
	}
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":  func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":   func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1] (post)": func(s *Settings) { s.Classes[1].DedupWindow = -1 },
		"ColdFrom":          func(s *Settings) { s.SlowStartMinShare = 1.5 },
		"WarmAfter":         func(s *Settings) { s.SlowStartDuration = -1 },
		"LateShare":         func(s *Settings) { s.Classes[0].LateCredit = 2 },
		"Drills[0].Name":    func(s *Settings) { s.FaultInjections = []FaultInjection{{Class: "get", Duration: 1}} },
		"Drills[1].Name":    func(s *Settings) { s.FaultInjections = slices.Repeat(payFault(FaultInjection{}), 2) },
		"Class \"gone\"":    func(s *Settings) { s.FaultInjections = payFault(FaultInjection{Class: "gone"}) },
		"AbortStatus":       func(s *Settings) { s.FaultInjections = payFault(FaultInjection{AbortStatus: 200}) },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// A marked repeat is mostly past its aim already: while there is little room, first tries go first.
func TestFirstTriesGoBeforeClientRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(1)})
	b.pools[0].window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes["get"].LateCredit = 0.5
	b.pools[0].inFlight = int(minWindowPerServer*b.pools[0].serversPerReplica) + 2
	b.pools[0].window = float64(b.pools[0].inFlight) // one comes free by the next answer
	next := sends(endAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// An unmarked repeat shows by a deadline shorter than other tries have.
func TestShortDeadlineMarksAClientRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.arrived != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The repeat's aim of 500 ms ended 100 ms before it came.
	r := b.requests["again"]
	if r == nil || !r.clientRetry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// Where clients mark repeats, a first try with less time than a last one has is still a first try.
func TestRetryMarksOutrankShortDeadlines(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * msec, ClientRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * msec})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.arrived != time.Second {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * msec, ClientRetry: true})
	if r := b.requests["again"]; r == nil || !r.clientRetry || r.arrived != 4900*msec {
		t.Errorf("the marked repeat was not dated back: %+v", r)
	}
}

// In overload every server is missed: the more is shed, the fewer may be ruled out for their health.
func TestSheddingLeavesMoreServersIn(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 1}} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(20)})
		for _, s := range b.pools[0].ready[:10] {
			s.ejectedUntil = time.Minute
		}
		b.pools[0].shedShare = c.shed
		out := 0
		for _, o := range b.excludeOutliers(&request{class: b.classes["get"]}, b.pools[0].ready) {
			if o {
				out++
			}
		}
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// A dead server fills a short list's window with calls that nobody answers, so callers are shed: that must not
// bring it back into the draw.
func TestSheddingKeepsADeadServerOut(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.pools[0].ready[2].ejectedUntil = time.Minute
	b.pools[0].shedShare = 0.6
	if out := b.excludeOutliers(&request{class: b.classes["get"]}, b.pools[0].ready); fmt.Sprint(out) != "[false false true false]" {
		t.Errorf("ruled out %v, want the third alone", out)
	}
}

// Connection tables filled by other copies refuse at once: a server that refused gets no more own
// calls than it had, however many others refuse too, and is tried again later.
func TestRejectingServerGetsNoMoreThanItHad(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(10)})
	drawFromAll(b)
	b.classes["get"].samples = 1 / sampleWeight // its answers took a quarter of the aim until now
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(todo) > 0; try++ {
				end := Success
				if full[todo[0].Server] {
					end = Unreachable
					count++
				}
				now += 2 * msec
				todo = sends(b.Handle(now, AttemptEnded{ID: fmt.Sprint(id), Attempt: try, Server: todo[0].Server,
					Outcome: end, RequestDone: end == Success}))
			}
		}
		return count
	}
	first := refused(20)
	if first < 5 {
		t.Fatalf("only %d refusals, want the full servers found", first)
	}
	if got := refused(20); got > first/2 {
		t.Errorf("%d refusals after %d: full servers are still drawn", got, first)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// Shedding must not lower what admission steers to: under what bare work takes the window could only fall, and
// would keep up the shedding that lowered it.
func TestSheddingDoesNotLowerTheTarget(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	p := b.pools[0]
	p.window, p.loadRatio = 100, 0.4
	for i := range 50 {
		p.shedShare = 0.8
		b.now = time.Second
		p.inFlight = int(p.window)
		took := 340 * msec // of an aim of 500: some servers are slower than others
		if i%2 == 0 {
			took = 60 * msec
		}
		a := &attempt{server: p.ready[i%10], sentAt: b.now - took}
		a.request = &request{class: b.classes["get"], attempts: []*attempt{a}}
		b.recordOutcome(a, AttemptEnded{Outcome: Success})
		b.adjustWindow(a.request, AttemptEnded{Outcome: Success})
	}
	if p.window <= 100 {
		t.Errorf("window from 100 to %.1f while answers took 0.4 of the aim on the whole", p.window)
	}
}

// A refused client is not sent away for long, or it would come back when its aim is mostly over, nor for no
// time, or it would use up its tries on the crowd that it was refused for.
func TestRejectedClientsRetrySoon(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Complete: true, Servers: servers(2)})
	b.pools[0].window, b.pools[0].inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit || f.RetryAfter < limit/2 {
				t.Errorf("RetryAfter %v, want at most %v and at least half of that", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}

// A pool with every server down holds or ends its own requests, and the others go on.
func TestDeadPoolStopsNobodyElse(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].AllowedKinds = []string{"x"} })
	list := servers(6)
	list[0].Kind, list[1].Kind = "x", "x"
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	for i := range 20 {
		id := fmt.Sprint(i)
		todo := sends(b.Handle(0, Request{ID: id, Class: "get", Deadline: time.Second}))
		for k := 0; len(todo) > 0; k++ {
			if s := todo[0].Server; s != "s00" && s != "s01" {
				t.Fatalf("a bound request went to %s", s)
			}
			todo = sends(b.Handle(b.now, AttemptEnded{ID: id, Attempt: k, Server: todo[0].Server, Outcome: Unreachable}))
		}
	}
	b.Handle(msec, EndpointUpdate{Servers: []Server{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sends(b.Handle(2*msec, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d sends though no server is open to the class", n)
	}
	if n := len(sends(b.Handle(2*msec, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d sends of a class that is free to go elsewhere, want 1", n)
	}
}

// The next of a key goes when the one before is over and rested; a hot key turns away who would wait in
// vain and holds up no other key.
func TestKeyKeepsItsOrder(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[2].OrderedByKey, s.KeyQuietPeriod = true, 50*msec })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(6)})
	pay := func(at time.Duration, id string, key uint64) []Action {
		return b.Handle(at, Request{ID: id, Class: "pay", Deadline: 1500 * msec, Key: key, HasKey: true})
	}
	first := sends(pay(0, "a", 1))
	if len(first) != 1 || len(sends(pay(msec, "b", 1))) != 0 || len(sends(pay(msec, "c", 2))) != 1 {
		t.Fatal("want a and c sent, and b held behind a")
	}
	acts := b.Handle(20*msec, AttemptEnded{ID: "a", Server: first[0].Server, Outcome: ConnectionLost})
	if len(sends(acts)) != 0 {
		t.Fatal("b was sent while a may still run")
	}
	if got := sends(b.Handle(70*msec, TimerFired{Token: "k:1"})); len(got) != 1 || got[0].ID != "b" {
		t.Fatalf("after the rest %v was sent, want b", got)
	}
	refused := 0
	for i := range 50 {
		for _, a := range pay(80*msec, fmt.Sprint("hot", i), 1) {
			if _, ok := a.(Reject); ok {
				refused++
			}
		}
	}
	if refused < 40 {
		t.Errorf("%d of 50 were turned away behind a hot key, want most", refused)
	}
}

// Crossing zones has a price: a copy keeps to its own zone while that is as good as the others, spills over
// when it is slower, and comes back.
func TestSameZoneFirstAndCrossZoneByLatency(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Zone = "y" })
	list := servers(12)
	for i := range list {
		list[i].Zone = []string{"y", "z", "x"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	n := 0
	crossed := func(home time.Duration) float64 {
		far, all := 0, 0
		for range 1200 {
			n++
			now, id := b.now+20*msec, fmt.Sprint(n)
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				took := 20 * msec
				if b.servers[s.Server].Zone == "y" {
					took = home
				} else {
					far++
				}
				all++
				endAttempt(b, now+took, id, s, Success)
			}
		}
		return float64(far) / float64(all)
	}
	if got := crossed(20 * msec); got > 0.1 {
		t.Errorf("%.2f crossed though all zones are alike", got)
	}
	if got := crossed(60 * msec); got < 0.4 {
		t.Errorf("%.2f crossed though the own zone is slow", got)
	}
	crossed(20 * msec)
	if got := crossed(20 * msec); got > 0.1 {
		t.Errorf("%.2f crossed after the own zone came back", got)
	}
}

// boundToSlow is a Balancer over n servers of three kinds, the slow one alone open to the class post.
func boundToSlow(t *testing.T, n int) (*Balancer, []Server) {
	b := newBalancer(t, func(s *Settings) { s.Classes[1].AllowedKinds = []string{"slow"} })
	list := servers(n)
	for i := range list {
		list[i].Kind = []string{"slow", "mid", "fast"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	return b, list
}

// A class that may go anywhere leaves the servers that a bound class depends on alone, while it has others.
func TestServersOfANarrowerPoolAreLeftToIt(t *testing.T) {
	b, list := boundToSlow(t, 9)
	bound := 0
	for id, n := range traffic(b, 1000, "get", func(string) Outcome { return Success }) {
		if b.servers[id].Kind == "slow" {
			bound += n
		}
	}
	if bound > 25 {
		t.Errorf("%d of 500 free requests went to the servers of a bound class", bound)
	}
	b.Handle(b.now, EndpointUpdate{Complete: true, Servers: []Server{list[0], list[3]}})
	if n := len(sends(b.Handle(b.now, Request{ID: "x", Class: "get", Deadline: b.now + time.Second}))); n != 1 {
		t.Errorf("%d sends with only those left, want 1", n)
	}
}

// Two pools that overlap must not both count a server in the floors of their windows.
func TestFloorsOfOverlappingPoolsDoNotAddUp(t *testing.T) {
	b, _ := boundToSlow(t, 12)
	free, bound := b.classes["get"].pool, b.classes["post"].pool
	if bound.serversPerReplica != 2 || free.serversPerReplica != 4 {
		t.Errorf("12 servers for 2 copies: %v fair ones for the bound pool, %v for the free one; want 2 and 4", bound.serversPerReplica, free.serversPerReplica)
	}
}

// Clients that leave early and ask again must not make room: their calls run on and fill the window until
// each has its outcome.
func TestAttemptsOfGoneClientsCountInTheWindow(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 5 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	b.pools[0].window = 4
	var sent []Send
	for i := range 40 {
		id := fmt.Sprint(i)
		sent = append(sent, sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))...)
		if acts := b.Handle(msec, ClientGone{ID: id}); len(acts) > 0 {
			t.Fatalf("%v after a client left", acts)
		}
	}
	if len(sent) != 4 {
		t.Fatalf("%d calls out in a window of 4", len(sent))
	}
	b.Handle(100*msec, AttemptEnded{ID: sent[0].ID, Server: sent[0].Server, Outcome: Success, RequestDone: true})
	if got := sends(b.Handle(100*msec, Request{ID: "next", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("%d calls sent when an outcome has made room, want 1", len(got))
	}
}

// Many copies with windows of one and a half calls must not all let two out when answers come late.
func TestFallingWindowIsRoundedByADraw(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 40 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(12)}) // a floor of 1.5 calls
	p, closed := b.pools[0], 0
	ends := func(fill float64, e Outcome) bool {
		p.window, p.loadRatio, p.inFlight = 1.5, fill, 1
		b.adjustWindow(&request{class: b.classes["get"], attempts: []*attempt{{}}}, AttemptEnded{Outcome: e})
		return b.windowFull(p)
	}
	for range 400 {
		if ends(1, TimedOut) {
			closed++
		}
	}
	if closed < 160 || closed > 240 {
		t.Errorf("closed to a second call %d times in 400, want about half", closed)
	}
	if ends(0, Success) {
		t.Error("a window that does not fall must be rounded up")
	}
}

// A multiple under two leaves no room for bursts: a cold server is drawn less often.
func TestSmallOverloadMultipleAdmitsLess(t *testing.T) {
	drawn := map[float64]int{}
	for _, multiple := range []float64{0, 1, 2, 3} {
		b := newBalancer(t, func(s *Settings) { s.SlowStartMinShare, s.OverloadMultiple = 0.5, multiple })
		b.now = 2 * time.Second
		cold := &server{Server: Server{StartTime: 2 * time.Second}}
		for range 2000 {
			if b.slowStartAdmits(cold, 0) {
				drawn[multiple]++
			}
		}
	}
	if n := drawn[1]; n < 400 || n > 600 {
		t.Errorf("drawn %d times in 2000 with a multiple of 1, want about a quarter", n)
	}
	if drawn[0] != drawn[2] || drawn[2] != drawn[3] || drawn[3] < 900 {
		t.Errorf("drawn %v: multiples of two and more, or none, want about half", drawn)
	}
}
