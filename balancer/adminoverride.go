// Administrative override: a server that operators disable stays out of service until they enable it again,
// whatever discovery reports. Discovery may list a server as ready while its operators repair it, and
// requests sent to it would fail although other servers could serve them.

package balancer

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// MaxOverrides is the maximum number of servers whose overrides are remembered.
const MaxOverrides = 1024

// firstRequestDelay is how long a server that was enabled may stay unused before it is given a request.
// Operators who enable a server look for its first requests within 5 s.
const firstRequestDelay = time.Second

// override is the last instruction of operators for a server.
type override struct {
	disabled  bool
	enabledAt time.Duration // when it was last enabled
}

// Reasons why a server cannot be disabled or enabled.
var (
	// ErrUnknownServer means that the server is neither on the endpoint list nor disabled. Check its ID.
	ErrUnknownServer = errors.New("no such server")
	// ErrTooManyOverrides means that MaxOverrides overrides are remembered already. Enable servers that need
	// not be disabled. The text is part of the admin API (docs/operations.md); "out by hand" in it means
	// disabled by an operator.
	ErrTooManyOverrides = errors.New("too many servers are out by hand")
)

// IsDisabled reports whether a server is disabled by an operator.
func (b *Balancer) IsDisabled(id string) bool { return b.overrides[id].disabled }

// DisabledServers returns the sorted IDs of the servers that are disabled by an operator.
func (b *Balancer) DisabledServers() (ids []string) {
	for id, o := range b.overrides {
		if o.disabled {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RestoreDisabled disables servers that were disabled before the node started, at most MaxOverrides. It must
// be called before the first event.
func (b *Balancer) RestoreDisabled(ids []string) {
	for _, id := range ids[:min(len(ids), MaxOverrides)] {
		b.overrides[id] = override{disabled: true}
	}
}

// CheckOverride returns nil if an AdminOverride of a server would be applied: the server is listed or
// disabled, and its override can be remembered. Otherwise the error is ErrUnknownServer or
// ErrTooManyOverrides.
func (b *Balancer) CheckOverride(id string) error {
	s := b.servers[id]
	if !b.IsDisabled(id) && (s == nil || !s.listed) {
		return ErrUnknownServer
	}
	b.removeExpiredOverrides()
	if _, known := b.overrides[id]; !known && len(b.overrides) >= MaxOverrides {
		return ErrTooManyOverrides
	}
	return nil
}

// removeExpiredOverrides removes the overrides of servers that were enabled so long ago that their slow start
// is over.
func (b *Balancer) removeExpiredOverrides() {
	maps.DeleteFunc(b.overrides, func(_ string, o override) bool {
		return !o.disabled && b.now >= o.enabledAt+b.settings.SlowStartDuration
	})
}

// applyOverride disables a server, or enables it as one that has just started: its operators are assumed to
// have restarted it, so what was learned about its previous process is dropped. Repeating an override changes
// nothing.
func (b *Balancer) applyOverride(e AdminOverride) {
	if b.CheckOverride(e.Server) != nil || b.IsDisabled(e.Server) == e.Disabled {
		return
	}
	b.overrides[e.Server] = override{disabled: e.Disabled, enabledAt: b.now}
	if s := b.servers[e.Server]; s != nil && !e.Disabled {
		*s = server{
			Server:          s.Server,
			listed:          s.listed,
			inFlight:        s.inFlight,
			enabledAt:       b.now,
			firstRequestDue: b.now + firstRequestDelay,
		}
	}
	b.refreshPools()
}

// serverDueFirstRequest returns a server that has been unused since it was enabled, is due its first request
// and may serve this one, or nil if there is none. A server in slow start is chosen rarely, and in light
// traffic its operators would wait long to see whether it works. It gets one attempt at a time, which does
// not overload even a cold server.
func (b *Balancer) serverDueFirstRequest(r *request) *server {
	for _, s := range r.class.pool.inService {
		due := s.firstRequestDue > 0 && b.now >= s.firstRequestDue
		if due && s.inFlightCount() == 0 && b.capacityLimit(s) > 0 && !b.isOutlier(s, r) && b.mayServe(r, s) {
			return s
		}
	}
	return nil
}
