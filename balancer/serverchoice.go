// The choice of a server.

package balancer

import "math"

// leftGroupShare is the part of the shared order that is the left group. Halves give both draws the same
// choice.
const leftGroupShare = 0.5

// chooseServer chooses a server for the next attempt of a request, or nil if none may take it now.
//
// Input: the request and what is known of the servers. Rule: the servers in service, in an order that all
// replicas share, are cut into two groups. One server is drawn from each, and the one with fewer own
// attempts in flight wins (pickFromGroups). Two draws spread the load nearly as well as a full comparison,
// and avoid what that would lead to: all replicas sending to the one server that looks least loaded. Own
// counts are used because they are exact and at once up to date.
//
// The candidates are, one list after another until one has an eligible server: this replica's subset of the
// preferred servers, unless the request crosses zones; its subset of all servers; all servers, where also
// capacity limits no longer bind.
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

// chooseFrom chooses among the eligible servers of a share of both groups of a list, nil if there are none.
func (b *Balancer) chooseFrom(r *request, list []*server, share float64, lastResort bool) *server {
	left, right := b.splitGroups(list, share)
	return b.pickFromGroups(b.eligibleServers(r, left, right, lastResort))
}

// splitGroups are the left and the right group of a list, or this replica's share of each.
func (b *Balancer) splitGroups(list []*server, share float64) (left, right []*server) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	return b.ringSegment(list[:cut], share), b.ringSegment(list[cut:], share)
}

// pickFromGroups draws one server uniformly from each group. The fewer own attempts in flight win, equal
// counts above zero go left, and at zero the side is drawn by the sizes of the groups. An empty group
// leaves the draw to the other.
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

// drawServer draws one of a group uniformly, nil from an empty one.
func (b *Balancer) drawServer(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}
