// Retry eligibility: which requests may be tried again.

package balancer

import "slices"

// minRetryTimeDivisor: a retry needs at least half of the class's mean latency, or its answer would nearly
// always come after the deadline.
const minRetryTimeDivisor = 2

// mayRetry says that the effect of a request's class and the limits allow one more attempt now. Input: the
// attempts so far and their outcomes. A request that may have run must not run again, unless its class is
// idempotent, or its servers still discard duplicates: a payment would be made twice, which shows only in
// the data. Once the client has part of a response there is nothing to retry.
func (b *Balancer) mayRetry(r *request) bool {
	if r.answered || r.streaming || len(r.attempts) >= r.maxAttempts {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		dedupWindowOver := b.now >= a.sentAt+r.class.DedupWindow-b.deadlineMargin()
		mustNotRunAgain := r.class.Effect == NonIdempotent ||
			r.class.Effect == IdempotentWithKey && dedupWindowOver
		return !a.neverRan && mustNotRunAgain
	})
}

// retryOrGiveUp decides what follows when no attempt of a request is out any more: a retry, where one may
// follow, the budget covers it and there is time for its answer; else the final answer.
func (b *Balancer) retryOrGiveUp(r *request) {
	left := float64(r.deadline - b.now)
	cost := costOfRetry(r)
	var s *server
	if b.mayRetry(r) && b.retryBalance >= cost && left >= r.class.meanLatency/minRetryTimeDivisor {
		s = b.chooseServer(r)
	}
	if s == nil {
		b.giveUp(r)
		return
	}
	b.retryBalance -= cost
	b.send(r, s)
}
