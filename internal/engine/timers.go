package engine

import (
	"container/heap"

	"hookwalk.example/hookwalk/balancer"
)

// fireTimers notifies the balancer of each timer that is due, earliest first.
func (e *Engine) fireTimers() {
	for len(e.timers) > 0 && e.timers[0].At <= e.Clock.Now() {
		timer := heap.Pop(&e.timers).(balancer.SetTimer)
		e.dispatch(balancer.TimerFired{Token: timer.Token})
	}
}

// timerHeap is a heap of the timers that the balancer has set and that have not fired, earliest first. It implements
// heap.Interface. The balancer never cancels a timer; it ignores one that is no longer relevant when it fires.
type timerHeap []balancer.SetTimer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less reports whether timer i fires before timer j.
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }

// Swap swaps two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer. Only container/heap calls it.
func (h *timerHeap) Push(timer any) { *h = append(*h, timer.(balancer.SetTimer)) }

// Pop removes and returns the last timer. Only container/heap calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}
