// The endpoint list: what discovery reports about the servers, and which of them each pool may use.

package balancer

import (
	"slices"
	"strings"
)

// applyEndpointUpdate applies an endpoint list or a change of it. A server that has restarted is treated as a
// new one: what was learned about its previous process is dropped.
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

// refreshPools updates the servers in service of every pool: those listed as ready and not disabled. A window
// shrinks with its pool, because the attempts that a lost server handled must not overload the remaining
// ones. It does not grow with the pool.
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

// serversInService drops servers that have left the list and have no attempts in flight. It returns the
// servers in service, and those that are out of service only because an operator disabled them. The servers
// in service are sorted by ID, so that the order is the same at every replica.
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
