// The list of servers: what discovery says of them, and which of them each pool uses first.

package balancer

import (
	"slices"
	"strings"
	"time"
)

const initialWindowPerServer = 5.0 // own calls admitted per server before anything is known

// takeList applies news of the servers. A new boot time resets what is known of a server.
func (b *Balancer) applyEndpointUpdate(e EndpointUpdate) {
	if e.Complete {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, n := range e.Servers {
		s := b.servers[n.ID]
		if s == nil {
			s = &server{enabledAt: b.overrides[n.ID].enabledAt}
			b.servers[n.ID] = s
		} else if s.startedAt() != max(n.StartTime, s.enabledAt) {
			*s = server{inFlight: s.inFlight, enabledAt: s.enabledAt}
		}
		s.Server = n
		s.listed = n.State != Removed
	}
	b.refreshPools()
	if e.Cached {
		b.schedulePoll()
	} else {
		b.pollFailures = 0
	}
}

// unreliable says that a list is held and has expired. Before the first list there is nothing to send on, and
// its arrival is waited for.
func (b *Balancer) listUnreliable() bool { return b.leaseExpired && len(b.servers) > 0 }

// relist finds the servers in service of every pool: listed as ready, and not out by hand.
func (b *Balancer) refreshPools() {
	var ready, handed []*server
	for id, s := range b.servers {
		if !s.listed && s.inFlightCount() == 0 {
			delete(b.servers, id)
		} else if s.listed && s.State == Ready && b.overrides[id].disabled {
			handed = append(handed, s)
		} else if s.listed && s.State == Ready {
			ready = append(ready, s)
		}
	}
	// The shared order: every copy sorts by id, which all see alike.
	slices.SortFunc(ready, func(s, t *server) int { return strings.Compare(s.ID, t.ID) })
	for _, p := range b.pools {
		before := len(p.ready)
		p.ready = slices.DeleteFunc(slices.Clone(ready), func(s *server) bool { return !p.allows(s) })
		p.allDisabled = len(p.ready) == 0 && slices.ContainsFunc(handed, p.allows)
		if len(p.ready) < before { // what servers that went took must not crowd those that stay
			p.window *= float64(len(p.ready)) / float64(before)
		}
	}
	for _, p := range b.pools {
		b.preferServers(p)
	}
}

// share finds the servers that a pool's classes use first: those of the own zone, if any, and of these the
// ones that no narrower pool depends on, if any, for its classes have nowhere else to go. What they leave to
// narrower pools is no part of their fair share: the floors of two windows must not crowd one server.
func (b *Balancer) preferServers(p *pool) {
	needed := func(s *server) bool {
		return slices.ContainsFunc(b.pools, func(q *pool) bool {
			return len(q.ready) < len(p.ready) && q.allows(s)
		})
	}
	home, own := excludeUnlessAll(p.ready, func(s *server) bool { return s.Zone != b.settings.Zone }), p.ready
	if p.preferred = excludeUnlessAll(home, needed); len(p.preferred) < len(home) {
		own = excludeUnlessAll(p.ready, needed)
	}
	p.serversPerReplica = float64(len(own)) / float64(max(1, b.settings.Replicas))
	if p.window == 0 {
		p.floorServers = p.serversPerReplica
		p.window = initialWindowPerServer * p.floorServers
	}
}

// without leaves out what is not wanted, unless that is all.
func excludeUnlessAll(list []*server, unwanted func(*server) bool) []*server {
	if kept := slices.DeleteFunc(slices.Clone(list), unwanted); len(kept) > 0 {
		return kept
	}
	return list
}

// open says that the placement of a pool's classes lets them go to a server.
func (p *pool) allows(s *server) bool {
	return (p.allowedZones == nil || slices.Contains(p.allowedZones, s.Zone)) &&
		(p.allowedKinds == nil || slices.Contains(p.allowedKinds, s.Kind))
}

// askAgain plans a Subscribe where the list must be asked for. Jitter keeps copies from swamping discovery
// together; the wait doubles with each failure but leaves time for two tries within MaxPollInterval.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollDiscovery {
		return
	}
	most := b.settings.MaxPollInterval / 4
	wait := min(most, most/16<<min(b.pollFailures, 4))
	b.nextPoll = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.nextPoll, Token: "list"})
}
