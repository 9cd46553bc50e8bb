// Further attempts: how long one is waited for, and whether another one may follow.

package balancer

import (
	"slices"
	"time"
)

const (
	trySpread  = 5.0  // deviations above the mean after which an attempt is given up for another one,
	tryErrors  = 0.03 // where no more than this share of all attempts ends badly
	retryEarn  = 0.15 // further attempts earned by a success
	retryPurse = 10   // most that can be saved up
	unsentCost = 0.1  // what a further attempt costs when the last one never ran
)

// patience is how long an attempt is waited for: to the deadline, unless another may follow. A machine that
// is cut off takes requests and says nothing: what has waited there to the end has no time left for another.
// Where many wait long it is the load: what is given up is worked on all the same, and sent again adds to it.
func (b *Balancer) patience(r *request) time.Duration {
	c, left := r.class, r.deadline-b.now
	if wait := c.longest(trySpread); c.Effect == Idempotent && c.samples >= 1/memory && b.tokens >= 1 &&
		b.errors <= tryErrors && b.maySendAgain(r) && left-wait > time.Duration(c.mean) {
		return wait
	}
	return left
}

// maySendAgain says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) maySendAgain(r *request) bool {
	if r.answered || r.streaming || len(r.attempts) >= r.most {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		expired := b.now >= a.sent+r.class.DedupWindow-2*b.set.Tick
		return !a.unsent &&
			(r.class.Effect == NonIdempotent || r.class.Effect == IdempotentWithKey && expired)
	})
}

// further decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) further(r *request) {
	left := float64(r.deadline - b.now)
	cost := 1.0
	if r.attempts[len(r.attempts)-1].unsent {
		cost = unsentCost
	}
	var s *server
	if b.maySendAgain(r) && b.tokens >= cost && left >= r.class.mean/2 {
		s = b.choose(r)
	}
	if s == nil {
		b.answer(r)
		return
	}
	b.tokens -= cost
	b.send(r, s)
}
