// Retry budget: how many retries the successes pay for.
//
// Without a budget, the retries of all tiers multiply: three attempts at each of three tiers are 27 attempts
// at the last tier, exactly when it is overloaded. With the budget, isolated failures are retried at once,
// and retries stop when most attempts fail. The symptom of a spent budget is requests that are answered after
// one failed attempt.

package balancer

const (
	// retriesPerSuccess is how many retries a success pays for: about one request in seven may be retried.
	retriesPerSuccess = 0.15
	// maxRetryBalance is how many retries can be saved up for a burst of failures, as when a server dies.
	maxRetryBalance = 10
	// initialRetryBalance is how many retries are allowed before the first success.
	initialRetryBalance = maxRetryBalance / 2
	// retryCost is what a retry takes from the balance.
	retryCost = 1.0
	// neverRanRetryCost is what a retry takes from the balance if the last attempt never ran, and so cost the
	// servers almost nothing.
	neverRanRetryCost = 0.1
)

// refillRetryBudget adds to the balance the retries that a success pays for.
func (b *Balancer) refillRetryBudget() {
	b.retryBalance = min(maxRetryBalance, b.retryBalance+retriesPerSuccess)
}

// costOfRetry returns what a retry takes from the balance. The request must have had an attempt.
func costOfRetry(r *request) float64 {
	if r.attempts[len(r.attempts)-1].neverRan {
		return neverRanRetryCost
	}
	return retryCost
}
