package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Acknowledgements: a decision is sent to the controller of the main watch, the oldest first and one at a time, until a
// controller accepts it. A lost acknowledgement would make a rollout look incomplete for ever.

const (
	// maxQueuedAcks is the length of the queue. The oldest acknowledgement is dropped for a newer one, which covers it:
	// controllers keep the newest decision of a node only.
	maxQueuedAcks = 32
	// ackInitialBackoff is the delay before the first retry.
	ackInitialBackoff = 100 * time.Millisecond
	// ackMaxBackoff is the longest delay between two retries: operators watch a rollout by the second.
	ackMaxBackoff = 2 * time.Second
)

// ackQueue holds the acknowledgements that no controller has accepted yet, the oldest first.
type ackQueue struct {
	pending  []queuedAck
	inFlight bool          // the first one is being sent
	retryAt  time.Duration // nothing is sent before
	failures int           // consecutive
}

// queuedAck is an acknowledgement for the controller of the main watch, or for that of a certain watch.
type queuedAck struct {
	ack         configapi.Acknowledgement
	watchNumber uint64 // 0: the main watch
}

// add appends an acknowledgement. The one in flight is never dropped, so that its result belongs to the first one.
func (q *ackQueue) add(ack queuedAck) {
	q.pending = append(q.pending, ack)
	if len(q.pending) <= maxQueuedAcks {
		return
	}
	oldest := 0
	if q.inFlight {
		oldest = 1
	}
	q.pending = slices.Delete(q.pending, oldest, oldest+1)
}

// sendAck sends the oldest acknowledgement, if there is a watch to send it by and its backoff is over. One for a watch
// that has closed is dropped: it told a foreign cluster's controller of a rejection.
func (s *Session) sendAck() {
	q := &s.ackQueue
	for !q.inFlight && len(q.pending) > 0 {
		next := q.pending[0]
		target := s.watches.main
		if next.watchNumber != 0 {
			if target = s.watches.find(next.watchNumber); target == nil {
				q.pending = q.pending[1:]
				continue
			}
		}
		if target == nil {
			return
		}
		if s.now < q.retryAt {
			s.wakeAt(q.retryAt)
			return
		}
		ack := next.ack
		ack.Node, ack.StartedMS, ack.WatchNumber = s.options.Node, s.options.StartedMS, target.number
		q.inFlight = true
		s.emit(SendAck{target.address, ack})
	}
}

// ackFinished removes the acknowledgement in flight once it is accepted, and backs off before the next attempt if not.
func (s *Session) ackFinished(accepted bool) {
	q := &s.ackQueue
	if !q.inFlight {
		return
	}
	q.inFlight = false
	if accepted {
		q.pending, q.failures, q.retryAt = q.pending[1:], 0, 0
		return
	}
	q.failures++
	q.retryAt = s.now + s.backoff(q.failures, ackInitialBackoff, ackMaxBackoff)
}
