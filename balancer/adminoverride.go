// Administrative override: servers that operators disable stay out of service until they enable them again,
// whatever discovery says. Discovery may list a server as ready while its operators repair it; sending to it
// would fail requests that others could serve.

package balancer

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// MaxOverrides is how many servers' overrides are remembered.
const MaxOverrides = 1024

// firstRequestDelay is when a server that was enabled and is still unused is given a request. Operators who
// enable a server look for its first requests within 5 s.
const firstRequestDelay = time.Second

// override is what operators said of a server last.
type override struct {
	disabled  bool
	enabledAt time.Duration // when it was enabled again
}

// Why a server can't be disabled or enabled.
var (
	// ErrUnknownServer: the server is neither on the endpoint list nor disabled. Check its ID.
	ErrUnknownServer = errors.New("no such server")
	// ErrTooManyOverrides: MaxOverrides are remembered already. Enable servers that need not be disabled. The
	// text is an answer of the admin API (docs/operations.md); "out by hand" there means disabled.
	ErrTooManyOverrides = errors.New("too many servers are out by hand")
)

// IsDisabled says that a server is disabled by an operator.
func (b *Balancer) IsDisabled(id string) bool { return b.overrides[id].disabled }

// DisabledServers are the IDs of the servers that are disabled by an operator, sorted.
func (b *Balancer) DisabledServers() (ids []string) {
	for id, o := range b.overrides {
		if o.disabled {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RestoreDisabled disables servers that were disabled before the node started, up to MaxOverrides. It comes
// before any event.
func (b *Balancer) RestoreDisabled(ids []string) {
	for _, id := range ids[:min(len(ids), MaxOverrides)] {
		b.overrides[id] = override{disabled: true}
	}
}

// CheckOverride says whether an AdminOverride would be followed: its server is listed or disabled, and can
// be remembered. The error is ErrUnknownServer or ErrTooManyOverrides.
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

// removeExpiredOverrides drops servers that were enabled so long ago that their slow start is over.
func (b *Balancer) removeExpiredOverrides() {
	maps.DeleteFunc(b.overrides, func(_ string, o override) bool {
		return !o.disabled && b.now >= o.enabledAt+b.settings.SlowStartDuration
	})
}

// applyOverride disables a server, or enables it as one that has just started: its operators have restarted
// it, and what was learned before is of its earlier process. Saying the same again changes nothing.
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

// serverDueFirstRequest gives a server that was enabled and is unused since, if the request may go there; else
// nil. A server in slow start is drawn seldom, and in light traffic its operators would wait long to see
// whether it works. One attempt at a time is none too many for it.
func (b *Balancer) serverDueFirstRequest(r *request) *server {
	for _, s := range r.class.pool.inService {
		due := s.firstRequestDue > 0 && b.now >= s.firstRequestDue
		if due && s.inFlightCount() == 0 && b.capacityLimit(s) > 0 && !b.isOutlier(s, r) && b.mayServe(r, s) {
			return s
		}
	}
	return nil
}
