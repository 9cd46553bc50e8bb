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

// ServerState is whether a server accepts requests.
type ServerState int

// States of a server. Start and Stop move between Up and Down; whoever plays the world sets Draining.
const (
	Up       ServerState = iota // accepts requests
	Draining                    // finishes what it has and accepts nothing new
	Down                        // its process does not run
)

// Limits of the times at which a server is looked at.
const (
	// warmupStep is how often the speed of a warming server is computed anew.
	warmupStep = 100 * time.Millisecond

	// maxCompletionWait bounds the wait for a completion, for a server so slow that the time would overflow.
	maxCompletionWait = time.Hour

	// minServiceRate stands for a rate of zero in a division.
	minServiceRate = 1e-9

	// roundingError is the service in ns by which rounding can leave a finished stage short.
	roundingError = 1
)

// Server is a server of the operators' chain: cores that are shared evenly among the running requests, a number of slots,
// a queue, and less efficiency when crowded. A fresh server has a share of its capacity and warms up.
type Server struct {
	ID          string
	Tier        int
	Index       int
	Kind        *scenario.ServerKind
	State       ServerState
	Unreachable bool          // the machine is off the network
	StartTime   time.Duration // of the last start; 0: before the world began
	Incarnation int           // starts so far
	Connections int           // open now

	SpeedFactor float64       // by faults
	MeanWork    time.Duration // of a request at its tier
	overloadGuard

	running         jobHeap
	queued          []*Job
	calling         map[*Job]bool // those that wait for the next tier, in their slots
	slotsTaken      int
	advancedTo      time.Duration
	attainedService float64 // of a job that has run since the start, in ns at speed 1
	lastSequence    uint64
}

// NewServer returns a warm server.
func NewServer(id string, tier, index int, kind *scenario.ServerKind, rules scenario.Rules) *Server {
	return &Server{ID: id, Tier: tier, Index: index, Kind: kind, SpeedFactor: 1, calling: map[*Job]bool{},
		overloadGuard: overloadGuard{multiple: rules.OverloadMultiple, window: rules.OverloadWindow}}
}

// Start starts a server that is down.
func (s *Server) Start(now time.Duration) {
	s.State, s.StartTime, s.advancedTo, s.Unreachable = Up, now, now, false
	s.Incarnation++
	s.arrivals, s.largestWork = nil, 0
}

// Stop ends the process at once and returns the jobs that died with it, in the order of their admission, those that wait
// for calls included. Later calls for these jobs have no effect.
func (s *Server) Stop() (lost []*Job) {
	lost = slices.Concat(s.running, s.queued, slices.Collect(maps.Keys(s.calling)))
	slices.SortFunc(lost, func(a, b *Job) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, j := range lost {
		j.state = jobAbsent
	}
	s.State, s.Connections, s.slotsTaken = Down, 0, 0
	s.running, s.queued = nil, nil
	clear(s.calling)
	return lost
}

// WarmShare is the share of its capacity that a server has at a time: it grows evenly over the warm-up.
func (s *Server) WarmShare(now time.Duration) float64 {
	age := now - s.StartTime
	if s.StartTime == 0 || age >= s.Kind.WarmupDuration || s.Kind.WarmupDuration == 0 {
		return 1
	}
	return s.Kind.WarmupStartShare + (1-s.Kind.WarmupStartShare)*float64(age)/float64(s.Kind.WarmupDuration)
}

// Capacity is the work a second that a server could do if nothing else slowed it.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.Kind.Cores * s.Kind.Speed * s.WarmShare(now)
}

// InFlight counts the requests that a server has in its slots and its queue.
func (s *Server) InFlight() int { return s.slotsTaken + len(s.queued) }

// serviceRate is the service that each running job attains in a second.
func (s *Server) serviceRate(now time.Duration) float64 {
	n := len(s.running)
	if n == 0 {
		return 0
	}
	rate := s.Kind.Speed * s.SpeedFactor * s.WarmShare(now) * math.Min(1, s.Kind.Cores/float64(n))
	if over := s.InFlight() - s.Kind.ContentionThreshold; over > 0 {
		rate /= 1 + s.Kind.ContentionLoss*float64(over)/float64(s.Kind.ContentionThreshold)
	}
	return rate
}

