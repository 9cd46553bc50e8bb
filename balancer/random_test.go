package balancer

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"
)

// randomTestFaultInjections delay and abort requests of several classes.
var randomTestFaultInjections = []FaultInjection{
	{Name: "slow", Class: "seq", Percent: 30, Delay: 200 * millisecond, Duration: time.Second},
	{Name: "slower", Class: "pay", Percent: 50, Delay: time.Second, Duration: time.Second},
	{Name: "away", Class: "seq2", Percent: 20, AbortStatus: 503, Duration: time.Second},
	{Name: "odd", Class: "kin", Percent: 100, Delay: 50 * millisecond, Duration: 2 * time.Second},
}

// randomTestSettings adds classes that are ordered by key or restricted to some servers.
func randomTestSettings() Settings {
	set := testSettings()
	set.KeyQuietPeriod = 30 * millisecond
	for _, c := range []Class{
		{Name: "seq", Effect: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 900 * millisecond, OrderedByKey: true, AllowedZones: []string{"z"}},
		{Name: "seq2", Effect: NonIdempotent, OrderedByKey: true},
		{Name: "kin", Effect: Idempotent, AllowedKinds: []string{"k1", "k2"}},
		{Name: "both", Effect: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 300 * millisecond, AllowedKinds: []string{"k1"},
			AllowedZones: []string{"y"}},
		{Name: "none", Effect: Idempotent, AllowedKinds: []string{"k9"}},
	} {
		c.LatencyObjective, c.Deadline, c.PriorityWeight = 500*millisecond, 1500*millisecond, 1
		set.Classes = append(set.Classes, c)
	}
	return set
}

// runRandomEvents gives a Balancer random events, both legal and unexpected ones, and returns all its actions.
func runRandomEvents(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	t.Helper()
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &randomHost{b: b, rng: rand.New(rand.NewPCG(seed, 1)), checker: c, fleet: servers(8), answered: map[string]bool{}}
	for i := range h.fleet {
		h.fleet[i].Kind, h.fleet[i].Zone = fmt.Sprint("k", i%3), []string{"z", "y"}[i/4]
	}
	h.handle(EndpointUpdate{Complete: true, Cached: true, Servers: h.fleet})
	for i := range steps {
		h.now += 2 * millisecond
		h.fireTimers()
		h.endAttempts()
		if i < steps*3/4 && h.rng.IntN(3) == 0 {
			h.sendRequest(fmt.Sprint("r", i))
		}
		if h.rng.IntN(60) == 0 {
			h.changeServer()
		}
		h.sendUnexpectedEvents()
	}
	return h.log, b
}

// randomHost is a host that carries out the actions of a Balancer and draws all other events at random.
type randomHost struct {
	b        *Balancer
	rng      *rand.Rand
	checker  *checker // nil: the invariants are not checked
	now      time.Duration
	fleet    []Server
	inFlight []randomAttempt
	timers   []SetTimer
	ids      []string        // of all requests
	answered map[string]bool // requests that have their final answer
	log      []string        // all actions
}

// randomAttempt is an attempt in flight.
type randomAttempt struct {
	id      string
	number  int
	server  string
	due     time.Duration
	timeout bool
}

// handle gives the Balancer an event and records its actions.
func (h *randomHost) handle(e Event) {
	if h.checker != nil {
		h.checker.checkEvent(h.now, e)
	}
	actions := h.b.Handle(h.now, e)
	if h.checker != nil {
		h.checker.checkActions(h.now, actions)
	}
	for _, a := range actions {
		h.log = append(h.log, fmt.Sprintf("%v %T%v", h.now, a, a))
		switch a := a.(type) {
		case Send:
			h.startAttempt(a)
		case SetTimer:
			h.timers = append(h.timers, a)
		}
	}
}

// startAttempt draws how long an attempt takes, and whether it times out.
func (h *randomHost) startAttempt(a Send) {
	number := 0
	for _, p := range h.inFlight {
		if p.id == a.ID && p.number >= number {
			number = p.number + 1
		}
	}
	if r := h.b.requests[a.ID]; r != nil {
		number = len(r.attempts) - 1
	}
	took := time.Duration(h.rng.ExpFloat64() * float64(120*millisecond))
	attempt := randomAttempt{a.ID, number, a.Server, h.now + took, false}
	if h.rng.IntN(8) == 0 || took > a.Timeout {
		attempt.due, attempt.timeout = h.now+a.Timeout, true
	}
	h.inFlight = append(h.inFlight, attempt)
}

// fireTimers fires the timers that are due, some of them twice.
func (h *randomHost) fireTimers() {
	for k := 0; k < len(h.timers); k++ {
		if timer := h.timers[k]; timer.At <= h.now {
			h.timers = append(h.timers[:k], h.timers[k+1:]...)
			k--
			h.handle(TimerFired{Token: timer.Token})
			if h.rng.IntN(20) == 0 {
				h.handle(TimerFired{Token: timer.Token})
			}
		}
	}
}

// endAttempts ends the attempts that are due, with random outcomes, some of them twice, and makes some clients leave.
func (h *randomHost) endAttempts() {
	for k := 0; k < len(h.inFlight); k++ {
		p := h.inFlight[k]
		if p.due > h.now {
			continue
		}
		h.inFlight = append(h.inFlight[:k], h.inFlight[k+1:]...)
		k--
		e := AttemptEnded{ID: p.id, Attempt: p.number, Server: p.server, Outcome: Success}
		switch {
		case p.timeout:
			e.Outcome = TimedOut
		case h.rng.IntN(3) == 0:
			e.Outcome = Outcome(1 + h.rng.IntN(int(NotSent)))
		}
		if r := h.b.requests[p.id]; e.Outcome == Success || r == nil || r.answered {
			h.answered[p.id] = true
		}
		e.RequestDone = h.answered[p.id]
		h.handle(e)
		if h.rng.IntN(10) == 0 {
			h.handle(e)
		}
		if h.rng.IntN(30) == 0 {
			h.handle(ClientGone{ID: p.id})
			h.answered[p.id] = true
		}
	}
}

