// Package simulation plays a scenario in virtual time: an event queue hosts one instance of the decision module for
// each node, in one process and one goroutine, and the model's boxes, clients, network and discovery round them.
// Instances share nothing. The same scenario and seed give the same report, byte for byte.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// NewDecider makes the instance of a node; policies.New, or a broken one in the auditor's tests.
type NewDecider func(name string, set balancer.Settings, seed uint64, truth policies.InFlight) (policies.Decider, error)

// World is a scenario being played.
type World struct {
	scenario   *scenario.Scenario
	newDecider NewDecider
	checker    *checker.Checker
	score      *score.Score
	queue      eventq.Queue[func()]
	now        time.Duration

	arrivals   *model.Arrivals
	rng        *rand.Rand // network, errors, fronts: in the order of events
	servers    [][]*server
	byID       map[string]*server
	ingress    *ingress
	discovery  *discovery
	heavyTails []heavyTail // heavy tails, by class
	retryStorm float64
	lastID     uint64
	events     uint64
	err        error

	Record *blackbox.Recorder // takes what can be seen from outside; nil: nothing does
}

// heavyTail says how much more work some requests of a class are.
type heavyTail struct{ factor, share float64 }

// server is a box, its next look and the node through which it calls the next tier.
type server struct {
	*model.Server
	completionNumber uint64 // the look that counts; others are stale
	node             *node  // nil: the last tier
	brokenShare      float64
	tier             scenario.Tier
}

// New makes the world of a scenario, before anything has happened.
func New(s *scenario.Scenario, decide NewDecider) (*World, error) {
	w := &World{scenario: s, newDecider: decide, checker: checker.New(s), score: score.New(s), rng: model.Stream(s.Seed, "world", 0),
		byID: map[string]*server{}, heavyTails: make([]heavyTail, len(s.Classes)), retryStorm: 1}
	var err error
	if w.arrivals, err = model.NewArrivals(s); err != nil {
		return nil, err
	}
	names := model.Stream(s.Seed, "names", 0)
	for i, t := range s.Tiers {
		var row []*server
		for k := range t.Kinds {
			for range t.Kinds[k].Count {
				id := fmt.Sprintf("s-%08x", names.Uint32()) // tells nothing of kind, like the platform's
				for w.byID[id] != nil {
					id = fmt.Sprintf("s-%08x", names.Uint32())
				}
				b := &server{Server: model.NewServer(id, i, len(row), &t.Kinds[k], s.Rules), tier: t}
				b.MeanWork = model.MeanWork(s, i)
				w.byID[id] = b
				row = append(row, b)
			}
		}
		w.servers = append(w.servers, row)
	}
	w.discovery = newDiscovery(w)
	w.ingress = newIngress(w)
	for i, row := range w.servers[:len(w.servers)-1] {
		for k, b := range row {
			b.node = w.newNode(fmt.Sprintf("%s/%s", s.Tiers[i].Name, b.ID), i+1, k, len(row))
			b.node.host = b
		}
	}
	changes, err := model.WorldChanges(s)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		w.at(c.At, func() { w.applyChange(c) })
	}
	return w, nil
}

// indexes has something done at a time, which is never before now.
func (w *World) at(at time.Duration, do func()) { w.queue.Push(max(at, w.now), do) }

func (w *World) after(wait time.Duration, do func()) { w.queue.Push(w.now+max(wait, 0), do) }

// jitter is a length of time of the network, drawn.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + w.scenario.Network.Jitter*(2*w.rng.Float64()-1)))
}

