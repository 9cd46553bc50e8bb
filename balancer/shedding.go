// Load shedding: which requests are worth most when not all can be served.

package balancer

const (
	// minArrivals is the number of recent requests that a class must exceed to count as the worst served.
	minArrivals = 1
	// minDivisor replaces a divisor of zero, when no class with a weight has had a request or no class has a
	// weight.
	minDivisor = 1e-9
)

// sheddingValue returns the value of an answer to a request, divided by the mean latency of its class: a
// share of the total value per nanosecond of server time. Input: the priority weights, the recent counts of
// each class, and the mean latency. Requests of the lowest value wait longest, and are shed when their queue
// deadlines pass.
//
//	(TotalValueWeight*PriorityWeight/totalOfferedValue + WorstClassWeight/arrivals) * LateCredit / latency
//
// The first term is the request's share of the value of all recent requests. The second term applies only to
// the class that is served worst: one answer raises the answered share of its requests by 1/arrivals.
// With priority weights alone, the cheapest class would get no answers at all in a long overload. LateCredit
// applies only to a client's retry, whose answer counts as late because its latency objective is mostly over.
func (b *Balancer) sheddingValue(r *request) float64 {
	c := r.class
	value := b.settings.TotalValueWeight * c.PriorityWeight / max(b.totalOfferedValue(), minDivisor)
	if b.worstServedClass(c) == c {
		value += b.settings.WorstClassWeight / max(c.arrivals, minDivisor)
	}
	if r.clientRetry {
		value *= c.LateCredit
	}
	return value / c.meanLatency
}

// totalOfferedValue returns the sum of the priority weights of all recent requests.
func (b *Balancer) totalOfferedValue() (total float64) {
	for _, c := range b.classList {
		total += c.PriorityWeight * c.arrivals
	}
	return total
}

// worstServedClass returns the class with the lowest share of its recent requests answered in time, or the
// given class if no other share is lower. Other classes with almost no recent requests are skipped.
func (b *Balancer) worstServedClass(worst *class) *class {
	for _, c := range b.classList {
		if c.arrivals > minArrivals && c.served*worst.arrivals < worst.served*c.arrivals {
			worst = c
		}
	}
	return worst
}

// recordAdmitted updates the shed share for a request that is sent for the first time.
func (p *pool) recordAdmitted() { moveTowards(&p.shedShare, 0, slowSampleWeight) }

// recordShed updates the shed share for a request that is answered without an attempt.
func (p *pool) recordShed() { moveTowards(&p.shedShare, 1, slowSampleWeight) }
