package fleet

import (
	"fmt"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// kind is what stands at the end of a wire.
type kind string

// Kinds, as scenarios name them.
const (
	aNode     kind = "nodes"
	aBox      kind = "boxes"
	theList   kind = "discovery"
	theClient kind = "clients"
)

// end is one end of a wire.
type end struct {
	kind kind
	name string
}

func toNode(place string) end { return end{aNode, place} }
func toBox(id string) end     { return end{aBox, id} }

// wire is a link and all that is wrong with it, by cause: causes come and go by themselves.
type wire struct {
	*link.Link
	from, to end
	down     bool // nobody listens at its far end
	causes   map[int]link.Fault

	setting sync.Mutex // one at a time, and each with the causes of then
}

// wires are all links of a fleet.
type wires struct {
	mu   sync.Mutex
	list []*wire
	next int

	ports int // the rig's block
}

// open adds a link.
func (w *wires) open(from, to end, where func() string) (addr string, err error) {
	l, err := link.Open(w.ports, where)
	if err != nil {
		return "", fmt.Errorf("%s %s to %s %s: %w", from.kind, from.name, to.kind, to.name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, &wire{Link: l, from: from, to: to, causes: map[int]link.Fault{}})
	return l.Addr(), nil
}

// addr is where a node is reached by whoever calls it.
func (w *wires) addr(place string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.list {
		if l.to == toNode(place) {
			return l.Addr()
		}
	}
	return ""
}

// refuse has new connections to an end refused, as where nobody listens, or ends that.
func (w *wires) refuse(to end, down bool) {
	var met []*wire
	w.mu.Lock()
	for _, l := range w.list {
		if l.to == to && l.down != down {
			l.down = down
			met = append(met, l)
		}
	}
	w.mu.Unlock()
	for _, l := range met {
		w.apply(l)
	}
}

// apply brings a link's causes together. A link that has just been closed needs none. Silence takes a moment to make:
// the lock over all links is not held meanwhile.
func (w *wires) apply(l *wire) {
	l.setting.Lock()
	defer l.setting.Unlock()
	w.mu.Lock()
	sum := link.Fault{Refuse: l.down}
	for _, f := range l.causes {
		for way := range f.Stall {
			sum.Stall[way] = sum.Stall[way] || f.Stall[way]
			sum.HoldFIN[way] = sum.HoldFIN[way] || f.HoldFIN[way]
		}
		sum.Refuse = sum.Refuse || f.Refuse
		sum.Delay += f.Delay
		sum.Jitter += f.Jitter
		if f.BytesPerSecond > 0 && (sum.BytesPerSecond == 0 || f.BytesPerSecond < sum.BytesPerSecond) {
			sum.BytesPerSecond = f.BytesPerSecond
		}
		if f.ResetAfter > 0 {
			sum.ResetAfter = f.ResetAfter
		}
	}
	w.mu.Unlock()
	l.Set(sum)
}

// between are the links that have an end of one kind and name at one side and one of a kind at the other, and whether
// the first is the far side. other "": any.
func (w *wires) between(who end, other kind) (list []*wire, far []bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.list {
		switch {
		case l.from == who && (other == "" || l.to.kind == other):
			list, far = append(list, l), append(far, false)
		case l.to == who && (other == "" || l.from.kind == other):
			list, far = append(list, l), append(far, true)
		}
	}
	return list, far
}

// fault adds a cause to links and returns what takes it away again.
func (w *wires) fault(list []*wire, faults []link.Fault) (heal func(reset bool)) {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	change := func(f func(i int, l *wire)) {
		each(len(list), func(i int) error {
			w.mu.Lock()
			f(i, list[i])
			w.mu.Unlock()
			w.apply(list[i])
			return nil
		})
	}
	change(func(i int, l *wire) { l.causes[n] = faults[i] })
	return func(reset bool) {
		if reset {
			for _, l := range list {
				l.Reset()
			}
		}
		change(func(_ int, l *wire) { delete(l.causes, n) })
	}
}

func (w *wires) close() {
	w.mu.Lock()
	list := w.list
	w.mu.Unlock()
	each(len(list), func(i int) error {
		list[i].Close()
		return nil
	})
}

// wire joins every pair that talks.
func (r *rig) wire() error {
	for i, info := range r.infos {
		me := toNode(info.Place)
		caller := end{theClient, ""}
		if info.Front < 0 {
			caller = toBox(info.HostName)
		}
		if _, err := r.wires.open(caller, me, func() string { return r.nodes.Addr(i) }); err != nil {
			return err
		}
		door, err := r.wires.open(me, end{theList, ""}, func() string {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.doors[info.Place]
		})
		if err != nil {
			return err
		}
		r.lists.doors[info.Place] = door
		dials := map[string]string{}
		ids, _ := r.nodes.BoxNames(info.Tier)
		for _, id := range ids {
			if dials[id], err = r.wires.open(me, toBox(id), func() string {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.addrs[id]
			}); err != nil {
				return err
			}
		}
		r.lists.dials[info.Place] = dials
	}
	return nil
}

// lists is what nodes are given at their start, kept beside discovery: a copy of what it lists, now and earlier.
type lists struct {
	r     *rig
	doors map[string]string
	dials map[string]map[string]string

	mu     sync.Mutex
	tiers  []loopback.Roster
	orders map[[2]int]int
	past   []snapshot
}

// snapshot is the lists of all tiers from a time on.
type snapshot struct {
	at    time.Duration
	tiers []loopback.Roster
}

func newLists(r *rig) *lists {
	return &lists{r: r, doors: map[string]string{}, dials: map[string]map[string]string{}, orders: map[[2]int]int{}}
}

// fill lists all boxes as they are at the start. The caller holds mu.
func (l *lists) fill() {
	if l.tiers != nil {
		return
	}
	for t := range l.r.s.Tiers {
		list := loopback.Roster{Seq: 1, Whole: true}
		ids, kinds := l.r.nodes.BoxNames(t)
		for i, id := range ids {
			list.Hosts = append(list.Hosts, loopback.NewEntry(id, kinds[i], "", i))
		}
		l.tiers = append(l.tiers, list)
	}
	l.keep()
}

// keep remembers the lists as they are now. The caller holds mu.
func (l *lists) keep() {
	now := snapshot{at: l.r.nodes.Now()}
	for _, t := range l.tiers {
		t.Hosts = append([]loopback.Entry(nil), t.Hosts...)
		now.tiers = append(now.tiers, t)
	}
	l.past = append(l.past, now)
}

// learn notes what discovery will list.
func (l *lists) learn(m loopback.Message) {
	key := [2]int{m.Tier, m.Index}
	l.mu.Lock()
	l.fill()
	l.orders[key]++
	order := l.orders[key]
	l.mu.Unlock()
	l.r.own(func() {
		if !l.r.nodes.Sleep(m.Wait) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.orders[key] != order {
			return
		}
		t := &l.tiers[m.Tier]
		t.Seq++
		h := &t.Hosts[m.Index]
		h.Health = m.Health
		if m.Boot > 0 {
			h.Born = float64(l.r.wall.UnixNano()+int64(m.Boot)) / 1e6
		}
		l.keep()
	})
}

func (l *lists) Discovery(place string) string { return l.doors[place] }

// seqBack is by how much a list that a node is given lags behind discovery's own count: of changes at one moment the
// two may note another first, and a node is to be told each.
const seqBack = 4

// Known is the list that a node starts with, as the scenario says.
func (l *lists) Known(place string, tier int) loopback.Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill()
	f := l.r.s.Fleet
	list := l.tiers[tier]
	if f.Known == "old" {
		list = l.past[0].tiers[tier]
		for _, s := range l.past {
			if s.at <= l.r.nodes.Now()-f.Age {
				list = s.tiers[tier]
			}
		}
	}
	given := loopback.Roster{Seq: max(1, list.Seq-seqBack), Whole: true, Hosts: []loopback.Entry{}}
	if f.Known == "none" {
		given.Seq = 0
		return given
	}
	for _, h := range list.Hosts {
		h.Dial = l.dials[place][h.Host]
		given.Hosts = append(given.Hosts, h)
	}
	return given
}
