package balancer

import "time"

// retryAfterDivisor: a rejected client is asked to retry after a tenth of its latency objective.
const retryAfterDivisor = 10

// RetryAfter returns the time after which a rejected client of a class is asked to retry: a fraction of the
// latency objective, at most MaxRetryAfter. Zero means that no Retry-After is sent. Hosts also call it for a
// stream that a server has rejected.
//
// A client that waits too long retries when its latency objective is mostly over, and its late answer uses up
// capacity for a timely one. A client that retries at once meets the same overload and uses up its few tries.
func (s Settings) RetryAfter(c Class) time.Duration {
	return min(s.MaxRetryAfter, c.LatencyObjective/retryAfterDivisor)
}
