// Package eventq provides a priority queue of events in virtual time. Events with equal times are popped in the order
// in which they were pushed, so that the order does not depend on the shape of the heap. The package does not use
// container/heap, which would allocate memory to box every event: a simulated minute of a fleet has tens of millions of
// events.
package eventq

import "time"

// Queue is a binary heap of events with values of type T. The zero Queue is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	events []event[T]
	pushed uint64
}

// event is a value with its time. sequence orders events with equal times.
type event[T any] struct {
	at       time.Duration
	sequence uint64
	value    T
}

// before reports whether e is popped before other.
func (e event[T]) before(other event[T]) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// Len returns the number of events in the queue.
func (q *Queue[T]) Len() int { return len(q.events) }

// Push adds an event with a time and a value.
func (q *Queue[T]) Push(at time.Duration, value T) {
	q.pushed++
	q.events = append(q.events, event[T]{at, q.pushed, value})
	i := len(q.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.events[i].before(q.events[parent]) {
			break
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// Pop removes the first event and returns its time and value; the queue must not be empty.
func (q *Queue[T]) Pop() (at time.Duration, value T) {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event[T]{}
	q.events = q.events[:last]
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.events[child].before(q.events[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return first.at, first.value
		}
		q.events[i], q.events[earliest] = q.events[earliest], q.events[i]
		i = earliest
	}
}
