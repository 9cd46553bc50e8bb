// Shedding: which requests are worth most when not all can be served.

package balancer

const (
	// minArrivals is how many recent requests a class must have to be taken for the worst served.
	minArrivals = 1
	// minDivisor stands in for a count or a sum that is zero.
	minDivisor = 1e-9
)

// sheddingValue is what an answer to a request adds to the value of all answers, per nanosecond of server
// time. Input: the priority weights, the recent counts of each class, and its mean latency. Requests of the
// least value wait longest, and are shed when their queue deadlines pass.
//
// The class whose requests are answered in time least often counts extra, by WorstClassWeight: by priority
// weights alone the cheapest class would get nothing at all in a long overload. A client's retry counts as
// a late answer, for its latency objective is mostly over.
func (b *Balancer) sheddingValue(r *request) float64 {
	c := r.class
	total, worst := b.offeredValue(c)
	value := b.settings.TotalValueWeight * c.PriorityWeight / max(total, minDivisor)
	if worst == c {
		value += b.settings.WorstClassWeight / max(c.arrivals, minDivisor)
	}
	if r.clientRetry {
		value *= c.LateCredit
	}
	return value / c.meanLatency
}

// offeredValue is the value of all recent requests, and the class that is served worst: that with the
// lowest share of answers in time, a given one where none is lower.
func (b *Balancer) offeredValue(worst *class) (total float64, worstServed *class) {
	for _, c := range b.classList {
		total += c.PriorityWeight * c.arrivals
		if c.arrivals > minArrivals && c.served*worst.arrivals < worst.served*c.arrivals {
			worst = c
		}
	}
	return total, worst
}

// countAdmitted notes that a request was sent, and countShed that one was answered without an attempt.
func (p *pool) countAdmitted() { moveTowards(&p.shedShare, 0, slowSampleWeight) }

func (p *pool) countShed() { moveTowards(&p.shedShare, 1, slowSampleWeight) }
