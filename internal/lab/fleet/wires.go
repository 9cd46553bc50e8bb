package fleet

import (
	"fmt"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// endKind is what stands at the end of a wire.
type endKind string

// Kinds, as scenarios name them.
const (
	nodeEnd      endKind = "nodes"
	serverEnd    endKind = "boxes"
	discoveryEnd endKind = "discovery"
	clientEnd    endKind = "clients"
)

// cancel is one end of a wire.
type end struct {
	kind endKind
	name string
}

func nodeAt(place string) end { return end{nodeEnd, place} }
func serverAt(id string) end  { return end{serverEnd, id} }

// networkLink is a link and all that is wrong with it, by cause: causes come and go by themselves.
type networkLink struct {
	*link.Link
	from, to   end
	noListener bool // nobody listens at its far end
	causes     map[int]link.Fault

	setting sync.Mutex // one at a time, and each with the causes of then
}

// network are all links of a fleet.
type network struct {
	mu        sync.Mutex
	links     []*networkLink
	lastCause int

	ports int // the rig's block
}

// open adds a link.
func (w *network) open(from, to end, where func() string) (addr string, err error) {
	l, err := link.Open(w.ports, where)
	if err != nil {
		return "", fmt.Errorf("%s %s to %s %s: %w", from.kind, from.name, to.kind, to.name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links = append(w.links, &networkLink{Link: l, from: from, to: to, causes: map[int]link.Fault{}})
	return l.Addr(), nil
}

// addr is where a node is reached by whoever calls it.
func (w *network) addr(place string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		if l.to == nodeAt(place) {
			return l.Addr()
		}
	}
	return ""
}

// refuse has new connections to an end refused, as where nobody listens, or ends that.
func (w *network) refuse(to end, down bool) {
	var met []*networkLink
	w.mu.Lock()
	for _, l := range w.links {
		if l.to == to && l.noListener != down {
			l.noListener = down
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
func (w *network) apply(l *networkLink) {
	l.setting.Lock()
	defer l.setting.Unlock()
	w.mu.Lock()
	sum := link.Fault{Refuse: l.noListener}
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

// linksOf are the links that have an end of one kind and name at one side and one of a kind at the other, and whether
// the first is the far side. other "": any.
func (w *network) linksOf(who end, other endKind) (list []*networkLink, far []bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
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
func (w *network) fault(list []*networkLink, faults []link.Fault) (heal func(reset bool)) {
	w.mu.Lock()
	w.lastCause++
	n := w.lastCause
	w.mu.Unlock()
	change := func(f func(i int, l *networkLink)) {
		each(len(list), func(i int) error {
			w.mu.Lock()
			f(i, list[i])
			w.mu.Unlock()
			w.apply(list[i])
			return nil
		})
	}
	change(func(i int, l *networkLink) { l.causes[n] = faults[i] })
	return func(reset bool) {
		if reset {
			for _, l := range list {
				l.Reset()
			}
		}
		change(func(_ int, l *networkLink) { delete(l.causes, n) })
	}
}

func (w *network) close() {
	w.mu.Lock()
	list := w.links
	w.mu.Unlock()
	each(len(list), func(i int) error {
		list[i].Close()
		return nil
	})
}

// networkLink joins every pair that talks.
func (r *rig) connectAll() error {
	for i, info := range r.infos {
		me := nodeAt(info.Base)
		caller := end{clientEnd, ""}
		if info.IngressIndex < 0 {
			caller = serverAt(info.HostID)
		}
		if _, err := r.network.open(caller, me, func() string { return r.nodes.Addr(i) }); err != nil {
			return err
		}
		door, err := r.network.open(me, end{discoveryEnd, ""}, func() string {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.discoveryAddrs[info.Base]
		})
		if err != nil {
			return err
		}
		r.lists.discoveryAddrs[info.Base] = door
		dials := map[string]string{}
		ids, _ := r.nodes.ServerIDs(info.Tier)
		for _, id := range ids {
			if dials[id], err = r.network.open(me, serverAt(id), func() string {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.serverAddrs[id]
			}); err != nil {
				return err
			}
		}
		r.lists.dialAddresses[info.Base] = dials
	}
	return nil
}

// endpointLists is what nodes are given at their start, kept beside discovery: a copy of what it lists, now and earlier.
type endpointLists struct {
	rig            *rig
	discoveryAddrs map[string]string
	dialAddresses  map[string]map[string]string

	mu        sync.Mutex
	tiers     []loopback.EndpointList
	revisions map[[2]int]int
	snapshots []snapshot
}

// snapshot is the lists of all tiers from a time on.
type snapshot struct {
	at    time.Duration
	tiers []loopback.EndpointList
}

func newLists(r *rig) *endpointLists {
	return &endpointLists{rig: r, discoveryAddrs: map[string]string{}, dialAddresses: map[string]map[string]string{}, revisions: map[[2]int]int{}}
}

// initialize lists all boxes as they are at the start. The caller holds mu.
func (l *endpointLists) initialize() {
	if l.tiers != nil {
		return
	}
	for t := range l.rig.scenario.Tiers {
		list := loopback.EndpointList{Seq: 1, Complete: true}
		ids, kinds := l.rig.nodes.ServerIDs(t)
		for i, id := range ids {
			list.Endpoints = append(list.Endpoints, loopback.NewEndpoint(id, kinds[i], "", i))
		}
		l.tiers = append(l.tiers, list)
	}
	l.saveSnapshot()
}

// saveSnapshot remembers the lists as they are now. The caller holds mu.
func (l *endpointLists) saveSnapshot() {
	now := snapshot{at: l.rig.nodes.Now()}
	for _, t := range l.tiers {
		t.Endpoints = append([]loopback.Endpoint(nil), t.Endpoints...)
		now.tiers = append(now.tiers, t)
	}
	l.snapshots = append(l.snapshots, now)
}

// update notes what discovery will list.
func (l *endpointLists) update(m loopback.Message) {
	key := [2]int{m.Tier, m.Index}
	l.mu.Lock()
	l.initialize()
	l.revisions[key]++
	order := l.revisions[key]
	l.mu.Unlock()
	l.rig.goOwned(func() {
		if !l.rig.nodes.Sleep(m.Delay) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.revisions[key] != order {
			return
		}
		t := &l.tiers[m.Tier]
		t.Seq++
		h := &t.Endpoints[m.Index]
		h.Health = m.Health
		if m.StartTime > 0 {
			h.Born = float64(l.rig.startWall.UnixNano()+int64(m.StartTime)) / 1e6
		}
		l.saveSnapshot()
	})
}

func (l *endpointLists) DiscoveryAddr(place string) string { return l.discoveryAddrs[place] }

// versionLag is by how much a list that a node is given lags behind discovery's own count: of changes at one moment the
// two may note another first, and a node is to be told each.
const versionLag = 4

// BootstrapList is the list that a node starts with, as the scenario says.
func (l *endpointLists) BootstrapList(place string, tier int) loopback.EndpointList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	f := l.rig.scenario.Fleet
	list := l.tiers[tier]
	if f.BootstrapList == "old" {
		list = l.snapshots[0].tiers[tier]
		for _, s := range l.snapshots {
			if s.at <= l.rig.nodes.Now()-f.BootstrapAge {
				list = s.tiers[tier]
			}
		}
	}
	given := loopback.EndpointList{Seq: max(1, list.Seq-versionLag), Complete: true, Endpoints: []loopback.Endpoint{}}
	if f.BootstrapList == "none" {
		given.Seq = 0
		return given
	}
	for _, h := range list.Endpoints {
		h.Dial = l.dialAddresses[place][h.Host]
		given.Endpoints = append(given.Endpoints, h)
	}
	return given
}