// Run plays the world to its end. tick, if there is one, is told the clock now and then.
func (w *World) Run(tick func(now time.Duration)) (*score.Score, *checker.Checker, error) {
	for _, n := range w.ingress.nodes {
		n.start()
	}
	for _, row := range w.servers {
		for _, b := range row {
			if b.node != nil {
				b.node.start()
			}
		}
	}
	if n := w.scenario.Clients.ClosedLoop; n > 0 {
		for range n {
			w.startClosedLoop()
		}
	} else {
		w.nextArrival()
	}
	end := w.scenario.Length + 2*model.LongestDeadline(w.scenario) + 5*time.Second // by then every try is over, answered or not
	for w.queue.Len() > 0 && w.err == nil {
		at, do := w.queue.Pop()
		if at > end {
			break
		}
		w.now = at
		w.events++
		do()
		if tick != nil && w.events%65536 == 0 {
			tick(w.now)
		}
	}
	w.checker.Finish(end)
	w.record(blackbox.Event{At: end, Kind: blackbox.HistoryEnded})
	w.score.Events = w.events
	return w.score, w.checker, w.err
}

// Head is the head of a history of this world.
func (w *World) Head() blackbox.Header {
	h := blackbox.NewHeader(w.scenario, 10*time.Millisecond) // some hops of the network
	for id, b := range w.byID {
		h.Kinds[id] = *b.Kind
	}
	return h
}

// record records an event, which has happened now if it has no time of its own.
func (w *World) record(e blackbox.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.Record.Record(e)
}

// applyChange carries out one change of the world.
func (w *World) applyChange(c model.Change) {
	b := w.servers[max(c.Tier, 0)][min(c.Index, len(w.servers[max(c.Tier, 0)])-1)]
	switch c.Kind {
	case model.Crash:
		w.crash(b, b.State == model.Draining)
	case model.Start:
		w.boot(b)
	case model.Drain:
		if b.State == model.Up {
			b.State = model.Draining
			w.discovery.updateEndpoint(b, balancer.Draining, w.scenario.Discovery.DrainDelay)
		}
	case model.Disconnect:
		if b.State == model.Up {
			b.Unreachable = true
			w.discovery.updateEndpoint(b, balancer.Removed, w.scenario.Discovery.UnreachableDelay)
		}
	case model.Reconnect:
		if b.Unreachable {
			b.Unreachable = false
			w.discovery.updateEndpoint(b, balancer.Ready, w.scenario.Discovery.AddDelay)
		}
	case model.ScaleSpeed:
		b.SetSpeedFactor(w.now, b.SpeedFactor*c.Magnitude)
		w.scheduleCompletion(b)
	case model.HeavyTail:
		for i := range w.heavyTails {
			if c.Class < 0 || c.Class == i {
				w.heavyTails[i] = heavyTail{c.Magnitude, c.Share}
			}
		}
	case model.BreakAnswers:
		b.brokenShare = c.Magnitude * c.Share
	case model.ResetIdleConnections:
		w.eachNode(func(n *node) { n.resetIdle(b, c.Share) })
	case model.NodeTerminate:
		w.ingress.nodes[c.Index].terminate()
	case model.NodeKill:
		w.ingress.nodes[c.Index].kill()
	case model.NodeStart:
		w.ingress.nodes[c.Index].start()
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		w.discovery.applyChange(c.Kind)
	case model.Overload:
		w.arrivals.SetFactor(c.Magnitude)
	case model.RetryStorm:
		w.retryStorm = c.Magnitude
	}
}

func (w *World) eachNode(f func(*node)) {
	for _, n := range w.ingress.nodes {
		f(n)
	}
	for _, row := range w.servers {
		for _, b := range row {
			if b.node != nil {
				f(b.node)
			}
		}
	}
}

// crash ends a box, and its node with it. Discovery hears of a planned end at once.
func (w *World) crash(b *server, planned bool) {
	if b.State == model.Down {
		return
	}
	cut := b.Unreachable
	b.completionNumber++
	for _, j := range b.Stop() {
		v := j.Owner.(*visit)
		v.ended = true
		if !cut {
			v.attempt.record(blackbox.Event{Kind: blackbox.AttemptBroken})
			v.attempt.endAfter(w.jitter(w.scenario.Network.ServerLatency), balancer.ConnectionLost)
		}
	}
	if b.node != nil {
		b.node.kill()
	}
	notice := w.scenario.Discovery.CrashDelay
	if planned {
		notice = w.scenario.Discovery.DrainDelay
	}
	w.discovery.updateEndpoint(b, balancer.Removed, notice)
}

