package fleet

import (
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// versionLag is the number of versions by which a bootstrap list is behind the rig's copy. The rig and discovery may apply
// simultaneous changes in different orders, and discovery must notify a node of each of them.
const versionLag = 4

// listKey identifies a server in the lists.
type listKey struct{ tier, index int }

// endpointLists holds copies of discovery's current and earlier endpoint lists. Nodes start with one of them.
type endpointLists struct {
	rig            *rig
	discoveryAddrs map[string]string            // by node
	dialAddresses  map[string]map[string]string // by node and server

	mu        sync.Mutex
	tiers     []loopback.EndpointList // nil until initialize
	revisions map[listKey]int         // of each server's state, to drop a delayed update that a newer one has replaced
	snapshots []snapshot
}

// snapshot holds the lists of all tiers that were valid from a time on.
type snapshot struct {
	at    time.Duration
	tiers []loopback.EndpointList
}

func newEndpointLists(r *rig) *endpointLists {
	return &endpointLists{rig: r, discoveryAddrs: map[string]string{}, dialAddresses: map[string]map[string]string{}, revisions: map[listKey]int{}}
}

// initialize creates the lists with all servers in their initial state. The caller holds mu.
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

// saveSnapshot stores a copy of the current lists. The caller holds mu.
func (l *endpointLists) saveSnapshot() {
	now := snapshot{at: l.rig.nodes.Now()}
	for _, t := range l.tiers {
		t.Endpoints = append([]loopback.Endpoint(nil), t.Endpoints...)
		now.tiers = append(now.tiers, t)
	}
	l.snapshots = append(l.snapshots, now)
}

// update applies a state change after the same delay as discovery.
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

// set applies a state change unless a newer one has replaced it.
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
		e.StartedMS = float64(l.rig.startWall.UnixNano()+int64(m.StartTime)) / float64(time.Millisecond)
	}
	l.saveSnapshot()
}

// DiscoveryAddr implements loopback.ListProvider.
func (l *endpointLists) DiscoveryAddr(base string) string { return l.discoveryAddrs[base] }

// BootstrapList implements loopback.ListProvider. It returns the list with which a node starts, as the scenario specifies.
func (l *endpointLists) BootstrapList(base string, tier int) loopback.EndpointList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	list := l.tiers[tier]
	if l.rig.scenario.Fleet.BootstrapList == scenario.BootstrapOld {
		list = l.listAt(tier, l.rig.nodes.Now()-l.rig.scenario.Fleet.BootstrapAge)
	}
	bootstrap := loopback.EndpointList{Seq: max(1, list.Seq-versionLag), Complete: true, Endpoints: []loopback.Endpoint{}}
	if l.rig.scenario.Fleet.BootstrapList == scenario.BootstrapNone {
		bootstrap.Seq = 0
		return bootstrap
	}
	for _, e := range list.Endpoints {
		e.Dial = l.dialAddresses[base][e.Host]
		bootstrap.Endpoints = append(bootstrap.Endpoints, e)
	}
	return bootstrap
}

// listAt returns a tier's list at a time, or the initial list for an earlier time. The caller holds mu.
func (l *endpointLists) listAt(tier int, at time.Duration) loopback.EndpointList {
	list := l.snapshots[0].tiers[tier]
	for _, s := range l.snapshots {
		if s.at <= at {
			list = s.tiers[tier]
		}
	}
	return list
}
