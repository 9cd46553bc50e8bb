// Package model is the lab's world without its clock and its wires: boxes that queue and share their cores,
// arrivals, troubles as a list of changes, and discovery's queue. Everything is told the time and draws from
// seeded streams, so the same calls give the same world. Virtual time and sockets both play it.
package model

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// ServerState is whether a box takes work.
type ServerState int

// States of a box.
const (
	Up ServerState = iota
	Draining
	Down
)

// Job is one visit of a request to a box. The host keeps what it needs in Owner.
type Job struct {
	Owner any
	Work  time.Duration // left of the present stretch of work, at speed 1

	WorkDone  time.Duration // all the work that a box has done for it
	finishAt  float64       // attained service at which the stretch is done
	heapIndex int           // in the heap
	sequence  uint64
	state     jobState
}

type jobState int

const (
	jobAbsent jobState = iota
	jobQueued
	jobRunning
	jobCalling // holds its slot without using a core
)

// Server is a server: cores shared evenly among the requests that run, a number of slots, a waiting room, and
// less efficiency when crowded. A fresh one has a part of its capacity.
type Server struct {
	ID          string
	Tier        int
	Index       int
	Kind        *scenario.ServerKind
	State       ServerState
	Unreachable bool          // off the network, and silent
	StartTime   time.Duration // of the last start; 0: long ago
	Incarnation int           // starts so far
	Connections int           // open connections

	SpeedFactor float64       // factor on its speed, of troubles
	MeanWork    time.Duration // work of a request of its tier
	overloadGuard

	running         jobHeap
	queued          []*Job
	calling         map[*Job]bool // in a slot, waiting for the next tier
	slotsTaken      int           // slots taken
	advancedTo      time.Duration
	attainedService float64 // attained service of a job that has run since the start, in ns at speed 1
	lastSequence    uint64
}

// NewServer returns a warm box.
func NewServer(id string, tier, index int, kind *scenario.ServerKind, rules scenario.Rules) *Server {
	return &Server{ID: id, Tier: tier, Index: index, Kind: kind, SpeedFactor: 1, calling: map[*Job]bool{},
		overloadGuard: overloadGuard{multiple: rules.OverloadMultiple, window: rules.OverloadWindow}}
}

// Start boots a box that is down.
func (b *Server) Start(now time.Duration) {
	b.State, b.StartTime, b.advancedTo, b.Unreachable = Up, now, now, false
	b.Incarnation++
	b.overloadGuard.arrivals, b.overloadGuard.largestWork = nil, 0
}

// Stop ends the process at once and returns the jobs that died with it, in the order of their coming: those that
// wait for calls too. What is told of them later concerns nobody.
func (b *Server) Stop() (lost []*Job) {
	lost = slices.Concat(b.running, b.queued, slices.Collect(maps.Keys(b.calling)))
	slices.SortFunc(lost, func(a, c *Job) int { return cmp.Compare(a.sequence, c.sequence) })
	for _, j := range lost {
		j.state = jobAbsent
	}
	b.State, b.Connections, b.slotsTaken = Down, 0, 0
	b.running, b.queued = nil, nil
	clear(b.calling)
	return lost
}

// WarmShare is the part of its capacity that a box has at a time.
func (b *Server) WarmShare(now time.Duration) float64 {
	age := now - b.StartTime
	if b.StartTime == 0 || age >= b.Kind.WarmupDuration || b.Kind.WarmupDuration == 0 {
		return 1
	}
	return b.Kind.WarmupStartShare + (1-b.Kind.WarmupStartShare)*float64(age)/float64(b.Kind.WarmupDuration)
}

// Capacity is the work a second that a box could do if nothing else slowed it.
func (b *Server) Capacity(now time.Duration) float64 {
	return b.Kind.Cores * b.Kind.Speed * b.WarmShare(now)
}

// InFlight counts the requests that a box has in its slots and its waiting room.
func (b *Server) InFlight() int { return b.slotsTaken + len(b.queued) }

// serviceRate is the service that each running job attains a second of clock time.
func (b *Server) serviceRate(now time.Duration) float64 {
	n := len(b.running)
	if n == 0 {
		return 0
	}
	r := b.Kind.Speed * b.SpeedFactor * b.WarmShare(now) * math.Min(1, b.Kind.Cores/float64(n))
	if over := b.InFlight() - b.Kind.CrowdedAbove; over > 0 {
		r /= 1 + b.Kind.CrowdingLoss*float64(over)/float64(b.Kind.CrowdedAbove)
	}
	return r
}

// warmupStep is how often the rate of a box that warms up is taken anew.
const warmupStep = 100 * time.Millisecond

// advance lets the running jobs attain what the time since the last look gave them.
func (b *Server) advance(now time.Duration) {
	if now > b.advancedTo {
		// The rate at the middle is exact for a share that grows evenly.
		b.attainedService += float64(now-b.advancedTo) * b.serviceRate(b.advancedTo+(now-b.advancedTo)/2)
		b.advancedTo = now
	}
}

