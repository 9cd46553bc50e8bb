// Subsetting: the part of the servers that this replica draws from.

package balancer

import (
	"math"
	"slices"
)

const (
	// minSubset is how many servers a replica draws from at least: enough that one or two that fail leave
	// others.
	minSubset = 4.0
	// subsetPerAttempt is how many more it draws from for each own attempt in flight, so that a busy replica
	// does not queue its requests at few servers.
	subsetPerAttempt = 0.5
	// ringStep is where the segment of one replica starts behind that of the one before, as a part of the
	// ring. The multiples of the golden section lie evenly in a ring, however many replicas there are.
	ringStep = 0.618
)

// subsetShare is the part of each group that this replica draws from, from 0 to 1. Input: the servers of a
// list and the recent peak of own attempts. Were it the whole list, each of many replicas
// would keep connections to each of many servers until connection tables fill up, and own counts, spread
// thin, would be zero nearly everywhere and tell nothing of the load.
func (p *pool) subsetShare(list []*server) float64 {
	return min(1, (minSubset+subsetPerAttempt*p.peakInFlight)/float64(max(1, len(list))))
}

// ringSegment is a part of a group, taken as a ring. The replica's index says where it starts, so that the
// segments of all replicas cover the servers evenly; a change of the list moves it by little.
func (b *Balancer) ringSegment(group []*server, share float64) []*server {
	_, offset := math.Modf(ringStep * float64(b.settings.ReplicaIndex))
	start := int(offset * float64(len(group)))
	end := start + int(math.Ceil(share*float64(len(group))))
	if wrapped := end - len(group); wrapped > 0 {
		return slices.Concat(group[start:], group[:wrapped])
	}
	return group[start:end]
}
