// Retry budget: how many retries the successes pay for.
//
// Without a budget, the retries of every tier multiply: three attempts at each of three tiers are 27 at the
// last one, at the very time when that is overloaded. The budget lets single failures be retried at once,
// and stops retries when most attempts fail. It shows in failures that are answered after one attempt.

package balancer

const (
	// retriesPerSuccess is the retries that a success pays for: about one request in seven may be tried again.
	retriesPerSuccess = 0.15
	// maxRetryBalance is the retries that can be saved up, for a burst of failures as when a server dies.
	maxRetryBalance = 10
	// initialRetryBalance is the retries allowed before there is any success.
	initialRetryBalance = maxRetryBalance / 2
	// retryCost is what a retry takes from the balance.
	retryCost = 1.0
	// neverRanRetryCost is what it takes when the last attempt never ran: that has cost the servers next to
	// nothing.
	neverRanRetryCost = 0.1
)

// refillRetryBudget pays for a success.
func (b *Balancer) refillRetryBudget() {
	b.retryBalance = min(maxRetryBalance, b.retryBalance+retriesPerSuccess)
}

// costOfRetry is what a retry of a request with at least one attempt takes from the balance.
func costOfRetry(r *request) float64 {
	if r.attempts[len(r.attempts)-1].neverRan {
		return neverRanRetryCost
	}
	return retryCost
}
