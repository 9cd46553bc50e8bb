// Servers out by hand: what operators take out stays out until they put it back, whatever discovery says.

package balancer

import (
	"errors"
	"maps"
	"time"
)

const (
	MaxOverrides      = 1024        // MaxOverrides is how many ids are remembered.
	firstRequestAfter = time.Second // when a server put back and still unused is given a request; owed within 5 s
)

// hand is what operators said of a server last.
type override struct {
	disabled  bool
	enabledAt time.Duration // when it was put back
}

// Why a server can't be taken out or put back.
var (
	ErrUnknownServer    = errors.New("no such server")
	ErrTooManyOverrides = errors.New("too many servers are out by hand")
)

// IsDisabled says that a server is out by hand.
func (b *Balancer) IsDisabled(id string) bool { return b.overrides[id].disabled }

// CheckOverride says whether a Hand would be followed: its server is listed or out, and can be remembered.
func (b *Balancer) CheckOverride(id string) error {
	s, h := b.servers[id], b.overrides[id]
	if !h.disabled && (s == nil || !s.listed) {
		return ErrUnknownServer
	}
	b.forgetOldOverrides()
	if _, known := b.overrides[id]; !known && len(b.overrides) >= MaxOverrides {
		return ErrTooManyOverrides
	}
	return nil
}

// forgetHands drops what was put back so long ago that it is warm.
func (b *Balancer) forgetOldOverrides() {
	maps.DeleteFunc(b.overrides, func(_ string, h override) bool {
		return !h.disabled && b.now >= h.enabledAt+b.settings.SlowStartDuration
	})
}

// takeHand takes a server out, or puts it back as one that has just started: its operators have restarted it,
// and what was learned before is of its earlier process. Saying it again changes nothing.
func (b *Balancer) applyOverride(e AdminOverride) {
	if b.CheckOverride(e.Server) != nil || b.overrides[e.Server].disabled == e.Disabled {
		return
	}
	b.overrides[e.Server] = override{disabled: e.Disabled, enabledAt: b.now}
	if s := b.servers[e.Server]; s != nil && !e.Disabled {
		*s = server{Server: s.Server, listed: s.listed, inFlight: s.inFlight, enabledAt: b.now, firstRequestDue: b.now + firstRequestAfter}
	}
	b.refreshPools()
}

// starved gives a server that was put back and got nothing since, if the request may go there. A cold server
// is drawn seldom, and where traffic is thin it could wait long; one call at a time is none too many for it.
func (b *Balancer) firstRequestOwed(r *request) *server {
	for _, s := range r.class.pool.ready {
		due := s.firstRequestDue > 0 && b.now >= s.firstRequestDue && s.inFlightCount() == 0 && b.capacityLimit(s) > 0
		if due && !b.isOutlier(s, r) && b.mayServe(r, s) {
			return s
		}
	}
	return nil
}
