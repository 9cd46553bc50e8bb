// Package eventq is a queue of what is to happen in virtual time. Equal times go in the order in which they were
// asked for, so nothing depends on a map or on the heap's shape. container/heap would box every event: a fleet's
// minute has tens of millions.
package eventq

import "time"

// Queue is a heap. The zero Queue is empty.
type Queue[T any] struct {
	events []event[T]
	pushed uint64
}

type event[T any] struct {
	at       time.Duration
	sequence uint64
	value    T
}

func (e event[T]) before(o event[T]) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// Len counts what is to happen.
func (q *Queue[T]) Len() int { return len(q.events) }

// Push adds something.
func (q *Queue[T]) Push(at time.Duration, v T) {
	q.pushed++
	q.events = append(q.events, event[T]{at, q.pushed, v})
	i := len(q.events) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !q.events[i].before(q.events[up]) {
			break
		}
		q.events[i], q.events[up] = q.events[up], q.events[i]
		i = up
	}
}

// Pop takes what is next; the queue must not be empty.
func (q *Queue[T]) Pop() (at time.Duration, v T) {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event[T]{}
	q.events = q.events[:last]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < last; k++ {
			if q.events[k].before(q.events[least]) {
				least = k
			}
		}
		if least == i {
			return first.at, first.value
		}
		q.events[i], q.events[least] = q.events[least], q.events[i]
		i = least
	}
}
