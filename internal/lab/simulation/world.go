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
type NewDecider func(name string, set balancer.Settings, seed uint64, truth policies.Truth) (policies.Decider, error)

// World is a scenario being played.
type World struct {
	s     *scenario.Scenario
	make  NewDecider
	audit *checker.Auditor
	score *score.Score
	queue eventq.Queue[func()]
	now   time.Duration

	arrivals *model.Arrivals
	draws    *rand.Rand // network, errors, fronts: in the order of events
	boxes    [][]*server
	byID     map[string]*server
	front    *front
	disc     *discovery
	tails    []tail // heavy tails, by class
	storm    float64
	ids      uint64
	events   uint64
	err      error

	Record *blackbox.Recorder // takes what can be seen from outside; nil: nothing does
}

// tail says how much more work some requests of a class are.
type tail struct{ size, share float64 }

// server is a box, its next look and the node through which it calls the next tier.
type server struct {
	*model.Box
	wake   uint64 // the look that counts; others are stale
	node   *node  // nil: the last tier
	broken float64
	spec   scenario.Tier
}

// New makes the world of a scenario, before anything has happened.
func New(s *scenario.Scenario, decide NewDecider) (*World, error) {
	w := &World{s: s, make: decide, audit: checker.New(s), score: score.New(s), draws: model.Stream(s.Seed, "world", 0),
		byID: map[string]*server{}, tails: make([]tail, len(s.Classes)), storm: 1}
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
				b := &server{Box: model.NewBox(id, i, len(row), &t.Kinds[k], s.Rules), spec: t}
				b.Mean = model.MeanWork(s, i)
				w.byID[id] = b
				row = append(row, b)
			}
		}
		w.boxes = append(w.boxes, row)
	}
	w.disc = newDiscovery(w)
	w.front = newFront(w)
	for i, row := range w.boxes[:len(w.boxes)-1] {
		for k, b := range row {
			b.node = w.newNode(fmt.Sprintf("%s/%s", s.Tiers[i].Name, b.ID), i+1, k, len(row))
			b.node.host = b
		}
	}
	changes, err := model.Troubles(s)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		w.at(c.At, func() { w.change(c) })
	}
	return w, nil
}

// at has something done at a time, which is never before now.
func (w *World) at(at time.Duration, do func()) { w.queue.Push(max(at, w.now), do) }

func (w *World) after(wait time.Duration, do func()) { w.queue.Push(w.now+max(wait, 0), do) }

// jitter is a length of time of the network, drawn.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + w.s.Net.Jitter*(2*w.draws.Float64()-1)))
}

// Run plays the world to its end. tick, if there is one, is told the clock now and then.
func (w *World) Run(tick func(now time.Duration)) (*score.Score, *checker.Auditor, error) {
	for _, n := range w.front.nodes {
		n.start()
	}
	for _, row := range w.boxes {
		for _, b := range row {
			if b.node != nil {
				b.node.start()
			}
		}
	}
	if n := w.s.Clients.ClosedLoop; n > 0 {
		for range n {
			w.loopClient()
		}
	} else {
		w.nextArrival()
	}
	end := w.s.Length + 2*model.LongestDeadline(w.s) + 5*time.Second // by then every try is over, answered or not
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
	w.audit.Finish(end)
	w.seen(blackbox.Event{At: end, What: blackbox.End})
	w.score.Events = w.events
	return w.score, w.audit, w.err
}

// Head is the head of a history of this world.
func (w *World) Head() blackbox.Head {
	h := blackbox.HeadOf(w.s, 10*time.Millisecond) // some hops of the network
	for id, b := range w.byID {
		h.Kinds[id] = *b.Kind
	}
	return h
}

// seen records an event, which has happened now if it has no time of its own.
func (w *World) seen(e blackbox.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.Record.Note(e)
}

