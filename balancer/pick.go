// The choice of a server: two groups of the shared order, one draw from each, the fewer own calls win.

package balancer

import (
	"math"
	"slices"
)

const (
	leftGroupShare    = 0.5   // share of the list in the left group
	minSubset         = 4.0   // servers that a copy draws from at least
	subsetPerCall     = 0.5   // more of them for each own call in flight
	minCrossZoneShare = 0.03  // share that leaves the nearest anyway, so that the copy learns of the others
	crossZoneGain     = 0.25  // excess of log latency at the nearest that leaving them must win back
	ringStep          = 0.618 // copies' stretches start at its multiples, which lie evenly in a ring
)

// choose cuts the shared order into the two groups and picks among the eligible servers of the copy's
// stretch of each, or of the whole groups when its stretches leave none. Crossing zones costs time and has a
// price, and narrower pools need their servers: the nearest alone are drawn from, but for what spills.
func (b *Balancer) chooseServer(r *request) *server {
	if b.listUnreliable() {
		return nil
	}
	p := r.class.pool
	if s := b.firstRequestOwed(r); s != nil {
		return s
	}
	lists := [][]*server{p.preferred, p.ready, p.ready}
	if n := len(p.preferred); n == 0 || n == len(p.ready) || b.rng.Float64() < max(p.crossZoneShare, minCrossZoneShare) {
		lists = lists[1:]
	}
	for i, list := range lists {
		last, part := i == len(lists)-1, p.subsetShare(list)
		if last {
			part = 1
		}
		left, right := b.splitGroups(list, part)
		if left, right = b.eligibleServers(r, left, right, last); len(left)+len(right) > 0 {
			return b.pickFromGroups(left, right)
		}
	}
	return nil
}

// pick draws one server uniformly from each group: the fewer own calls win, equal counts above zero go left,
// and at zero the side is drawn by the groups' shares. An empty group leaves the draw to the other.
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

func (b *Balancer) drawServer(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}

// compare learns from a latency whether requests should leave the nearest servers: while these are slower
// than the others by more than spillGain, more do, whatever the reason; else fewer.
func (p *pool) learnZoneLatency(home bool, ratio float64) {
	side := &p.otherLatency
	if home {
		side = &p.preferredLatency
	}
	*side += sampleWeight * (ratio - *side)
	if p.preferredLatency > p.otherLatency+crossZoneGain {
		p.crossZoneShare += sampleWeight / 2 * (1 - p.crossZoneShare)
	} else {
		p.crossZoneShare -= sampleWeight / 2 * p.crossZoneShare
	}
}

// groups are the left and the right group of a list, or this copy's part of each.
func (b *Balancer) splitGroups(list []*server, part float64) (left, right []*server) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	return b.ringSegment(list[:cut], part), b.ringSegment(list[cut:], part)
}

// reach is the part of each group that this copy draws from. Were it the whole, connection tables would fill
// up, and own calls, spread thin, would tell nothing. It grows with the calls out in a hot copy.
func (p *pool) subsetShare(list []*server) float64 {
	return min(1, (minSubset+subsetPerCall*p.peakInFlight)/float64(max(1, len(list))))
}

// stretch is a part of a group, taken as a ring. The copies' numbers say where it starts, so that the
// stretches of all copies cover the servers evenly; a change of the list moves it by little.
func (b *Balancer) ringSegment(group []*server, part float64) []*server {
	_, at := math.Modf(ringStep * float64(b.settings.ReplicaIndex))
	start := int(at * float64(len(group)))
	end := start + int(math.Ceil(part*float64(len(group))))
	if over := end - len(group); over > 0 {
		return slices.Concat(group[start:], group[:over])
	}
	return group[start:end]
}
