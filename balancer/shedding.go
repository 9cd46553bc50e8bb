// Shedding: which requests are worth most when not all can be served.

package balancer

const (
	// minArrivals is how many recent requests a class must have to be taken for the worst served.
	minArrivals = 1
	// minDivisor stands in for a divisor of zero: no class with a weight has had a request, or the settings
	// give no class a weight.
	minDivisor = 1e-9
)

// sheddingValue is what an answer to a request is worth, over the mean latency of its class: a share of the
// whole, per nanosecond of server time. Input: the priority weights, the recent counts of each class, and
// the mean latency. Requests of the least value wait longest, and are shed when their queue deadlines pass.
//
//	(TotalValueWeight*PriorityWeight/totalOfferedValue + WorstClassWeight/arrivals) * LateCredit / latency
//
// The first part is the request's share of the value of all recent requests. The second is for the class
// that is served worst alone: an answer raises the share of its requests that are answered by one over
// their number. By priority weights alone the cheapest class would get nothing at all in a long overload.
// LateCredit is for a client's retry alone, which counts as a late answer: its latency objective is mostly
// over.
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

// totalOfferedValue is the value of all recent requests by their priority weights.
func (b *Balancer) totalOfferedValue() (total float64) {
	for _, c := range b.classList {
		total += c.PriorityWeight * c.arrivals
	}
	return total
}

// worstServedClass is the class with the lowest share of its recent requests answered in time: a given one
// where none is lower. Classes with hardly a request are passed over.
func (b *Balancer) worstServedClass(worst *class) *class {
	for _, c := range b.classList {
		if c.arrivals > minArrivals && c.served*worst.arrivals < worst.served*c.arrivals {
			worst = c
		}
	}
	return worst
}

// recordAdmitted notes that a request was sent.
func (p *pool) recordAdmitted() { moveTowards(&p.shedShare, 0, slowSampleWeight) }

// recordShed notes that a request was answered without an attempt.
func (p *pool) recordShed() { moveTowards(&p.shedShare, 1, slowSampleWeight) }
