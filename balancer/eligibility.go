// Eligibility: which servers may be drawn for a request.

package balancer

import (
	"math"
	"slices"
)

// eligibleServers gives those of each group that may be drawn for a request: neither excluded as outliers
// nor tried before, within the deduplication scope, admitted by slow start, and with capacity. While any
// are, only those under the concurrency cap; as a last resort, also those at their capacity limit: a server
// that has rejected an attempt may have capacity again, and the request has nowhere else to go.
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
			// The draw of slow start comes last: a server that is passed over anyway draws nothing.
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

// unlimited is the limit of a server without one.
func unlimited(*server) int { return math.MaxInt }

// busyShare is the share of servers, from 0 to 1, that have own attempts in flight.
func busyShare(list []*server) float64 {
	share := 0.0
	for _, s := range list {
		if s.inFlightCount() > 0 {
			share += 1 / float64(len(list))
		}
	}
	return share
}

// concurrencyCap gives the number of own attempts at which a server is passed over: one more than the mean
// of the list. Draws that happen to meet one server twice would choke it while others idle.
func (b *Balancer) concurrencyCap(list []*server) func(*server) int {
	attempts := 0
	for _, s := range list {
		attempts += s.inFlightCount()
	}
	return func(s *server) int { return min(b.capacityLimit(s), 1+attempts/len(list)) }
}

// mayServe keeps a request from servers that it was tried at before. One that is idempotent with a key, and
// may have run, stays within the scope whose servers discard its duplicates: outside it would run twice.
func (b *Balancer) mayServe(r *request, s *server) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.server == s || r.class.Effect == IdempotentWithKey && !a.neverRan && !a.sharesScope(s)
	})
}

// sharesScope says that a server discards duplicates of an attempt.
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
