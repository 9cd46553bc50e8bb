// Client retries: which requests are a client's second or later try.

package balancer

import "time"

const (
	// shortBudgetShare is the part of the typical budget under which a request is taken for a retry. The
	// rest covers the time that a first try spends on its way.
	shortBudgetShare = 0.95
	// budgetStepDivisor: the typical budget moves by a hundredth of itself with each request.
	budgetStepDivisor = 100
)

// detectClientRetry finds out whether a request is a retry by its client, and if so when the client asked
// first. Input: the time that the request came with, and the client's mark where clients mark their
// retries. Output: clientRetry and firstAskedAt. A retry's latency objective runs from the first try and is
// mostly over: where load must be shed, the first tries of others are worth more.
//
// Clients give each try the same time, unless the class's deadline, which runs over all of them, ends
// sooner: a shorter budget tells how much of the deadline is over. Where clients mark retries only the mark
// counts, for a last try may be given more time than the first. Only tier 0 hears clients; elsewhere
// budgets are what is left at the tier above. firstAskedAt is an estimate: the class's Deadline
// before the deadline of the request, as if the client had set that with its first try.
func (b *Balancer) detectClientRetry(r *request) {
	budget, c := r.deadline-b.now, r.class
	c.learnBudget(budget)
	short := float64(budget) < shortBudgetShare*float64(c.typicalBudget)
	if b.settings.Tier == 0 && (r.clientRetry || short && !b.settings.ClientsMarkRetries) {
		r.firstTriedAt = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// learnBudget moves the typical budget towards the median of the budgets that come, by as much for each. A
// mean would be raised by one client's long budgets, and everybody else's first tries would look like
// retries.
func (c *class) learnBudget(budget time.Duration) {
	switch {
	case c.typicalBudget == 0:
		c.typicalBudget = budget
	case budget > c.typicalBudget:
		c.typicalBudget += c.typicalBudget / budgetStepDivisor
	default:
		c.typicalBudget -= c.typicalBudget / budgetStepDivisor
	}
}
