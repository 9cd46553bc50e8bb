// Capacity limits learned from rejections.

package balancer

import (
	"math"
	"time"
)

const (
	// capacityLimitLatencies is how long a capacity limit lasts, in mean latencies of the class that was
	// rejected: long enough for a queue to drain.
	capacityLimitLatencies = 12
	// minCapacityJitter is the smallest factor by which this duration is multiplied. The factor is drawn
	// between minCapacityJitter and minCapacityJitter+1, so that replicas that were rejected together do not
	// return together.
	minCapacityJitter = 0.5
)

// capacityLimit returns the number of this Balancer's attempts in flight at which a server is no longer
// eligible, because it has rejected an attempt beyond that number. Input: what recordRejection and
// relaxCapacityLimit have learned about the server. Output: concurrent attempts, math.MaxInt for no limit.
//
// The queue or the connections of such a server are full. Because it rejects quickly, it has few attempts in
// flight: without the limit it would win most draws and reject all these attempts. The symptom is a burst of
// Overloaded or Unreachable outcomes from a few servers while others have capacity. Such a server is not an
// outlier, and maxExcludedShare does not apply: all servers may be at their limits.
func (b *Balancer) capacityLimit(s *server) int {
	if b.now < s.capacityLimitUntil {
		return s.capacityLimit
	}
	return math.MaxInt
}

// recordRejection limits a server that has rejected an attempt, or could not be reached, to the attempts that
// it still has in flight. The duration of the limit doubles with each consecutive rejection.
func (b *Balancer) recordRejection(s *server, c *class) {
	s.capacityLimit = s.inFlightCount()
	jitter := minCapacityJitter + b.rng.Float64()
	first := time.Duration(jitter * capacityLimitLatencies * c.meanLatency)
	s.capacityLimitUntil = b.now + first<<s.consecutiveRejections
	s.consecutiveRejections = min(s.consecutiveRejections+1, maxBackoffLevel)
}

// relaxCapacityLimit raises the limit of a server that has answered while it had as many attempts as its
// limit allows, which shows that it is working through its queue. It also ends the server's run of
// rejections.
func (s *server) relaxCapacityLimit() {
	if s.inFlightCount()+1 >= s.capacityLimit {
		s.capacityLimit++
	}
	s.consecutiveRejections = 0
}
