package model

import "time"

// Job is one visit of a request to a server. Its work comes in stages, with calls to the next tier between them.
type Job struct {
	Owner any           // belongs to whoever offers the job
	Work  time.Duration // of the present stage, at speed 1

	WorkDone time.Duration // by servers for this job, in all finished stages
	finishAt float64       // attained service at which the present stage is done
	sequence uint64        // in the order of admission
	state    jobState
}

// jobState is where a job is. Only its server changes it.
type jobState int

const (
	jobAbsent  jobState = iota // not at a server, or no longer
	jobQueued                  // waits for a slot
	jobRunning                 // shares the cores
	jobCalling                 // keeps its slot without using a core, until Resume or Release
)

// jobHeap is a heap.Interface: the job that finishes first is on top, of equal ones the older.
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