// boot starts a box that is down, cold, and its node with it.
func (w *World) boot(b *server) {
	if b.State != model.Down {
		return
	}
	b.Start(w.now)
	w.record(blackbox.Event{Kind: blackbox.ServerStarted, Server: b.ID})
	if b.node != nil {
		b.node.start()
	}
	w.discovery.updateEndpoint(b, balancer.Ready, w.scenario.Discovery.AddDelay)
}

// scheduleCompletion asks for the box's next completion.
func (w *World) scheduleCompletion(b *server) {
	b.completionNumber++
	at, ok := b.NextCompletion(w.now)
	if !ok {
		return
	}
	wake := b.completionNumber
	w.at(at, func() {
		if b.completionNumber != wake {
			return
		}
		for _, j := range b.Completed(w.now) {
			j.Owner.(*visit).stageDone()
		}
		w.scheduleCompletion(b)
	})
}

func (w *World) newID() string {
	w.lastID++
	return fmt.Sprintf("r%d", w.lastID)
}

func (w *World) inFlight(id string) int { return w.byID[id].InFlight() }

// ingress deals clients out over the nodes that it believes to serve.
type ingress struct {
	world           *World
	nodes           []*node
	believedServing []bool
	lastPicked      int
}

func newIngress(w *World) *ingress {
	f := &ingress{world: w}
	for i := range w.scenario.Ingress.Nodes {
		n := w.newNode(fmt.Sprintf("n%d", i), 0, i, w.scenario.Ingress.Nodes)
		n.ingress, n.ingressIndex = f, i
		f.nodes = append(f.nodes, n)
		f.believedServing = append(f.believedServing, true)
	}
	return f
}

// pickNode is the next node; nil: there is none.
func (f *ingress) pickNode() *node {
	for range f.nodes {
		f.lastPicked = (f.lastPicked + 1) % len(f.nodes)
		if f.believedServing[f.lastPicked] {
			return f.nodes[f.lastPicked]
		}
	}
	return nil
}

// receiveUpdate tells the front after a while whether a node serves, as that node does then.
func (f *ingress) notify(n *node, after time.Duration, serves bool) {
	life := n.incarnation
	f.world.after(after, func() {
		if n.incarnation == life {
			f.believedServing[n.ingressIndex] = serves
		}
	})
}

// discovery lists boxes: late, and to those that ask it.
type discovery struct {
	world       *World
	lists       [][]balancer.Server // by tier, in the order of the boxes
	indexes     []map[string]int
	revisions   []map[string]uint64 // the last thing learned of a box; older ones that come later are stale
	watchers    []*node             // in the order of their asking
	down        bool
	queueFreeAt time.Duration // when the calls so far are worked off
}

func newDiscovery(w *World) *discovery {
	d := &discovery{world: w}
	for _, row := range w.servers {
		var list []balancer.Server
		at := map[string]int{}
		for i, b := range row {
			list = append(list, balancer.Server{ID: b.ID, Zone: "benchland", Kind: b.Kind.Name, Cell: i / 6})
			at[b.ID] = i
		}
		d.lists, d.indexes, d.revisions = append(d.lists, list), append(d.indexes, at), append(d.revisions, map[string]uint64{})
	}
	return d
}

// updateEndpoint has discovery list a box's state after a while.
func (d *discovery) updateEndpoint(b *server, state balancer.ServerState, wait time.Duration) {
	d.revisions[b.Tier][b.ID]++
	order, boot := d.revisions[b.Tier][b.ID], b.StartTime
	d.world.after(wait, func() {
		if d.revisions[b.Tier][b.ID] != order {
			return
		}
		e := &d.lists[b.Tier][d.indexes[b.Tier][b.ID]]
		e.State, e.StartTime = state, boot
		news := []balancer.Server{*e}
		for _, n := range d.watchers {
			if n.tier == b.Tier {
				d.notify(n, balancer.EndpointUpdate{Servers: news})
			}
		}
		if state != balancer.Ready {
			d.countAsNotified(b)
		}
	})
}

