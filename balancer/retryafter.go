package balancer

import "time"

// retryAfterDivisor is the part of the latency objective after which a rejected client should come back.
const retryAfterDivisor = 10

// RetryAfter is the time after which a rejected client of a class is asked to come back: a part of the
// latency objective, at most MaxRetryAfter. Hosts ask for it too, for a stream that a server rejected.
// Zero: no advice.
//
// A client that is kept away for long comes back when its latency objective is mostly over, and its late
// answer takes the capacity of one in time. One that comes back at once finds the same overload and uses up
// its few tries.
func (s Settings) RetryAfter(c Class) time.Duration {
	return min(s.MaxRetryAfter, c.LatencyObjective/retryAfterDivisor)
}
