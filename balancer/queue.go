// Queue discipline: requests that wait for a server or for their turn.

package balancer

import "time"

const (
	// deadlineMarginTolerances is how long before a deadline the Balancer acts, in tolerances of the host's
	// timers: one by which its own timer may be late, and one in which the answer reaches the client.
	deadlineMarginTolerances = 2
	// minQueueTimeDivisor: a request may wait for at least a quarter of its latency objective.
	minQueueTimeDivisor = 4
	// queueLatencyDeviations is how many deviations above the mean latency are left for the answer to a queued
	// request.
	queueLatencyDeviations = 2
)

// deadlineMargin is the time before a deadline that is left for timers and the way to the client.
func (b *Balancer) deadlineMargin() time.Duration {
	return deadlineMarginTolerances * b.settings.TimerTolerance
}

// queueDeadline is the clock time until which it makes sense to queue a request. Input: its latency
// objective, its deadline and the latencies of its class. Output: the time from which its answer may well
// miss the objective. Then the client is rejected and told when to come back, also where there is no server
// at all.
//
// Late answers take the capacity of those in time. Waiting to the request's own deadline would fill the
// queue with requests whose clients are about to give up and ask again, which is how an overload feeds
// itself: it shows as full queues, busy servers, and answers that all come late.
//
// It counts from the client's first try. Of a client's retry it is mostly over; then the request is sent at
// once or rejected at once.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	objective := r.class.LatencyObjective
	wait := max(objective/minQueueTimeDivisor, objective-r.class.latencyBound(queueLatencyDeviations))
	return min(r.deadline-b.deadlineMargin(), r.firstTriedAt+wait)
}

// enqueue keeps a request until a server may take it; its timer makes sure that it is answered. One that
// waits in vain is answered at once: past its queue deadline, without a list to rely on, or with all
// servers disabled.
func (b *Balancer) enqueue(r *request) {
	p := r.class.pool
	if b.now >= b.queueDeadline(r) || p.allDisabled || b.listUnreliable() {
		b.giveUp(r)
		return
	}
	if !r.queued {
		r.queued = true
		p.queued = append(p.queued, r)
	}
	b.setQueueTimer(r, b.queueDeadline(r))
}

// dequeue takes a request out of the queue, if it is in it.
func (b *Balancer) dequeue(r *request) {
	if r.queued {
		r.queued = false
		p := r.class.pool
		p.queued = removeRequest(p.queued, r)
	}
}

// setQueueTimer asks for a look at a queued request, unless one is due by then already.
func (b *Balancer) setQueueTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: timerToken(queueTimer, r)})
}

// handleQueueTimer answers a queued request that has waited long enough, or sets its timer anew.
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

// dispatchQueued sends queued requests after every event, while their pools' windows and servers have
// capacity.
func (b *Balancer) dispatchQueued() {
	for _, p := range b.pools {
		for (p.allDisabled || b.listUnreliable()) && len(p.queued) > 0 {
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

// nextQueued is the queued request to send next: that of the highest shedding value whose turn it is. Of
// equal value the youngest goes, for it has most time left; nil if no request may go.
func (b *Balancer) nextQueued(queued []*request) *request {
	var best *request
	for _, r := range queued {
		if b.keyOrderAllows(r) && (best == nil || b.sheddingValue(r) >= b.sheddingValue(best)) {
			best = r
		}
	}
	return best
}
