// Per-key order: requests with the same key run one at a time, in order of arrival.

package balancer

import (
	"strconv"
	"time"
)

// keyQueue holds the open requests of one key, of all classes that are ordered by key, in order of arrival.
// The first request is the head of the queue. The queue is kept until it is empty and its quiet period is
// over.
type keyQueue struct {
	key        uint64
	requests   []*request
	quietUntil time.Duration // an earlier attempt may still be running: no other request starts before
}

// joinKeyQueue appends a request to the queue of its key. It returns false if the queue is so long that, by
// the mean latency of the class, the request's turn would come after its queue deadline. Waiting would then
// only keep the client from other options.
func (b *Balancer) joinKeyQueue(r *request, key uint64) bool {
	queue := b.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
	}
	expectedWait := float64(len(queue.requests)) * r.class.meanLatency
	if expectedWait > float64(b.queueDeadline(r)-b.now) {
		return false
	}
	r.keyQueue, b.keyQueues[key] = queue, queue
	queue.requests = append(queue.requests, r)
	return true
}

// keyOrderAllows reports whether the order of its key allows a request to be sent: it has no key, or it is
// the head of its queue and the quiet period is over. The next request is therefore sent only after the
// previous one is answered and has no attempt in flight. The head may be retried immediately, because it
// overtakes no other request. Without this order, two changes of the same object could be applied in the
// wrong order by servers that do not know of each other, and only the data would show it.
func (b *Balancer) keyOrderAllows(r *request) bool {
	queue := r.keyQueue
	return queue == nil || queue.requests[0] == r && (len(r.attempts) > 0 || b.now >= queue.quietUntil)
}

// startQuietPeriod starts the quiet period of a key after an attempt that may still be running at its server
// although it has ended here: without it, the next request could overtake that attempt.
func (b *Balancer) startQuietPeriod(r *request, outcome Outcome) {
	mayStillRun := outcome == TimedOut || outcome == ConnectionLost || outcome == Canceled
	if r.keyQueue != nil && mayStillRun {
		r.keyQueue.quietUntil = b.now + b.settings.KeyQuietPeriod
	}
}

// dropOrRearmKeyQueue sets a timer for the end of a key's quiet period, or drops its queue if the period is
// over and the queue is empty. It sends nothing: dispatchQueued, which runs after every event including that
// of the timer, sends the key's next request.
func (b *Balancer) dropOrRearmKeyQueue(queue *keyQueue) {
	switch {
	case queue == nil:
	case b.now < queue.quietUntil:
		token := keyTimer + ":" + strconv.FormatUint(queue.key, 10)
		b.emit(SetTimer{At: queue.quietUntil, Token: token})
	case len(queue.requests) == 0:
		delete(b.keyQueues, queue.key)
	}
}
