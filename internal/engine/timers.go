package engine

import (
	"container/heap"

	"hookwalk.example/hookwalk/balancer"
)

// fireTimers notifies the balancer of each of its timers that is due, the earliest first.
func (e *Engine) fireTimers() {
	for len(e.timers) > 0 && e.timers[0].At <= e.Clock.Now() {
		timer := heap.Pop(&e.timers).(balancer.SetTimer)
		e.dispatch(balancer.TimerFired{Token: timer.Token})
	}
}

// timerHeap holds the timers that the balancer has set and that have not fired, the earliest first. It is a heap.Interface.
// The balancer never cancels a timer; it passes over one that no longer matters to it.
type timerHeap []balancer.SetTimer

// Len is the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less says whether timer i fires before timer j.
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer; for container/heap.
func (h *timerHeap) Push(timer any) { *h = append(*h, timer.(balancer.SetTimer)) }

// Pop removes the last timer; for container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}
