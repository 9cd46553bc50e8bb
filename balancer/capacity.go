// Capacity limits learned from rejections.

package balancer

import (
	"math"
	"time"
)

const (
	// capacityLimitLatencies is how long a capacity limit holds, in mean latencies of the class that was
	// rejected: long enough for a queue to drain.
	capacityLimitLatencies = 12
	// minCapacityJitter is the least factor on that time. The factor is drawn from here to one more, so
	// that replicas which were rejected together do not come back together.
	minCapacityJitter = 0.5
)

// capacityLimit is the number of own attempts at which a server is passed over because it rejected one
// more. Input: what learnRejection and learnCapacity have learned of the server. Output: attempts at once,
// math.MaxInt for no limit.
//
// The queue or the connections of such a server are full, and rejections, being quick, drain its count:
// without the limit it would win most draws and reject them all. That shows as a burst of Overloaded or
// Unreachable outcomes from a few servers while others have capacity. The server is not an outlier, and
// maxExcludedShare does not bind: all servers may be at their limits.
func (b *Balancer) capacityLimit(s *server) int {
	if b.now < s.capacityLimitUntil {
		return s.capacityLimit
	}
	return math.MaxInt
}

// recordRejection limits a server that has rejected an attempt, or could not be reached, to the attempts
// that it has. The time doubles with each rejection in a row.
func (b *Balancer) recordRejection(s *server, c *class) {
	s.capacityLimit = s.inFlightCount()
	jitter := minCapacityJitter + b.rng.Float64()
	first := time.Duration(jitter * capacityLimitLatencies * c.meanLatency)
	s.capacityLimitUntil = b.now + first<<s.consecutiveRejections
	s.consecutiveRejections = min(s.consecutiveRejections+1, maxBackoffLevel)
}

// relaxCapacityLimit raises the limit of a server that has answered while it had all the attempts of its limit:
// its queue has moved on.
func (s *server) relaxCapacityLimit() {
	if s.inFlightCount()+1 >= s.capacityLimit {
		s.capacityLimit++
	}
	s.consecutiveRejections = 0
}