// Admit gives a box one more request. False: it has no room, or takes nothing new.
func (b *Server) Admit(now time.Duration, j *Job) bool {
	b.advance(now)
	if b.State != Up || b.slotsTaken >= b.Kind.Concurrency && len(b.queued) >= b.Kind.QueueLength {
		return false
	}
	b.lastSequence++
	j.sequence = b.lastSequence
	if b.slotsTaken >= b.Kind.Concurrency {
		j.state = jobQueued
		b.queued = append(b.queued, j)
		return true
	}
	b.slotsTaken++
	b.startWork(j)
	return true
}

func (b *Server) startWork(j *Job) {
	j.state = jobRunning
	j.finishAt = b.attainedService + float64(j.Work)
	heap.Push(&b.running, j)
}

// Resume lets a job that waited for calls go on with its next stretch of work.
func (b *Server) Resume(now time.Duration, j *Job, work time.Duration) {
	if j.state != jobCalling {
		return
	}
	b.advance(now)
	delete(b.calling, j)
	j.Work = work
	b.startWork(j)
}

// Release frees the slot of a job that is done, or that has failed while it waited for a call.
func (b *Server) Release(now time.Duration, j *Job) {
	if j.state != jobCalling {
		return
	}
	b.advance(now)
	delete(b.calling, j)
	j.state = jobAbsent
	b.slotsTaken--
	b.startQueued()
}

// CancelQueued takes a job out of the waiting room, where the kind of box does that.
func (b *Server) CancelQueued(now time.Duration, j *Job) bool {
	if j.state != jobQueued || !b.Kind.CancelsQueued {
		return false
	}
	b.advance(now)
	b.queued = slices.DeleteFunc(b.queued, func(o *Job) bool { return o == j })
	j.state = jobAbsent
	return true
}

func (b *Server) startQueued() {
	for b.slotsTaken < b.Kind.Concurrency && len(b.queued) > 0 {
		j := b.queued[0]
		b.queued = b.queued[1:]
		b.slotsTaken++
		b.startWork(j)
	}
}

// Completed returns the jobs whose stretch of work is over by now. They keep their slots until Leave.
func (b *Server) Completed(now time.Duration) (done []*Job) {
	b.advance(now)
	const crumb = 1 // ns: what rounding leaves
	for len(b.running) > 0 && b.running[0].finishAt <= b.attainedService+crumb {
		j := heap.Pop(&b.running).(*Job)
		j.state = jobCalling
		b.calling[j] = true
		j.WorkDone += j.Work
		done = append(done, j)
	}
	return done
}

// NextCompletion is when Done should be asked again. False: nothing runs.
func (b *Server) NextCompletion(now time.Duration) (at time.Duration, ok bool) {
	if len(b.running) == 0 {
		return 0, false
	}
	b.advance(now)
	r := b.serviceRate(now)
	wait := time.Duration(math.Ceil(math.Max(0, b.running[0].finishAt-b.attainedService) / math.Max(r, 1e-9)))
	if b.WarmShare(now) < 1 {
		wait = min(wait, warmupStep)
	}
	return now + max(1, min(wait, time.Hour)), true
}

// SetSpeedFactor changes the factor on a box's speed.
func (b *Server) SetSpeedFactor(now time.Duration, f float64) {
	b.advance(now)
	b.SpeedFactor = f
}

// jobHeap has the job first that is done first; of equal ones the older.
type jobHeap []*Job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].finishAt != h[j].finishAt {
		return h[i].finishAt < h[j].finishAt
	}
	return h[i].sequence < h[j].sequence
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// overloadGuard watches what a cold box is sent: more than a multiple of what it can do within the window pushes it over.
type overloadGuard struct {
	multiple    float64
	window      time.Duration
	arrivals    []arrivedWork
	largestWork float64
}

type arrivedWork struct {
	at   time.Duration
	work float64
}

// RecordArrival notes work sent to a box and says whether that pushes it over: with N requests of mean work allowed in the time
// that the rules name, more than N + 3 x root of N + 3 of them, as the operators count. Where the mean is not known one
// largestWork request is granted for chance: an idle box that gets a single long one has not been overrun.
func (b *Server) RecordArrival(now, work time.Duration) (fell bool) {
	if b.multiple <= 0 || b.WarmShare(now) >= 1 {
		b.arrivals = nil
		return false
	}
	b.arrivals = append(b.arrivals, arrivedWork{now, work.Seconds()})
	b.largestWork = math.Max(b.largestWork, work.Seconds())
	sum := 0.0
	keep := b.arrivals[:0]
	for _, s := range b.arrivals {
		if s.at > now-b.window {
			keep = append(keep, s)
			sum += s.work
		}
	}
	b.arrivals = keep
	may := b.multiple * b.Capacity(now) * b.window.Seconds()
	if mean := b.MeanWork.Seconds(); mean > 0 {
		n := may / mean
		return sum/mean > n+3*math.Sqrt(n)+3
	}
	return sum > may+b.largestWork
}

// MeanWork is that of a request at a tier's boxes.
func MeanWork(s *scenario.Scenario, tier int) time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		shares += c.Share
	}
	if shares == 0 {
		return 0
	}
	return time.Duration(work / shares * s.Tiers[tier].Work)
}
