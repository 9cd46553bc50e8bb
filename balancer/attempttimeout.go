// Attempt time-out: how long an attempt may take.

package balancer

import "time"

const (
	// attemptTimeoutDeviations is how many deviations above the mean latency an attempt is given up for a
	// retry.
	attemptTimeoutDeviations = 5.0
	// minTimeoutSamples is how many successes of a class must be known before its latency bounds an
	// attempt: as many as its moving averages rest on.
	minTimeoutSamples = 1 / sampleWeight
	// maxErrorRateToRetryEarly is the share of failed attempts above which none is given up early.
	maxErrorRateToRetryEarly = 0.03
)

// attemptTimeout is how long an attempt that starts now is waited for. All but Idempotent classes wait for
// the whole time that the request has left. Input: that time, the class's latencies, the retry budget and
// the share of failures. Output: the time left, or less where a retry may follow.
//
// A machine that is cut off takes requests and says nothing: one that waits there to the end has no time
// left for a retry, and fails. But where many attempts take long the cause is load: what is given up is
// worked on all the same, and sent again adds to it. So it takes a class that may run twice, a known
// latency, budget for a retry, few failures, and enough time for the retry.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	c, left := r.class, r.deadline-b.now
	timeout := c.latencyBound(attemptTimeoutDeviations)
	mayRunTwice := c.Effect == Idempotent && b.mayRetry(r)
	latencyKnown := c.samples >= minTimeoutSamples
	budgetForRetry := b.retryBalance >= retryCost
	fewFailures := b.errorRate <= maxErrorRateToRetryEarly
	timeForRetry := left-timeout > time.Duration(c.meanLatency)
	if mayRunTwice && latencyKnown && budgetForRetry && fewFailures && timeForRetry {
		return timeout
	}
	return left
}