// change carries out one change of the world.
func (w *World) change(c model.Change) {
	b := w.boxes[max(c.Tier, 0)][min(c.Index, len(w.boxes[max(c.Tier, 0)])-1)]
	switch c.What {
	case model.Crash:
		w.crash(b, b.State == model.Draining)
	case model.Boot:
		w.boot(b)
	case model.Drain:
		if b.State == model.Up {
			b.State = model.Draining
			w.disc.learn(b, balancer.Draining, w.s.Discovery.Drain)
		}
	case model.CutOff:
		if b.State == model.Up {
			b.Cut = true
			w.disc.learn(b, balancer.Removed, w.s.Discovery.Silent)
		}
	case model.Rejoin:
		if b.Cut {
			b.Cut = false
			w.disc.learn(b, balancer.Ready, w.s.Discovery.Add)
		}
	case model.Slow:
		b.SetSlow(w.now, b.Slow*c.Size)
		w.look(b)
	case model.HeavyTail:
		for i := range w.tails {
			if c.Class < 0 || c.Class == i {
				w.tails[i] = tail{c.Size, c.Share}
			}
		}
	case model.Broken:
		b.broken = c.Size * c.Share
	case model.ResetKept:
		w.eachNode(func(n *node) { n.resetKept(b, c.Share) })
	case model.NodeLeave:
		w.front.nodes[c.Index].leave()
	case model.NodeKill:
		w.front.nodes[c.Index].kill()
	case model.NodeStart:
		w.front.nodes[c.Index].start()
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		w.disc.change(c.What)
	case model.Overload:
		w.arrivals.SetFactor(c.Size)
	case model.Storm:
		w.storm = c.Size
	}
}