// advance adds the service that the running jobs attained since the last call. The rate at the middle of that time is
// exact for a share that grows evenly.
func (s *Server) advance(now time.Duration) {
	if now > s.advancedTo {
		s.attainedService += float64(now-s.advancedTo) * s.serviceRate(s.advancedTo+(now-s.advancedTo)/2)
		s.advancedTo = now
	}
}

// Admit offers a server one more request. It returns false if the server is full or accepts nothing new.
func (s *Server) Admit(now time.Duration, j *Job) bool {
	s.advance(now)
	if s.State != Up || s.slotsTaken >= s.Kind.Concurrency && len(s.queued) >= s.Kind.QueueLength {
		return false
	}
	s.lastSequence++
	j.sequence = s.lastSequence
	if s.slotsTaken >= s.Kind.Concurrency {
		j.state = jobQueued
		s.queued = append(s.queued, j)
		return true
	}
	s.slotsTaken++
	s.startWork(j)
	return true
}

// startWork begins a stage of a job that has a slot.
func (s *Server) startWork(j *Job) {
	j.state = jobRunning
	j.finishAt = s.attainedService + float64(j.Work)
	heap.Push(&s.running, j)
}

// Resume begins the next stage of a job that waited for calls.
func (s *Server) Resume(now time.Duration, j *Job, work time.Duration) {
	if j.state != jobCalling {
		return
	}
	s.advance(now)
	delete(s.calling, j)
	j.Work = work
	s.startWork(j)
}

// Release frees the slot of a job whose last stage is done, or whose call failed.
func (s *Server) Release(now time.Duration, j *Job) {
	if j.state != jobCalling {
		return
	}
	s.advance(now)
	delete(s.calling, j)
	j.state = jobAbsent
	s.slotsTaken--
	s.startQueued()
}

// CancelQueued removes a job from the queue, where the kind of server does that, and returns whether it did.
func (s *Server) CancelQueued(now time.Duration, j *Job) bool {
	if j.state != jobQueued || !s.Kind.CancelsQueued {
		return false
	}
	s.advance(now)
	s.queued = slices.DeleteFunc(s.queued, func(o *Job) bool { return o == j })
	j.state = jobAbsent
	return true
}

// startQueued gives free slots to the jobs that have waited longest.
func (s *Server) startQueued() {
	for s.slotsTaken < s.Kind.Concurrency && len(s.queued) > 0 {
		j := s.queued[0]
		s.queued = s.queued[1:]
		s.slotsTaken++
		s.startWork(j)
	}
}

// Completed returns the jobs whose stage is done by now. They keep their slots until Resume or Release.
func (s *Server) Completed(now time.Duration) (done []*Job) {
	s.advance(now)
	for len(s.running) > 0 && s.running[0].finishAt <= s.attainedService+roundingError {
		j := heap.Pop(&s.running).(*Job)
		j.state = jobCalling
		s.calling[j] = true
		j.WorkDone += j.Work
		done = append(done, j)
	}
	return done
}

// NextCompletion is when to call Completed next. It returns false if nothing runs.
func (s *Server) NextCompletion(now time.Duration) (at time.Duration, ok bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	s.advance(now)
	rate := s.serviceRate(now)
	wait := time.Duration(math.Ceil(math.Max(0, s.running[0].finishAt-s.attainedService) / math.Max(rate, minServiceRate)))
	if s.WarmShare(now) < 1 {
		wait = min(wait, warmupStep)
	}
	return now + max(1, min(wait, maxCompletionWait)), true
}

// SetSpeedFactor changes the factor on a server's speed.
func (s *Server) SetSpeedFactor(now time.Duration, factor float64) {
	s.advance(now)
	s.SpeedFactor = factor
}
