// Package simulation runs a scenario in virtual time. An event queue drives one instance of the decision module for
// each node, together with simulated servers, clients, network and discovery, in a single goroutine. Instances share
// nothing. The same scenario and seed give the same report, byte for byte.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/eventq"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

const (
	// endMargin is how long a world runs beyond its length plus twice the longest deadline. By then every try has
	// ended, answered or not.
	endMargin = 5 * time.Second

	// progressEvents is how many events pass between two calls of the progress function.
	progressEvents = 1 << 16

	// historyLag is how late a server may observe an action of a node: the latency of a few network hops.
	historyLag = 10 * time.Millisecond
)

// NewDecider creates the decider of a node: policies.New, or in tests of the checker a decider that breaks a rule.
type NewDecider func(name string, settings balancer.Settings, seed uint64, inFlight policies.InFlight) (policies.Decider, error)

// World is a running scenario.
type World struct {
	scenario   *scenario.Scenario
	newDecider NewDecider
	checker    *checker.Checker
	score      *score.Score
	queue      eventq.Queue[func()]
	now        time.Duration

	arrivals   *model.Arrivals
	rng        *rand.Rand // network and errors, in the order of events
	servers    [][]*server
	byID       map[string]*server
	ingress    *ingress
	discovery  *discovery
	heavyTails []heavyTail // by class
	retryStorm float64     // magnitude; 1: no retry storm
	lastID     uint64
	events     uint64
	err        error

	Record *blackbox.Recorder // records events that are visible from outside; nil: no recording
}

// heavyTail multiplies the work of a share of a class's requests by a factor.
type heavyTail struct{ factor, share float64 }

// New returns the world of a scenario in its initial state.
func New(s *scenario.Scenario, newDecider NewDecider) (*World, error) {
	w := &World{scenario: s, newDecider: newDecider, checker: checker.New(s), score: score.New(s), rng: model.Stream(s.Seed, "world", 0),
		byID: map[string]*server{}, heavyTails: make([]heavyTail, len(s.Classes)), retryStorm: 1}
	var err error
	if w.arrivals, err = model.NewArrivals(s); err != nil {
		return nil, err
	}
	w.addServers()
	w.discovery = newDiscovery(w)
	w.ingress = newIngress(w)
	w.addServerNodes()
	changes, err := model.WorldChanges(s)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		w.at(c.At, func() { w.applyChange(c) })
	}
	return w, nil
}

// at schedules do for a time, or for now if that time has passed.
func (w *World) at(at time.Duration, do func()) { w.queue.Push(max(at, w.now), do) }

// after schedules do for the time when wait has passed.
func (w *World) after(wait time.Duration, do func()) { w.queue.Push(w.now+max(wait, 0), do) }

// jitter draws a network latency around a mean.
func (w *World) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + w.scenario.Network.Jitter*(2*w.rng.Float64()-1)))
}

// Run runs the world to its end. If progress is not nil, it is called with the virtual time every progressEvents
// events.
func (w *World) Run(progress func(now time.Duration)) (*score.Score, *checker.Checker, error) {
	w.eachNode((*node).start)
	if n := w.scenario.Clients.ClosedLoop; n > 0 {
		for range n {
			w.startClosedLoop()
		}
	} else {
		w.nextArrival()
	}
	end := w.scenario.Length + 2*model.LongestDeadline(w.scenario) + endMargin
	for w.queue.Len() > 0 && w.err == nil {
		at, do := w.queue.Pop()
		if at > end {
			break
		}
		w.now = at
		w.events++
		do()
		if progress != nil && w.events%progressEvents == 0 {
			progress(w.now)
		}
	}
	w.checker.Finish(end)
	w.record(blackbox.Event{At: end, Kind: blackbox.HistoryEnded})
	w.score.Events = w.events
	return w.score, w.checker, w.err
}

// Head returns the header of a history of this world.
func (w *World) Head() blackbox.Header {
	h := blackbox.NewHeader(w.scenario, historyLag)
	for id, s := range w.byID {
		h.Kinds[id] = *s.Kind
	}
	return h
}

// record records an event. An event without a time gets the current time.
func (w *World) record(e blackbox.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.Record.Record(e)
}

// eachNode calls do for each node: first the ingress nodes, then those of the servers.
func (w *World) eachNode(do func(*node)) {
	for _, n := range w.ingress.nodes {
		do(n)
	}
	for _, tier := range w.servers {
		for _, s := range tier {
			if s.node != nil {
				do(s.node)
			}
		}
	}
}

// newID returns a new request ID.
func (w *World) newID() string {
	w.lastID++
	return fmt.Sprintf("r%d", w.lastID)
}

// inFlight returns the number of requests in a server's slots and queue. The oracle policy uses it.
func (w *World) inFlight(id string) int { return w.byID[id].InFlight() }