// countAsNotified counts nodes that have neither a watch nor asked for as long as the settings allow as told.
func (d *discovery) countAsNotified(b *server) {
	order := d.revisions[b.Tier][b.ID]
	lives := map[*node]int{}
	d.world.eachNode(func(n *node) {
		if n.tier == b.Tier && n.alive && !n.watching {
			lives[n] = n.incarnation
		}
	})
	if len(lives) == 0 {
		return
	}
	wait := d.world.scenario.Discovery.MaxPollInterval
	if d.down {
		wait *= 4
	}
	d.world.after(wait, func() {
		d.world.eachNode(func(n *node) {
			if life, ok := lives[n]; ok && n.incarnation == life && n.alive && !n.watching && d.revisions[b.Tier][b.ID] == order {
				d.world.checker.EndpointNotified(d.world.now, n.name, b.ID, false)
				d.world.record(blackbox.Event{Kind: blackbox.EndpointNotified, Node: n.name, Server: b.ID})
			}
		})
	})
}

// notify brings a list to a node, after what was told before.
func (d *discovery) notify(n *node, list balancer.EndpointUpdate) {
	at := d.world.now + time.Duration(d.world.rng.Float64()*float64(d.world.scenario.Discovery.NotifySpread))
	n.lastNotified = max(n.lastNotified, at)
	life := n.incarnation
	d.world.at(n.lastNotified, func() {
		if n.incarnation == life && n.alive {
			n.receiveUpdate(list)
		}
	})
}

// poll is a node's call: it waits in turn, and fails when it has waited too long.
func (d *discovery) poll(n *node) {
	life := n.incarnation
	fail := func(wait time.Duration) {
		d.world.after(wait, func() {
			if n.incarnation == life && n.alive {
				n.handle(balancer.WatchFailed{})
			}
		})
	}
	if d.down {
		fail(2 * d.world.scenario.Network.ServerLatency)
		return
	}
	d.queueFreeAt = max(d.queueFreeAt, d.world.now) + time.Duration(float64(time.Second)/d.world.scenario.Discovery.CallsPerSecond)
	if d.queueFreeAt-d.world.now > d.world.scenario.Discovery.CallTimeout {
		d.queueFreeAt -= time.Duration(float64(time.Second) / d.world.scenario.Discovery.CallsPerSecond)
		fail(d.world.scenario.Discovery.CallTimeout)
		return
	}
	d.world.at(d.queueFreeAt, func() {
		if n.incarnation != life || !n.alive {
			return
		}
		if d.down {
			fail(d.world.scenario.Network.ServerLatency)
			return
		}
		d.startWatch(n)
	})
}

func (d *discovery) startWatch(n *node) {
	if !n.watching {
		n.watching = true
		d.watchers = append(d.watchers, n)
	}
	d.notify(n, balancer.EndpointUpdate{Complete: true, Servers: slices.Clone(d.lists[n.tier])})
}

func (d *discovery) endWatch(n *node) {
	n.watching = false
	d.watchers = slices.DeleteFunc(d.watchers, func(o *node) bool { return o == n })
}

// applyChange takes discovery down, up or elsewhere. Watches end with it; where lists are pushed they come back by
// themselves.
func (d *discovery) applyChange(what model.ChangeKind) {
	d.down = what == model.DiscoveryDown
	if what == model.DiscoveryUp {
		if !d.world.scenario.Discovery.Polled {
			d.world.eachNode(func(n *node) {
				if n.alive {
					d.startWatch(n)
				}
			})
		}
		return
	}
	ended := d.watchers
	d.watchers = nil
	for _, n := range ended {
		n.watching = false
		life := n.incarnation
		d.world.after(d.world.jitter(d.world.scenario.Network.ServerLatency), func() {
			if n.incarnation != life || !n.alive {
				return
			}
			if d.world.scenario.Discovery.Polled {
				n.handle(balancer.WatchFailed{})
			} else if !d.down {
				d.startWatch(n)
			}
		})
	}
}
