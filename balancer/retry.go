// Retry eligibility: which requests may be retried.

package balancer

import "time"

// minRetryTimeDivisor: a request is retried only if at least half of the mean latency of its class is left
// until its deadline. With less time, the answer to the retry would nearly always be too late.
const minRetryTimeDivisor = 2

// mayRetry reports whether a request may be sent again now. This depends on the attempts so far and their
// outcomes, on the request's limit on attempts and on the effect of its class. A request whose client has
// received part of a response is not retried, because no other answer is possible.
func (b *Balancer) mayRetry(r *request) bool {
	if r.answered || r.streaming || len(r.attempts) >= r.maxAttempts {
		return false
	}
	return b.harmlessToRepeat(r, b.now)
}

// harmlessToRepeat reports whether a request may be sent at a clock time, by this node or by its client.
//
// A request that may have run must not run again, unless its class is idempotent or the servers still
// discard duplicates of it. Otherwise a payment could be made twice. No error would report this: only the
// stored data would show it.
func (b *Balancer) harmlessToRepeat(r *request, at time.Duration) bool {
	switch {
	case r.class.Effect == Idempotent || !r.mayHaveRun():
		return true
	case r.class.Effect == NonIdempotent:
		return false
	}
	return at < b.dedupWindowEnd(r)
}

// dedupWindowEnd returns the clock time until which the servers discard duplicates of a request with an
// idempotency key, or 0 if it never ran, so that there is no duplicate. The time is counted from the first
// attempt that may have run.
func (b *Balancer) dedupWindowEnd(r *request) time.Duration {
	if r.class.Effect != IdempotentWithKey {
		return 0
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			return a.sentAt + r.class.DedupWindow - b.deadlineMargin()
		}
	}
	return 0
}

// retryOrGiveUp handles an unanswered request that has no attempt in flight. It retries the request if
// mayRetry allows that, the retry budget covers it, enough time is left for an answer and a server is
// eligible. Otherwise giveUp answers the request.
func (b *Balancer) retryOrGiveUp(r *request) {
	timeLeft := float64(r.deadline - b.now)
	cost := costOfRetry(r)
	var s *server
	if b.mayRetry(r) && b.retryBalance >= cost && timeLeft >= r.class.meanLatency/minRetryTimeDivisor {
		s = b.chooseServer(r)
	}
	if s == nil {
		b.giveUp(r)
		return
	}
	b.retryBalance -= cost
	b.send(r, s)
}
