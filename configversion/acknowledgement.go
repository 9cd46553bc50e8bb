package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Acknowledgements: the node sends its decisions to the controller of the main watch, the oldest first and one at a
// time, and retries each until a controller accepts it. A lost acknowledgement would make a rollout look incomplete
// forever.

const (
	// maxQueuedAcks is the maximum length of the queue. The oldest acknowledgement is dropped in favour of a newer one,
	// which supersedes it: controllers keep only the newest decision of a node.
	maxQueuedAcks = 32
	// ackInitialBackoff is the delay before the first retry.
	ackInitialBackoff = 100 * time.Millisecond
	// ackMaxBackoff is the longest delay between two retries. It is short because operators follow the progress of a
	// rollout from second to second.
	ackMaxBackoff = 2 * time.Second
)

// ackQueue holds the acknowledgements that no controller has accepted yet, the oldest first.
type ackQueue struct {
	pending  []queuedAck
	inFlight bool          // pending[0] is being sent
	retryAt  time.Duration // the earliest time of the next attempt
	failures int           // consecutive failed attempts
}

// queuedAck is an acknowledgement for the controller of the main watch, or of another open watch.
type queuedAck struct {
	ack         configapi.Acknowledgement
	watchNumber uint64 // 0: the main watch
}

// add appends an acknowledgement. It never drops the one in flight, so that the result of a SendAck always belongs to
// pending[0].
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

// sendAck sends the oldest acknowledgement if its watch is open and the backoff has elapsed. It drops an
// acknowledgement whose watch has closed: that was a rejection meant for the controller of a foreign cluster.
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

// ackFinished handles the result of a SendAck. It removes an accepted acknowledgement from the queue; otherwise it
// backs off before the next attempt.
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
