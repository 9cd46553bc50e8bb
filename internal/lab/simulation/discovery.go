package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// discoveryDownFactor is how much longer than the poll interval a node without a watch may know nothing of a change while
// discovery is down: no poll brings it anything meanwhile, and from then on the rule holds it to the change anyway. The
// factor is a choice of the lab: room for some failed polls with their waits.
const discoveryDownFactor = 4

// discovery lists servers: late, and to the nodes that watch it.
type discovery struct {
	world       *World
	lists       [][]balancer.Server // by tier, in the order of the servers
	indexes     []map[string]int
	revisions   []map[string]uint64 // of each server's state; an older one that is listed later is stale
	watchers    []*node             // in the order of their polls
	down        bool
	queueFreeAt time.Duration // when the calls so far are done
}

func newDiscovery(w *World) *discovery {
	d := &discovery{world: w}
	for _, tierServers := range w.servers {
		var list []balancer.Server
		indexes := map[string]int{}
		for i, s := range tierServers {
			list = append(list, s.endpoint(i))
			indexes[s.ID] = i
		}
		d.lists, d.indexes, d.revisions = append(d.lists, list), append(d.indexes, indexes), append(d.revisions, map[string]uint64{})
	}
	return d
}

// updateEndpoint lists a server's state after a while.
func (d *discovery) updateEndpoint(s *server, state balancer.ServerState, wait time.Duration) {
	d.revisions[s.Tier][s.ID]++
	revision, startTime := d.revisions[s.Tier][s.ID], s.StartTime
	d.world.after(wait, func() {
		if d.revisions[s.Tier][s.ID] != revision {
			return
		}
		endpoint := &d.lists[s.Tier][d.indexes[s.Tier][s.ID]]
		endpoint.State, endpoint.StartTime = state, startTime
		update := []balancer.Server{*endpoint}
		for _, n := range d.watchers {
			if n.tier == s.Tier {
				d.notify(n, balancer.EndpointUpdate{Servers: update})
			}
		}
		if state != balancer.Ready {
			d.countAsNotified(s)
		}
	})
}

// countAsNotified has nodes that neither watch nor have polled for as long as they may count as notified that a server is
// not ready: the rule holds them to it.
func (d *discovery) countAsNotified(s *server) {
	revision := d.revisions[s.Tier][s.ID]
	incarnations := map[*node]int{}
	d.world.eachNode(func(n *node) {
		if n.tier == s.Tier && n.alive && !n.watching {
			incarnations[n] = n.incarnation
		}
	})
	if len(incarnations) == 0 {
		return
	}
	wait := d.world.scenario.Discovery.MaxPollInterval
	if d.down {
		wait *= discoveryDownFactor
	}
	d.world.after(wait, func() {
		d.world.eachNode(func(n *node) {
			incarnation, ok := incarnations[n]
			if ok && n.incarnation == incarnation && n.alive && !n.watching && d.revisions[s.Tier][s.ID] == revision {
				d.world.checker.EndpointNotified(d.world.now, n.name, s.ID, false)
				d.world.record(blackbox.Event{Kind: blackbox.EndpointNotified, Node: n.name, Server: s.ID})
			}
		})
	})
}

// notify brings an update to a node, after those before it.
func (d *discovery) notify(n *node, update balancer.EndpointUpdate) {
	at := d.world.now + time.Duration(d.world.rng.Float64()*float64(d.world.scenario.Discovery.NotifySpread))
	n.lastNotified = max(n.lastNotified, at)
	incarnation := n.incarnation
	d.world.at(n.lastNotified, func() {
		if n.incarnation == incarnation && n.alive {
			n.receiveUpdate(update)
		}
	})
}

// poll is a node's call: it waits in the queue, and fails when it has waited too long.
func (d *discovery) poll(n *node) {
	settings := d.world.scenario.Discovery
	if d.down {
		d.failPoll(n, roundTrip(d.world.scenario.Network.ServerLatency))
		return
	}
	callTime := time.Duration(float64(time.Second) / settings.CallsPerSecond)
	d.queueFreeAt = max(d.queueFreeAt, d.world.now) + callTime
	if d.queueFreeAt-d.world.now > settings.CallTimeout {
		d.queueFreeAt -= callTime
		d.failPoll(n, settings.CallTimeout)
		return
	}
	incarnation := n.incarnation
	d.world.at(d.queueFreeAt, func() {
		switch {
		case n.incarnation != incarnation || !n.alive:
		case d.down:
			d.failPoll(n, d.world.scenario.Network.ServerLatency)
		default:
			d.startWatch(n)
		}
	})
}

// failPoll tells a node after a while that its poll has failed.
func (d *discovery) failPoll(n *node, wait time.Duration) {
	incarnation := n.incarnation
	d.world.after(wait, func() {
		if n.incarnation == incarnation && n.alive {
			n.handle(balancer.WatchFailed{})
		}
	})
}

// startWatch begins a node's watch with the complete list.
func (d *discovery) startWatch(n *node) {
	if !n.watching {
		n.watching = true
		d.watchers = append(d.watchers, n)
	}
	d.notify(n, balancer.EndpointUpdate{Complete: true, Servers: slices.Clone(d.lists[n.tier])})
}

// endWatch ends a node's watch from its side.
func (d *discovery) endWatch(n *node) {
	n.watching = false
	d.watchers = slices.DeleteFunc(d.watchers, func(o *node) bool { return o == n })
}

// applyChange takes discovery down, up or to another address. Watches end with it; where lists are pushed they come back
// by themselves.
func (d *discovery) applyChange(kind model.ChangeKind) {
	d.down = kind == model.DiscoveryDown
	pushed := !d.world.scenario.Discovery.Polled
	if kind == model.DiscoveryUp {
		if pushed {
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
		incarnation := n.incarnation
		d.world.after(d.world.jitter(d.world.scenario.Network.ServerLatency), func() {
			switch {
			case n.incarnation != incarnation || !n.alive:
			case !pushed:
				n.handle(balancer.WatchFailed{})
			case !d.down:
				d.startWatch(n)
			}
		})
	}
}
