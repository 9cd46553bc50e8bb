package model

import "time"

// Job is the work for one request at one server. It has stages, with calls to the next tier between them.
type Job struct {
	Owner any           // set and used only by the caller of Admit
	Work  time.Duration // of the current stage, at speed 1

	WorkDone time.Duration // in all finished stages
	finishAt float64       // attained service of the server at which the current stage is done
	sequence uint64        // increases in the order of admission
	state    jobState
}

// jobState is the state of a job. Only the job's server changes it.
type jobState int

const (
	jobAbsent  jobState = iota // not yet admitted, or finished, canceled or lost
	jobQueued                  // waits for a slot
	jobRunning                 // shares the cores
	jobCalling                 // keeps its slot without using a core, until Resume or Release
)

// jobHeap implements heap.Interface. The job that finishes first is on top; of jobs that finish together, the one that
// was admitted first.
type jobHeap []*Job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool {
	if h[i].finishAt != h[j].finishAt {
		return h[i].finishAt < h[j].finishAt
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}
