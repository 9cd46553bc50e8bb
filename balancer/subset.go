// Subsetting: which part of the servers this replica draws from.

package balancer

import (
	"math"
	"slices"
)

const (
	// minSubset is the smallest number of servers that a replica draws from: when one or two of them fail,
	// others are left.
	minSubset = 4.0
	// subsetPerAttempt is how many more servers a replica draws from for each own attempt in flight, so that
	// a busy replica does not queue its requests at few servers.
	subsetPerAttempt = 0.5
	// ringStep is the distance between the starts of the segments of consecutive replicas, as a fraction of
	// the ring. Multiples of the golden ratio spread evenly over a ring, for any number of replicas.
	ringStep = 0.618
)

// subsetShare returns the share of each group that this replica draws from, from 0 to 1. Input: the servers
// of a list and the recent peak of own attempts in flight. With many replicas and many servers, draws from
// the whole list would make each replica keep connections to every server until connection tables fill up.
// Its own counts would be zero at nearly every server, and would say nothing about the load.
func (p *pool) subsetShare(list []*server) float64 {
	return min(1, (minSubset+subsetPerAttempt*p.peakInFlight)/float64(max(1, len(list))))
}

// ringSegment returns a share of a group, treated as a ring. The replica's index determines where the segment
// starts, so that the segments of all replicas cover the servers evenly. A change of the list moves the
// segment only a little.
func (b *Balancer) ringSegment(group []*server, share float64) []*server {
	_, offset := math.Modf(ringStep * float64(b.settings.ReplicaIndex))
	start := int(offset * float64(len(group)))
	end := start + int(math.Ceil(share*float64(len(group))))
	if wrapped := end - len(group); wrapped > 0 {
		return slices.Concat(group[start:], group[:wrapped])
	}
	return group[start:end]
}
