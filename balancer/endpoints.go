// The endpoint list: what discovery says of the servers, and which of them each pool may use.

package balancer

import (
	"slices"
	"strings"
)

// applyEndpointUpdate takes in the endpoint list or a change of it. A server that has started anew is a new
// one: what was learned of its earlier process is dropped.
func (b *Balancer) applyEndpointUpdate(e EndpointUpdate) {
	if e.Complete {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, entry := range e.Servers {
		s := b.servers[entry.ID]
		if s == nil {
			s = &server{enabledAt: b.overrides[entry.ID].enabledAt}
			b.servers[entry.ID] = s
		} else if s.startedAt() != max(entry.StartTime, s.enabledAt) {
			*s = server{inFlight: s.inFlight, enabledAt: s.enabledAt}
		}
		s.Server = entry
		s.listed = entry.State != Removed
	}
	b.refreshPools()
	if e.Cached {
		b.schedulePoll()
	} else {
		b.pollFailures = 0
	}
}

// refreshPools finds the servers in service of every pool: listed as ready, and not disabled. A window
// shrinks with its pool, for the attempts that a lost server took must not overload those that stay; it does
// not grow with the pool.
func (b *Balancer) refreshPools() {
	inService, disabled := b.serversInService()
	for _, p := range b.pools {
		before := len(p.inService)
		p.inService = slices.DeleteFunc(slices.Clone(inService), func(s *server) bool { return !p.allows(s) })
		p.allDisabled = len(p.inService) == 0 && slices.ContainsFunc(disabled, p.allows)
		if len(p.inService) < before {
			p.window *= float64(len(p.inService)) / float64(before)
		}
	}
	for _, p := range b.pools {
		b.updatePreferredServers(p)
	}
}

// serversInService forgets servers that have left, and returns those in service, and those that only an
// operator keeps out. The first are in the order of their IDs, which is the same at every replica.
func (b *Balancer) serversInService() (inService, disabled []*server) {
	for id, s := range b.servers {
		switch {
		case !s.listed && s.inFlightCount() == 0:
			delete(b.servers, id)
		case !s.listed || s.State != Ready:
		case b.overrides[id].disabled:
			disabled = append(disabled, s)
		default:
			inService = append(inService, s)
		}
	}
	slices.SortFunc(inService, func(s, t *server) int { return strings.Compare(s.ID, t.ID) })
	return inService, disabled
}
