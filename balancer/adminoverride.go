// Servers out by hand: what operators take out stays out until they put it back, whatever discovery says.

package balancer

import (
	"errors"
	"maps"
	"time"
)

const (
	MaxOverrides = 1024        // MaxOverrides is how many ids are remembered.
	feedAfter    = time.Second // when a server put back and still unused is given a request; owed within 5 s
)

// hand is what operators said of a server last.
type hand struct {
	out  bool
	back time.Duration // when it was put back
}

// Why a server can't be taken out or put back.
var (
	ErrUnknownServer    = errors.New("no such server")
	ErrTooManyOverrides = errors.New("too many servers are out by hand")
)

// IsDisabled says that a server is out by hand.
func (b *Balancer) IsDisabled(id string) bool { return b.hands[id].out }

// CheckOverride says whether a Hand would be followed: its server is listed or out, and can be remembered.
func (b *Balancer) CheckOverride(id string) error {
	s, h := b.servers[id], b.hands[id]
	if !h.out && (s == nil || !s.listed) {
		return ErrUnknownServer
	}
	b.forgetHands()
	if _, known := b.hands[id]; !known && len(b.hands) >= MaxOverrides {
		return ErrTooManyOverrides
	}
	return nil
}

// forgetHands drops what was put back so long ago that it is warm.
func (b *Balancer) forgetHands() {
	maps.DeleteFunc(b.hands, func(_ string, h hand) bool {
		return !h.out && b.now >= h.back+b.set.SlowStartDuration
	})
}

// takeHand takes a server out, or puts it back as one that has just started: its operators have restarted it,
// and what was learned before is of its earlier process. Saying it again changes nothing.
func (b *Balancer) takeHand(e AdminOverride) {
	if b.CheckOverride(e.Server) != nil || b.hands[e.Server].out == e.Disabled {
		return
	}
	b.hands[e.Server] = hand{out: e.Disabled, back: b.now}
	if s := b.servers[e.Server]; s != nil && !e.Disabled {
		*s = server{Server: s.Server, listed: s.listed, open: s.open, back: b.now, hungry: b.now + feedAfter}
	}
	b.relist()
}

// starved gives a server that was put back and got nothing since, if the request may go there. A cold server
// is drawn seldom, and where traffic is thin it could wait long; one call at a time is none too many for it.
func (b *Balancer) starved(r *request) *server {
	for _, s := range r.class.pool.ready {
		due := s.hungry > 0 && b.now >= s.hungry && s.calls() == 0 && b.roomy(s) > 0
		if due && !b.unfit(s, r) && b.inScope(r, s) {
			return s
		}
	}
	return nil
}
