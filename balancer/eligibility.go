// Which servers may be drawn for a request: room, scope, slow start.

package balancer

import (
	"math"
	"slices"
)

// eligible gives those of each group that may be drawn: in scope, untried, fit, warm enough, with room and,
// while any are, not crowded. The last groups may be drawn from without room.
func (b *Balancer) eligibleServers(r *request, left, right []*server, last bool) (okLeft, okRight []*server) {
	list := slices.Concat(left, right)
	unfit := b.excludeOutliers(r, list)
	limits := []func(*server) int{b.concurrencyCap(list), b.capacityLimit}
	if last {
		limits = append(limits, func(*server) int { return math.MaxInt })
	}
	busy := 0.0
	for _, s := range list {
		if s.inFlightCount() > 0 {
			busy += 1 / float64(len(list))
		}
	}
	for _, limit := range limits {
		for i, s := range list {
			if unfit[i] || s.inFlightCount() >= limit(s) || !b.mayServe(r, s) || !b.slowStartAdmits(s, busy) {
				continue
			}
			if i < len(left) {
				okLeft = append(okLeft, s)
			} else {
				okRight = append(okRight, s)
			}
		}
		if len(okLeft)+len(okRight) > 0 {
			break
		}
	}
	return okLeft, okRight
}

// crowd gives the own calls at which a server is passed over: draws that met it twice would choke it.
func (b *Balancer) concurrencyCap(list []*server) func(*server) int {
	calls := 0
	for _, s := range list {
		calls += s.inFlightCount()
	}
	return func(s *server) int { return min(b.capacityLimit(s), 1+calls/len(list)) }
}

// roomy is the count of own calls at which a server is passed over because it refused one more: its queue
// or connections are full, and refusals drain its count. It is not ill: the health cap is not for it.
func (b *Balancer) capacityLimit(s *server) int {
	if b.now < s.capacityLimitUntil {
		return s.capacityLimit
	}
	return math.MaxInt
}

// inScope keeps a request from servers tried before, and a keyed one that may have run in its scope.
func (b *Balancer) mayServe(r *request, s *server) bool {
	scope := r.class.DedupScope
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		outside := scope != ScopeAll && a.zone != s.Zone || scope == ScopeCell && a.cell != s.Cell
		return a.server == s || r.class.Effect == IdempotentWithKey && !a.neverRan && outside
	})
}

// warmEnough thins the draw of a cold server to the share of a warm one's capacity that it surely has, and
// keeps it to one own call at a time: many nodes that each send a little would push it over together. Being
// idle, it wins against all busy servers, up to twice as often as a warm one: busy, the share of those, takes
// that back. The multiple is left for bursts: half of it, where it is under two.
func (b *Balancer) slowStartAdmits(s *server, busy float64) bool {
	age := b.now - s.startedAt()
	if s.startedAt() <= 0 || age >= b.settings.SlowStartDuration {
		return true
	}
	grown := max(0, float64(age)/float64(b.settings.SlowStartDuration))
	share := (b.settings.SlowStartMinShare + (1-b.settings.SlowStartMinShare)*grown) / (1 + busy)
	if m := b.settings.OverloadMultiple; m > 0 {
		share *= min(1, m/2)
	}
	return s.inFlightCount() == 0 && b.rng.Float64() < share
}
