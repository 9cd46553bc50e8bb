// Server choice: which server is sent the next attempt of a request.

package balancer

import "math"

// leftGroupShare is the share of the servers that forms the left group. Two halves give both draws the same
// number of candidates.
const leftGroupShare = 0.5

// chooseServer chooses a server for the next attempt of a request. It returns nil if no server may take the
// attempt now.
//
// Input: the request and the state of the servers. Rule: the servers in service, in an order that all
// replicas share, are divided into two groups. One server is drawn from each group, and the one with fewer
// own attempts (those of this replica) in flight is chosen (pickFromGroups). Comparing all servers would make
// all replicas send to the one server that looks least loaded; two draws avoid that, and spread the load
// nearly as well. A replica counts only its own attempts, because that count is exact and always up to date.
//
// Three lists are tried in order, and the server is chosen from the first list that has an eligible one: this
// replica's subset of the preferred servers, unless the request crosses zones; this replica's subset of all
// servers in service; all servers in service, without regard to capacity limits.
func (b *Balancer) chooseServer(r *request) *server {
	if b.endpointListExpired() {
		return nil
	}
	if s := b.serverDueFirstRequest(r); s != nil {
		return s
	}
	p := r.class.pool
	if !b.crossesZones(p) {
		if s := b.chooseFrom(r, p.preferred, p.subsetShare(p.preferred), false); s != nil {
			return s
		}
	}
	if s := b.chooseFrom(r, p.inService, p.subsetShare(p.inService), false); s != nil {
		return s
	}
	return b.chooseFrom(r, p.inService, 1, true)
}

// chooseFrom chooses among the eligible servers in a share of each group of a list. It returns nil if there
// are none. As a last resort, servers at their capacity limit are eligible too.
func (b *Balancer) chooseFrom(r *request, list []*server, share float64, lastResort bool) *server {
	left, right := b.splitGroups(list, share)
	return b.pickFromGroups(b.eligibleServers(r, left, right, lastResort))
}

// splitGroups divides a list into the left and the right group, and returns the given share of each: the part
// of the group that this replica draws from.
func (b *Balancer) splitGroups(list []*server, share float64) (left, right []*server) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	return b.ringSegment(list[:cut], share), b.ringSegment(list[cut:], share)
}

// pickFromGroups draws one server uniformly from each group, and returns the one with fewer own attempts in
// flight. If both have the same number above zero, it returns the left one. If neither has any, it draws one
// of the two with probabilities in proportion to the sizes of their groups. If one group is empty, it draws
// from the other.
func (b *Balancer) pickFromGroups(left, right []*server) *server {
	if len(left) == 0 || len(right) == 0 {
		return b.drawServer(append(left, right...))
	}
	l, r := b.drawServer(left), b.drawServer(right)
	switch {
	case r.inFlightCount() < l.inFlightCount():
		return r
	case r.inFlightCount() > 0:
		return l
	case b.rng.IntN(len(left)+len(right)) < len(left):
		return l
	}
	return r
}

// drawServer draws one server of a group uniformly. It returns nil if the group is empty.
func (b *Balancer) drawServer(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}
