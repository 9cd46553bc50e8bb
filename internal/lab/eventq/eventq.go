// Package eventq is a queue of what is to happen in virtual time. Equal times go in the order in which they were
// asked for, so nothing depends on a map or on the heap's shape. container/heap would box every event: a fleet's
// minute has tens of millions.
package eventq

import "time"

// Queue is a heap. The zero Queue is empty.
type Queue[T any] struct {
	list []event[T]
	seq  uint64
}

type event[T any] struct {
	at  time.Duration
	seq uint64
	v   T
}

func (e event[T]) before(o event[T]) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Len counts what is to happen.
func (q *Queue[T]) Len() int { return len(q.list) }

// Push adds something.
func (q *Queue[T]) Push(at time.Duration, v T) {
	q.seq++
	q.list = append(q.list, event[T]{at, q.seq, v})
	i := len(q.list) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !q.list[i].before(q.list[up]) {
			break
		}
		q.list[i], q.list[up] = q.list[up], q.list[i]
		i = up
	}
}

// Pop takes what is next; the queue must not be empty.
func (q *Queue[T]) Pop() (at time.Duration, v T) {
	first := q.list[0]
	last := len(q.list) - 1
	q.list[0] = q.list[last]
	q.list[last] = event[T]{}
	q.list = q.list[:last]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < last; k++ {
			if q.list[k].before(q.list[least]) {
				least = k
			}
		}
		if least == i {
			return first.at, first.v
		}
		q.list[i], q.list[least] = q.list[least], q.list[i]
		i = least
	}
}
