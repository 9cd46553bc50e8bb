// Client retries: which requests are a client's second or later try.

package balancer

import "time"

const (
	// shortBudgetShare is the part of the typical budget below which a request counts as a retry. The budget
	// is the time from the arrival of a request to its deadline. The rest of the typical budget covers the
	// time that a first try spends in transit.
	shortBudgetShare = 0.95
	// budgetStepDivisor: the typical budget moves by a hundredth of itself with each request.
	budgetStepDivisor = 100
)

// detectClientRetry determines whether a request is a retry by its client, and if so, when the client made
// its first try. Input: the time that the request has on arrival, and the client's mark if clients mark their
// retries. Output: clientRetry and firstTriedAt. The latency objective of a retry is measured from the first
// try and has mostly passed: where load must be shed, the first tries of other clients are worth more.
//
// Clients give each try the same time, unless the deadline of the class, which covers all tries, is sooner. A
// shorter budget therefore shows how much of that deadline has passed. If clients mark retries, only the mark
// counts, because a last try may be given more time than the first. Only tier 0 receives requests from
// clients; at other tiers, a budget is the time that the previous tier has left. firstTriedAt is an estimate:
// the deadline of the request minus the Deadline of the class, as if the client had set the deadline of the
// request with its first try.
func (b *Balancer) detectClientRetry(r *request) {
	budget, c := r.deadline-b.now, r.class
	c.updateTypicalBudget(budget)
	short := float64(budget) < shortBudgetShare*float64(c.typicalBudget)
	if b.settings.Tier == 0 && (r.clientRetry || short && !b.settings.ClientsMarkRetries) {
		r.firstTriedAt = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// updateTypicalBudget moves the typical budget towards the median of the budgets of requests, by the same
// step for each request. A mean would be raised by the long budgets of one client, and the first tries of all
// other clients would look like retries.
func (c *class) updateTypicalBudget(budget time.Duration) {
	switch {
	case c.typicalBudget == 0:
		c.typicalBudget = budget
	case budget > c.typicalBudget:
		c.typicalBudget += c.typicalBudget / budgetStepDivisor
	default:
		c.typicalBudget -= c.typicalBudget / budgetStepDivisor
	}
}
