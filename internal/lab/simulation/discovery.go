package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// discoveryDownFactor multiplies the time after which a node without a watch counts as notified of a change while
// discovery is down. No poll succeeds during the outage, so the longer time leaves room for some failed polls and the
// waits between them.
const discoveryDownFactor = 4

// discovery models the discovery service. It lists each change of a server after a delay and notifies the nodes that
// watch it.
type discovery struct {
	world       *World
	lists       [][]balancer.Server // by tier, in the order of the servers
	indexes     []map[string]int
	revisions   []map[string]uint64 // of each server's state; a delayed update with an older revision is dropped
	watchers    []*node             // in the order of their polls
	down        bool
	queueFreeAt time.Duration // when all calls in the queue are done
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

// updateEndpoint lists a new state of a server after a delay and notifies the watchers of its tier.
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

// countAsNotified makes nodes that do not watch count as notified that a server is not ready, once the longest time
// between two polls has passed. From then on the checker holds them to the change.
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

// notify delivers an update to a node after a random delay, but not before earlier updates.
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

// poll handles a node's poll. Polls wait in a queue; one that would wait longer than its timeout fails.
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

// failPoll tells a node after a delay that its poll has failed.
func (d *discovery) failPoll(n *node, wait time.Duration) {
	incarnation := n.incarnation
	d.world.after(wait, func() {
		if n.incarnation == incarnation && n.alive {
			n.handle(balancer.WatchFailed{})
		}
	})
}

// startWatch starts a node's watch and sends the node the complete list.
func (d *discovery) startWatch(n *node) {
	if !n.watching {
		n.watching = true
		d.watchers = append(d.watchers, n)
	}
	d.notify(n, balancer.EndpointUpdate{Complete: true, Servers: slices.Clone(d.lists[n.tier])})
}

// endWatch ends a node's watch because the node's incarnation ends.
func (d *discovery) endWatch(n *node) {
	n.watching = false
	d.watchers = slices.DeleteFunc(d.watchers, func(o *node) bool { return o == n })
}

// applyChange takes discovery down, brings it up or moves it to another address. Watches end when it goes down or
// moves. If lists are pushed, watches start again without a poll as soon as discovery is up.
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
