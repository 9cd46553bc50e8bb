// Requests that wait: for a server with room, or for their turn among those of one key.

package balancer

import (
	"slices"
	"strconv"
	"time"
)

// joinLine puts a request behind the earlier ones of its key. False: the line is so long that its turn
// would come too late, and waiting there would only keep its client from what else it can do.
func (b *Balancer) joinKeyQueue(r *request, key uint64) bool {
	l := b.keyQueues[key]
	if l == nil {
		l = &keyQueue{key: key}
	}
	if float64(len(l.requests))*r.class.meanLatency > float64(b.queueDeadline(r)-b.now) {
		return false
	}
	r.keyQueue, b.keyQueues[key] = l, l
	l.requests = append(l.requests, r)
	return true
}

// onTurn says that the order of its key lets a request go. The next one goes only when the one before is
// over, has no attempt without an outcome, and the key has rested; the head may be sent again at once.
func (b *Balancer) keyOrderAllows(r *request) bool {
	l := r.keyQueue
	return l == nil || l.requests[0] == r && (len(r.attempts) > 0 || b.now >= l.quietUntil)
}

// settle drops a line that is empty and rested, and asks for a timer while it rests: then the next one goes.
func (b *Balancer) settleKeyQueue(l *keyQueue) {
	switch {
	case l == nil:
	case b.now < l.quietUntil:
		b.emit(SetTimer{At: l.quietUntil, Token: "k:" + strconv.FormatUint(l.key, 10)})
	case len(l.requests) == 0:
		delete(b.keyQueues, l.key)
	}
}

// hold keeps a request back; its timer makes sure that it is answered.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) || r.class.pool.allDisabled || b.listUnreliable() {
		b.giveUp(r)
		return
	}
	if !r.queued {
		r.queued = true
		r.class.pool.queued = append(r.class.pool.queued, r)
	}
	b.setQueueTimer(r, b.queueDeadline(r))
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		r.queued = false
		p := r.class.pool
		p.queued = slices.DeleteFunc(p.queued, func(h *request) bool { return h == r })
	}
}

// holdUntil is how long holding makes sense: until an answer may well miss the aim, for late answers take the
// room of those in time. Then the client is told when to come back, also where there is no server at all.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	aim := r.class.LatencyObjective
	return min(r.deadline-2*b.settings.Tick, r.arrived+max(aim/4, aim-r.class.latencyBound(2)))
}

// release sends held requests while their pools have room, the most valuable first.
func (b *Balancer) dispatchQueued() {
	for _, p := range b.pools {
		for (p.allDisabled || b.listUnreliable()) && len(p.queued) > 0 {
			b.giveUp(p.queued[0])
		}
		for len(p.queued) > 0 && !b.windowFull(p) {
			var best *request
			for _, r := range p.queued {
				// Of equal value the youngest goes, for it has most time left.
				if b.keyOrderAllows(r) && (best == nil || b.sheddingValue(r) >= b.sheddingValue(best)) {
					best = r
				}
			}
			if best == nil {
				break
			}
			s := b.chooseServer(best)
			if s == nil {
				break
			}
			b.send(best, s)
		}
	}
}

// value is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is worth least; the class served worst counts extra, so none starves.
func (b *Balancer) sheddingValue(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, k := range b.classList {
		total += k.PriorityWeight * k.arrivals
		if k.arrivals > 1 && k.served*worst.arrivals < worst.served*k.arrivals {
			worst = k
		}
	}
	v := b.settings.TotalValueWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.settings.WorstClassWeight / max(c.arrivals, 1e-9)
	}
	if r.clientRetry { // its aim runs from the client's first try and is mostly over
		v *= c.LateCredit
	}
	return v / c.meanLatency
}
