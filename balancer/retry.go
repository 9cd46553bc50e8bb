// Retry eligibility: which requests may be retried.

package balancer

import "slices"

// minRetryTimeDivisor: a retry needs at least half of the class's mean latency before the deadline. With less
// time its answer would nearly always be too late.
const minRetryTimeDivisor = 2

// mayRetry reports whether the effect of a request's class and the limit on attempts allow another attempt
// now. Input: the attempts so far and their outcomes. A request that may have run must not run again, unless
// its class is idempotent or the servers still discard duplicates of it. Otherwise a payment could be made
// twice, which only the stored data would show. A request whose client has part of a response is not retried.
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

// retryOrGiveUp handles an unanswered request that has no attempt in flight. It retries the request if
// mayRetry allows that, the retry budget covers it, enough time is left for an answer and a server is
// eligible. Otherwise it gives the final answer.
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
