// Eligibility: which servers may be chosen for a request.

package balancer

import (
	"math"
	"slices"
)

// eligibleServers returns the servers of each group that may be drawn for a request: they are not excluded as
// outliers, have not been tried before, are within the deduplication scope, are admitted by slow start, and
// have capacity. If any of them are below the concurrency cap, only these are returned. As a last resort,
// servers at their capacity limit are also eligible: a server that has rejected an attempt may have capacity
// again, and the request has nowhere else to go.
func (b *Balancer) eligibleServers(r *request, left, right []*server, lastResort bool) (
	eligibleLeft, eligibleRight []*server) {
	list := slices.Concat(left, right)
	excluded := b.excludeOutliers(r, list)
	limits := []func(*server) int{b.concurrencyCap(list), b.capacityLimit}
	if lastResort {
		limits = append(limits, unlimited)
	}
	busy := busyShare(list)
	for _, limit := range limits {
		for i, s := range list {
			// Slow start is checked last, because it uses a random number: none is drawn for a server that is
			// not eligible anyway.
			atLimit := s.inFlightCount() >= limit(s)
			if excluded[i] || atLimit || !b.mayServe(r, s) || !b.slowStartAdmits(s, busy) {
				continue
			}
			if i < len(left) {
				eligibleLeft = append(eligibleLeft, s)
			} else {
				eligibleRight = append(eligibleRight, s)
			}
		}
		if len(eligibleLeft)+len(eligibleRight) > 0 {
			break
		}
	}
	return eligibleLeft, eligibleRight
}

// unlimited is the limit function of servers without a limit.
func unlimited(*server) int { return math.MaxInt }

// busyShare returns the share of servers, from 0 to 1, at which this Balancer has attempts in flight.
func busyShare(list []*server) float64 {
	share := 0.0
	for _, s := range list {
		if s.inFlightCount() > 0 {
			share += 1 / float64(len(list))
		}
	}
	return share
}

// concurrencyCap returns a function that gives the number of this Balancer's attempts in flight at which a
// server is not eligible: one more than the mean of the list, or its capacity limit if that is lower. Without
// the cap, random draws that hit the same server twice would overload it while others are idle.
func (b *Balancer) concurrencyCap(list []*server) func(*server) int {
	attempts := 0
	for _, s := range list {
		attempts += s.inFlightCount()
	}
	return func(s *server) int { return min(b.capacityLimit(s), 1+attempts/len(list)) }
}

// mayServe reports whether server s may get the next attempt of a request: the request has not been tried
// there before and, if it is IdempotentWithKey and may have run, s is within the scope whose servers discard
// its duplicates. Outside that scope it would run twice.
func (b *Balancer) mayServe(r *request, s *server) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.server == s || r.class.Effect == IdempotentWithKey && !a.neverRan && !a.sharesScope(s)
	})
}

// sharesScope reports whether a server discards duplicates of an attempt.
func (a *attempt) sharesScope(s *server) bool {
	switch a.request.class.DedupScope {
	case ScopeAll:
		return true
	case ScopeCell:
		return a.zone == s.Zone && a.cell == s.Cell
	default:
		return a.zone == s.Zone
	}
}