// sendRequest gives the Balancer a request of a random class.
func (h *randomHost) sendRequest(id string) {
	class := []string{"get", "post", "pay", "odd", "seq", "seq", "seq2", "kin", "both", "none"}[h.rng.IntN(10)]
	h.ids = append(h.ids, id)
	h.handle(Request{ID: id, Class: class, Deadline: h.now + time.Duration(1+h.rng.IntN(1500))*millisecond,
		Key: h.rng.Uint64N(6), HasKey: h.rng.IntN(4) > 0})
}

// changeServer changes the state of a random server or restarts it, and announces that in one of several ways.
func (h *randomHost) changeServer() {
	s := &h.fleet[h.rng.IntN(len(h.fleet))]
	s.State = ServerState(h.rng.IntN(3))
	if h.rng.IntN(2) == 0 {
		s.State, s.StartTime = Ready, h.now
	}
	switch h.rng.IntN(4) {
	case 0:
		var list []Server
		for _, s := range h.fleet {
			if s.State != Removed {
				list = append(list, s)
			}
		}
		h.handle(EndpointUpdate{Complete: true, Servers: list})
	case 1:
		h.handle(WatchFailed{})
		h.handle(EndpointUpdate{Servers: []Server{*s}})
	default:
		h.handle(EndpointUpdate{Servers: []Server{*s}})
	}
}

// sendUnexpectedEvents starts fault injections, gives events of unknown requests, and makes clients leave at any time.
func (h *randomHost) sendUnexpectedEvents() {
	if faults := h.b.settings.FaultInjections; len(faults) > 0 && h.rng.IntN(100) == 0 {
		h.handle(StartFaultInjection{Name: faults[h.rng.IntN(len(faults))].Name})
	}
	if h.rng.IntN(40) == 0 {
		h.handle(AttemptEnded{ID: "nobody", Attempt: 3, Outcome: Success})
		h.handle(TimerFired{Token: "r:nobody"})
		h.handle(TimerFired{Token: "x"})
		h.handle(ClientGone{ID: "nobody"})
	}
	if h.rng.IntN(50) == 0 && len(h.ids) > 0 {
		id := h.ids[h.rng.IntN(len(h.ids))]
		h.handle(ClientGone{ID: id})
		h.answered[id] = true
	}
}

// Random events, among them repeated ones and events of unknown requests, must violate no invariant. When all requests
// have ended, none of their state may remain.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := randomTestSettings()
		set.Tier = int(seed % 2)
		set.PollDiscovery = seed%4 == 0
		if seed%3 == 0 {
			set.FaultInjections = randomTestFaultInjections
		}
		c := newChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, c)
		for i, s := range c.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions, want at least 1000", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.keyQueues) > 0 {
			t.Errorf("seed %d: %d requests and %d key queues remain", seed, len(b.requests), len(b.keyQueues))
		}
		for i, p := range b.pools {
			if len(p.queued) > 0 || p.inFlight != 0 {
				t.Errorf("seed %d: %d queued requests and %d attempts remain in pool %d", seed, len(p.queued), p.inFlight, i)
			}
		}
		for id, s := range b.servers {
			if !s.listed || s.inFlightCount() != 0 {
				t.Errorf("seed %d: server %s remains: not listed, or with attempts in flight", seed, id)
			}
		}
	}
}

// Changes are checked by replaying captures: the same events and seed must give the same actions, whatever else
// the process does.
func TestSameEventsAndSeedGiveSameActions(t *testing.T) {
	a, _ := runRandomEvents(t, randomTestSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a second Balancer in the process must not affect the first
	other.Handle(0, EndpointUpdate{Complete: true, Servers: servers(3)})
	b, _ := runRandomEvents(t, randomTestSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions, want at least 500", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave different actions")
	}
}

// Map order and hash seeds differ between processes. The actions must not, or a capture could not be replayed. The test
// runs itself in two more processes and compares the actions for the same events.
func TestSameActionsInSeveralProcesses(t *testing.T) {
	log, _ := runRandomEvents(t, randomTestSettings(), 8, 2000, nil)
	own := fmt.Sprintf("actions %x", sha256.Sum256([]byte(strings.Join(log, "\n"))))
	if os.Getenv("BALANCER_TEST_CHILD") != "" {
		fmt.Println(own)
		return
	}
	for range 2 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestSameActionsInSeveralProcesses$")
		cmd.Env = append(os.Environ(), "BALANCER_TEST_CHILD=1")
		out, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		if got := regexp.MustCompile(`actions [0-9a-f]+`).FindString(string(out)); got != own {
			t.Errorf("another process gave %q, this process %q", got, own)
		}
	}
}

// No order of events, and no number in an event, may make the Balancer panic.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), servers(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = ServerState(x % 3)
				b.Handle(now, EndpointUpdate{Complete: x%2 == 0, Servers: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*millisecond})
			case 3:
				b.Handle(now, AttemptEnded{ID: id, Attempt: int(x%4) - 1, Outcome: Outcome(x % 9), RequestDone: x%2 == 0})
			case 4:
				b.Handle(now, TimerFired{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientGone{ID: id})
			case 6:
				b.Handle(now, ResponseStarted{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * millisecond / 4
		}
	})
}
