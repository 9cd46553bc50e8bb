package virtual

import "time"

// queue is a heap of what is to happen. Equal times go in the order in which they were asked for, so nothing
// depends on a map or on the heap's shape. container/heap would box every event: with some ten million of them
// in a fleet's minute that doubles the time of a run.
type queue struct {
	list []event
	seq  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *queue) push(at time.Duration, do func()) {
	q.seq++
	q.list = append(q.list, event{at, q.seq, do})
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

func (q *queue) pop() event {
	first := q.list[0]
	last := len(q.list) - 1
	q.list[0] = q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < last; k++ {
			if q.list[k].before(q.list[least]) {
				least = k
			}
		}
		if least == i {
			return first
		}
		q.list[i], q.list[least] = q.list[least], q.list[i]
		i = least
	}
}
