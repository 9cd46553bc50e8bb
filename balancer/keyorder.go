// Per-key order: requests of one key run one at a time, in the order of their arrival.

package balancer

import (
	"strconv"
	"time"
)

// keyQueue is the open requests of one key, of all classes that keep their order, as they arrived. The
// first is the head of the queue. It is kept until it is empty and its quiet period is over.
type keyQueue struct {
	key        uint64
	requests   []*request
	quietUntil time.Duration // an earlier attempt may still run: no other request starts before this
}

// joinKeyQueue puts a request behind the earlier ones of its key. False: the queue is so long that, by the
// mean latency of the class, its turn would come after its queue deadline. Waiting would only keep its
// client from what else it can do.
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

// keyOrderAllows says that the order of its key lets a request be sent: it is the head of its queue, and
// the quiet period is over. So the next request goes only when the one before is answered and has no
// attempt out. The head may be tried again at once, for it overtakes no other request. Without the order,
// two changes of one thing could be applied the wrong way round, at servers that know nothing of each
// other; that shows only in the data.
func (b *Balancer) keyOrderAllows(r *request) bool {
	queue := r.keyQueue
	return queue == nil || queue.requests[0] == r && (len(r.attempts) > 0 || b.now >= queue.quietUntil)
}

// startQuietPeriod makes a key pause after an attempt that may still run at its server, although it has
// ended here: the next request would overtake it.
func (b *Balancer) startQuietPeriod(r *request, outcome Outcome) {
	mayStillRun := outcome == TimedOut || outcome == ConnectionLost || outcome == Canceled
	if r.keyQueue != nil && mayStillRun {
		r.keyQueue.quietUntil = b.now + b.settings.KeyQuietPeriod
	}
}

// dropOrRearmKeyQueue asks for a timer at the end of a key's quiet period, or drops its queue if that is
// over and the queue is empty. It sends nothing: the key's next request goes by dispatchQueued, which
// follows every event, also that of the timer.
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