func (w *World) eachNode(f func(*node)) {
	for _, n := range w.front.nodes {
		f(n)
	}
	for _, row := range w.boxes {
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
	cut := b.Cut
	b.wake++
	for _, j := range b.Stop() {
		v := j.Owner.(*visit)
		v.over = true
		if !cut {
			v.att.seen(blackbox.Event{What: blackbox.Broke})
			v.att.endAfter(w.jitter(w.s.Net.Hop), balancer.ConnectionLost)
		}
	}
	if b.node != nil {
		b.node.kill()
	}
	notice := w.s.Discovery.Notice
	if planned {
		notice = w.s.Discovery.Drain
	}
	w.disc.learn(b, balancer.Removed, notice)
}

// boot starts a box that is down, cold, and its node with it.
func (w *World) boot(b *server) {
	if b.State != model.Down {
		return
	}
	b.Start(w.now)
	w.seen(blackbox.Event{What: blackbox.Boot, Server: b.ID})
	if b.node != nil {
		b.node.start()
	}
	w.disc.learn(b, balancer.Ready, w.s.Discovery.Add)
}

// look asks for the box's next completion.
func (w *World) look(b *server) {
	b.wake++
	at, ok := b.Next(w.now)
	if !ok {
		return
	}
	wake := b.wake
	w.at(at, func() {
		if b.wake != wake {
			return
		}
		for _, j := range b.Done(w.now) {
			j.Owner.(*visit).stretchDone()
		}
		w.look(b)
	})
}

func (w *World) newID() string {
	w.ids++
	return fmt.Sprintf("r%d", w.ids)
}

func (w *World) truth(id string) int { return w.byID[id].Held() }

// front deals clients out over the nodes that it believes to serve.
type front struct {
	w     *World
	nodes []*node
	knows []bool
	next  int
}

func newFront(w *World) *front {
	f := &front{w: w}
	for i := range w.s.Front.Nodes {
		n := w.newNode(fmt.Sprintf("n%d", i), 0, i, w.s.Front.Nodes)
		n.front, n.place = f, i
		f.nodes = append(f.nodes, n)
		f.knows = append(f.knows, true)
	}
	return f
}

// deal is the next node; nil: there is none.
func (f *front) deal() *node {
	for range f.nodes {
		f.next = (f.next + 1) % len(f.nodes)
		if f.knows[f.next] {
			return f.nodes[f.next]
		}
	}
	return nil
}

// hear tells the front after a while whether a node serves, as that node does then.
func (f *front) hear(n *node, after time.Duration, serves bool) {
	life := n.life
	f.w.after(after, func() {
		if n.life == life {
			f.knows[n.place] = serves
		}
	})
}

// discovery lists boxes: late, and to those that ask it.
type discovery struct {
	w      *World
	lists  [][]balancer.Server // by tier, in the order of the boxes
	at     []map[string]int
	orders []map[string]uint64 // the last thing learned of a box; older ones that come later are stale
	subs   []*node             // in the order of their asking
	down   bool
	free   time.Duration // when the calls so far are worked off
}

func newDiscovery(w *World) *discovery {
	d := &discovery{w: w}
	for _, row := range w.boxes {
		var list []balancer.Server
		at := map[string]int{}
		for i, b := range row {
			list = append(list, balancer.Server{ID: b.ID, Zone: "benchland", Kind: b.Kind.Name, Cell: i / 6})
			at[b.ID] = i
		}
		d.lists, d.at, d.orders = append(d.lists, list), append(d.at, at), append(d.orders, map[string]uint64{})
	}
	return d
}

// learn has discovery list a box's state after a while.
func (d *discovery) learn(b *server, state balancer.ServerState, wait time.Duration) {
	d.orders[b.Tier][b.ID]++
	order, boot := d.orders[b.Tier][b.ID], b.Boot
	d.w.after(wait, func() {
		if d.orders[b.Tier][b.ID] != order {
			return
		}
		e := &d.lists[b.Tier][d.at[b.Tier][b.ID]]
		e.State, e.StartTime = state, boot
		news := []balancer.Server{*e}
		for _, n := range d.subs {
			if n.tier == b.Tier {
				d.tell(n, balancer.EndpointUpdate{Servers: news})
			}
		}
		if state != balancer.Ready {
			d.deem(b)
		}
	})
}

// deem counts nodes that have neither a watch nor asked for as long as the settings allow as told.
func (d *discovery) deem(b *server) {
	order := d.orders[b.Tier][b.ID]
	lives := map[*node]int{}
	d.w.eachNode(func(n *node) {
		if n.tier == b.Tier && n.alive && !n.watching {
			lives[n] = n.life
		}
	})
	if len(lives) == 0 {
		return
	}
	wait := d.w.s.Discovery.Within
	if d.down {
		wait *= 4
	}
	d.w.after(wait, func() {
		d.w.eachNode(func(n *node) {
			if life, ok := lives[n]; ok && n.life == life && n.alive && !n.watching && d.orders[b.Tier][b.ID] == order {
				d.w.audit.Told(d.w.now, n.name, b.ID, false)
				d.w.seen(blackbox.Event{What: blackbox.Told, Node: n.name, Server: b.ID})
			}
		})
	})
}

// tell brings a list to a node, after what was told before.
func (d *discovery) tell(n *node, list balancer.EndpointUpdate) {
	at := d.w.now + time.Duration(d.w.draws.Float64()*float64(d.w.s.Discovery.Spread))
	n.lastTold = max(n.lastTold, at)
	life := n.life
	d.w.at(n.lastTold, func() {
		if n.life == life && n.alive {
			n.hear(list)
		}
	})
}

// ask is a node's call: it waits in turn, and fails when it has waited too long.
func (d *discovery) ask(n *node) {
	life := n.life
	fail := func(wait time.Duration) {
		d.w.after(wait, func() {
			if n.life == life && n.alive {
				n.handle(balancer.WatchFailed{})
			}
		})
	}
	if d.down {
		fail(2 * d.w.s.Net.Hop)
		return
	}
	d.free = max(d.free, d.w.now) + time.Duration(float64(time.Second)/d.w.s.Discovery.Capacity)
	if d.free-d.w.now > d.w.s.Discovery.Timeout {
		d.free -= time.Duration(float64(time.Second) / d.w.s.Discovery.Capacity)
		fail(d.w.s.Discovery.Timeout)
		return
	}
	d.w.at(d.free, func() {
		if n.life != life || !n.alive {
			return
		}
		if d.down {
			fail(d.w.s.Net.Hop)
			return
		}
		d.subscribe(n)
	})
}

func (d *discovery) subscribe(n *node) {
	if !n.watching {
		n.watching = true
		d.subs = append(d.subs, n)
	}
	d.tell(n, balancer.EndpointUpdate{Complete: true, Servers: slices.Clone(d.lists[n.tier])})
}

func (d *discovery) drop(n *node) {
	n.watching = false
	d.subs = slices.DeleteFunc(d.subs, func(o *node) bool { return o == n })
}

// change takes discovery down, up or elsewhere. Watches end with it; where lists are pushed they come back by
// themselves.
func (d *discovery) change(what model.What) {
	d.down = what == model.DiscoveryDown
	if what == model.DiscoveryUp {
		if !d.w.s.Discovery.Asked {
			d.w.eachNode(func(n *node) {
				if n.alive {
					d.subscribe(n)
				}
			})
		}
		return
	}
	ended := d.subs
	d.subs = nil
	for _, n := range ended {
		n.watching = false
		life := n.life
		d.w.after(d.w.jitter(d.w.s.Net.Hop), func() {
			if n.life != life || !n.alive {
				return
			}
			if d.w.s.Discovery.Asked {
				n.handle(balancer.WatchFailed{})
			} else if !d.down {
				d.subscribe(n)
			}
		})
	}
}
