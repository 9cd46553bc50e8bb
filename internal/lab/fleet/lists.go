package fleet

import (
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// versionLag is by how much a list that a node is given lags behind discovery's own version: of changes at one moment the
// two may note another first, and a node must be notified of each.
const versionLag = 4

// listKey is a server of a list.
type listKey struct{ tier, index int }

// endpointLists are what nodes are given at their start: a copy of what discovery lists, now and earlier.
type endpointLists struct {
	rig            *rig
	discoveryAddrs map[string]string            // by node
	dialAddresses  map[string]map[string]string // by node and server

	mu        sync.Mutex
	tiers     []loopback.EndpointList // nil: not listed yet
	revisions map[listKey]int         // of each server's state; an older one that is listed later is stale
	snapshots []snapshot
}

// snapshot is the lists of all tiers from a time on.
type snapshot struct {
	at    time.Duration
	tiers []loopback.EndpointList
}

func newEndpointLists(r *rig) *endpointLists {
	return &endpointLists{rig: r, discoveryAddrs: map[string]string{}, dialAddresses: map[string]map[string]string{}, revisions: map[listKey]int{}}
}

// initialize lists all servers as they are at the start. The caller holds mu.
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

// saveSnapshot keeps the lists as they are now. The caller holds mu.
func (l *endpointLists) saveSnapshot() {
	now := snapshot{at: l.rig.nodes.Now()}
	for _, t := range l.tiers {
		t.Endpoints = append([]loopback.Endpoint(nil), t.Endpoints...)
		now.tiers = append(now.tiers, t)
	}
	l.snapshots = append(l.snapshots, now)
}

// update notes what discovery will list after a while.
func (l *endpointLists) update(m loopback.Message) {
	key := listKey{m.Tier, m.Index}
	l.mu.Lock()
	l.initialize()
	l.revisions[key]++
	revision := l.revisions[key]
	l.mu.Unlock()
	l.rig.spawn(func() {
		if l.rig.nodes.Sleep(m.Delay) {
			l.set(m, key, revision)
		}
	})
}

// set lists a state, unless a newer one has come.
func (l *endpointLists) set(m loopback.Message, key listKey, revision int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revisions[key] != revision {
		return
	}
	t := &l.tiers[m.Tier]
	t.Seq++
	e := &t.Endpoints[m.Index]
	e.Health = m.Health
	if m.StartTime > 0 {
		e.Born = float64(l.rig.startWall.UnixNano()+int64(m.StartTime)) / float64(time.Millisecond)
	}
	l.saveSnapshot()
}

// DiscoveryAddr implements loopback.ListProvider.
func (l *endpointLists) DiscoveryAddr(base string) string { return l.discoveryAddrs[base] }

// BootstrapList implements loopback.ListProvider: the list that a node starts with, as the scenario says.
func (l *endpointLists) BootstrapList(base string, tier int) loopback.EndpointList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	list := l.tiers[tier]
	if l.rig.scenario.Fleet.BootstrapList == scenario.BootstrapOld {
		list = l.listAt(tier, l.rig.nodes.Now()-l.rig.scenario.Fleet.BootstrapAge)
	}
	given := loopback.EndpointList{Seq: max(1, list.Seq-versionLag), Complete: true, Endpoints: []loopback.Endpoint{}}
	if l.rig.scenario.Fleet.BootstrapList == scenario.BootstrapNone {
		given.Seq = 0
		return given
	}
	for _, e := range list.Endpoints {
		e.Dial = l.dialAddresses[base][e.Host]
		given.Endpoints = append(given.Endpoints, e)
	}
	return given
}

// listAt is a tier's list at a time, at the earliest that of the start. The caller holds mu.
func (l *endpointLists) listAt(tier int, at time.Duration) loopback.EndpointList {
	list := l.snapshots[0].tiers[tier]
	for _, s := range l.snapshots {
		if s.at <= at {
			list = s.tiers[tier]
		}
	}
	return list
}
