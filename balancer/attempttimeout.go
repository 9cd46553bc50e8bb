// Attempt timeout: how long an attempt may take.

package balancer

import "time"

const (
	// attemptTimeoutDeviations is the number of deviations above the mean latency after which an attempt is
	// abandoned for a retry.
	attemptTimeoutDeviations = 5.0
	// minTimeoutSamples is how many successes of a class must be known before its latency limits an attempt:
	// as many as count in its moving averages.
	minTimeoutSamples = 1 / sampleWeight
	// maxErrorRateToRetryEarly is the share of failed attempts above which no attempt is abandoned early.
	maxErrorRateToRetryEarly = 0.03
)

// attemptTimeout returns how long to wait for an attempt that starts now. Requests of all classes except
// Idempotent ones wait for all of their remaining time. Input: that time, the latencies of the class, the
// retry budget and the share of failed attempts. Output: the remaining time, or less if a retry may follow.
//
// Requests sent to a machine that is cut off from the network are neither rejected nor answered: a request
// that waits there until its deadline has no time left for a retry, and fails. But if many attempts take
// long, the cause is load: servers keep working on abandoned attempts, and retries add to that load. An
// attempt is therefore abandoned early only if the request may run twice, the latency of its class is known,
// the budget covers a retry, few attempts fail, and enough time remains for the retry.
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
