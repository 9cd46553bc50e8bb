// Queue discipline: how long requests wait for a server or for their turn, and which is sent first.

package balancer

import "time"

const (
	// deadlineMarginTolerances is how long before a deadline the Balancer acts, in multiples of the host's
	// timer tolerance: one tolerance because the Balancer's timer may fire late, and one for the answer to
	// reach the client.
	deadlineMarginTolerances = 2
	// minQueueTimeDivisor: a request may wait for at least a quarter of its latency objective.
	minQueueTimeDivisor = 4
	// queueLatencyDeviations is how many deviations above the mean latency are reserved for the answer to a
	// queued request.
	queueLatencyDeviations = 2
)

// deadlineMargin returns how long before a deadline the Balancer acts.
func (b *Balancer) deadlineMargin() time.Duration {
	return deadlineMarginTolerances * b.settings.TimerTolerance
}

// queueDeadline returns the clock time until which a request may stay queued. Input: the request's latency
// objective, its deadline and the latencies of its class. Output: the time after which its answer would
// probably miss the latency objective. The request is then rejected with a Retry-After. The queue deadline
// also applies while no server is in service.
//
// Late answers use up the capacity for timely ones. Queueing each request until its deadline would fill the
// queue with requests whose clients are about to time out and retry, and these retries would sustain the
// overload. The symptoms are full queues, busy servers and nothing but late answers.
//
// The latency objective is measured from the client's first try. When the client retries, most of that time
// has passed, so the retry is usually either sent or rejected immediately.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	objective := r.class.LatencyObjective
	wait := max(objective/minQueueTimeDivisor, objective-r.class.latencyBound(queueLatencyDeviations))
	return min(r.deadline-b.deadlineMargin(), r.firstTriedAt+wait)
}

// enqueue queues a request until a server may take it, and sets a timer so that it is answered even if no
// server becomes available. It answers the request immediately if waiting is useless: the queue deadline has
// passed, the lease on the endpoint list has expired, or operators have disabled all servers of the pool.
func (b *Balancer) enqueue(r *request) {
	p := r.class.pool
	if b.now >= b.queueDeadline(r) || p.allDisabled || b.endpointListExpired() {
		b.giveUp(r)
		return
	}
	if !r.queued {
		r.queued = true
		p.queued = append(p.queued, r)
	}
	b.setQueueTimer(r, b.queueDeadline(r))
}

// dequeue removes a request from its pool's queue, if it is queued.
func (b *Balancer) dequeue(r *request) {
	if r.queued {
		r.queued = false
		p := r.class.pool
		p.queued = removeRequest(p.queued, r)
	}
}

// setQueueTimer sets a timer to check a queued request at the given time, unless a pending timer fires by
// then.
func (b *Balancer) setQueueTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: timerToken(queueTimer, r)})
}

// handleQueueTimer answers a queued request whose queue deadline has passed, or sets its timer again.
func (b *Balancer) handleQueueTimer(r *request) {
	if r == nil {
		return
	}
	if b.isDue(r.timerAt) {
		r.timerAt = 0
	}
	if r.queued {
		b.enqueue(r)
	}
}

// dispatchQueued sends queued requests while the window and the servers of their pool have capacity. It also
// answers queued requests once waiting has become useless (enqueue). Handle calls it after every event.
func (b *Balancer) dispatchQueued() {
	for _, p := range b.pools {
		for (p.allDisabled || b.endpointListExpired()) && len(p.queued) > 0 {
			b.giveUp(p.queued[0])
		}
		for len(p.queued) > 0 && !b.windowFull(p) {
			r := b.nextQueued(p.queued)
			if r == nil {
				break
			}
			s := b.chooseServer(r)
			if s == nil {
				break
			}
			b.send(r, s)
		}
	}
}

// nextQueued returns the queued request to send next: among the requests that the order of their keys allows
// to be sent, the one with the highest shedding value. If several have that value, it returns the one that
// was queued last, which has the most time left. It returns nil if no request may be sent.
func (b *Balancer) nextQueued(queued []*request) *request {
	var best *request
	for _, r := range queued {
		if b.keyOrderAllows(r) && (best == nil || b.sheddingValue(r) >= b.sheddingValue(best)) {
			best = r
		}
	}
	return best
}
