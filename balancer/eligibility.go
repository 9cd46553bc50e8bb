// Which servers may be drawn for a request: room, scope, slow start.

package balancer

import (
	"math"
	"slices"
)

// eligible gives those of each group that may be drawn: in scope, untried, fit, warm enough, with room and,
// while any are, not crowded. The last groups may be drawn from without room.
func (b *Balancer) eligible(r *request, left, right []*server, last bool) (okLeft, okRight []*server) {
	list := slices.Concat(left, right)
	unfit := b.ruledOut(r, list)
	limits := []func(*server) int{b.crowd(list), b.roomy}
	if last {
		limits = append(limits, func(*server) int { return math.MaxInt })
	}
	busy := 0.0
	for _, s := range list {
		if s.calls() > 0 {
			busy += 1 / float64(len(list))
		}
	}
	for _, limit := range limits {
		for i, s := range list {
			if unfit[i] || s.calls() >= limit(s) || !b.inScope(r, s) || !b.warmEnough(s, busy) {
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
func (b *Balancer) crowd(list []*server) func(*server) int {
	calls := 0
	for _, s := range list {
		calls += s.calls()
	}
	return func(s *server) int { return min(b.roomy(s), 1+calls/len(list)) }
}

// roomy is the count of own calls at which a server is passed over because it refused one more: its queue
// or connections are full, and refusals drain its count. It is not ill: the health cap is not for it.
func (b *Balancer) roomy(s *server) int {
	if b.now < s.full {
		return s.room
	}
	return math.MaxInt
}

// inScope keeps a request from servers tried before, and a keyed one that may have run in its scope.
func (b *Balancer) inScope(r *request, s *server) bool {
	scope := r.class.DedupScope
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		outside := scope != ScopeAll && a.zone != s.Zone || scope == ScopeCell && a.cell != s.Cell
		return a.srv == s || r.class.Effect == IdempotentWithKey && !a.unsent && outside
	})
}

// warmEnough thins the draw of a cold server to the share of a warm one's capacity that it surely has, and
// keeps it to one own call at a time: many nodes that each send a little would push it over together. Being
// idle, it wins against all busy servers, up to twice as often as a warm one: busy, the share of those, takes
// that back. The multiple is left for bursts: half of it, where it is under two.
func (b *Balancer) warmEnough(s *server, busy float64) bool {
	age := b.now - s.start()
	if s.start() <= 0 || age >= b.set.SlowStartDuration {
		return true
	}
	grown := max(0, float64(age)/float64(b.set.SlowStartDuration))
	share := (b.set.SlowStartMinShare + (1-b.set.SlowStartMinShare)*grown) / (1 + busy)
	if m := b.set.OverloadMultiple; m > 0 {
		share *= min(1, m/2)
	}
	return s.calls() == 0 && b.rng.Float64() < share
}
