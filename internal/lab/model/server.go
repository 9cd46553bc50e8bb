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

// ServerState says whether a server accepts requests.
type ServerState int

// States of a server. Start and Stop switch between Up and Down; the code that runs the world sets Draining.
const (
	Up       ServerState = iota // accepts requests
	Draining                    // finishes its requests and accepts no new ones
	Down                        // its process does not run
)

// Limits for the computation of completion times.
const (
	// warmupStep is the interval at which the speed of a warming server is recomputed.
	warmupStep = 100 * time.Millisecond

	// maxCompletionWait bounds the wait for a completion, because a very slow server's wait would overflow.
	maxCompletionWait = time.Hour

	// minServiceRate replaces a rate of zero in a division.
	minServiceRate = 1e-9

	// roundingError is the service in ns that a finished stage can lack because of rounding.
	roundingError = 1
)

// Server models a server: cores that are shared equally by the running requests, a number of slots, a queue, and lower
// efficiency when crowded. A freshly started server has only a share of its capacity and warms up.
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

	SpeedFactor float64       // product of the factors of all active faults
	MeanWork    time.Duration // of a request at its tier
	overloadGuard

	running         jobHeap
	queued          []*Job
	calling         map[*Job]bool // wait for calls to the next tier; each keeps its slot
	slotsTaken      int
	advancedTo      time.Duration // time up to which attainedService is computed
	attainedService float64       // cumulative, of each running job, in ns at speed 1
	lastSequence    uint64
}

// NewServer returns a server that is up and already warm.
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

// Stop ends the process at once and returns the lost jobs in the order of their admission, including those that wait
// for calls. Resume, Release and CancelQueued have no effect on a lost job.
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

// WarmShare returns the share of its capacity that a server has at a time. The share grows linearly during the warm-up.
func (s *Server) WarmShare(now time.Duration) float64 {
	age := now - s.StartTime
	if s.StartTime == 0 || age >= s.Kind.WarmupDuration || s.Kind.WarmupDuration == 0 {
		return 1
	}
	return s.Kind.WarmupStartShare + (1-s.Kind.WarmupStartShare)*float64(age)/float64(s.Kind.WarmupDuration)
}

// Capacity returns the work per second that a server can do without crowding and faults.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.Kind.Cores * s.Kind.Speed * s.WarmShare(now)
}

// InFlight returns the number of requests in the server's slots and queue.
func (s *Server) InFlight() int { return s.slotsTaken + len(s.queued) }

// serviceRate returns the service per unit of time that each running job attains.
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

// advance adds the service that the running jobs attained since the last call. It uses the rate at the middle of that
// interval, which is exact while the warm share grows linearly.
func (s *Server) advance(now time.Duration) {
	if now > s.advancedTo {
		s.attainedService += float64(now-s.advancedTo) * s.serviceRate(s.advancedTo+(now-s.advancedTo)/2)
		s.advancedTo = now
	}
}

// Admit offers a request to a server. It returns false if the server is full, draining or down.
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

// startWork starts a stage of a job that has a slot.
func (s *Server) startWork(j *Job) {
	j.state = jobRunning
	j.finishAt = s.attainedService + float64(j.Work)
	heap.Push(&s.running, j)
}

// Resume starts the next stage of a job that waited for calls.
func (s *Server) Resume(now time.Duration, j *Job, work time.Duration) {
	if j.state != jobCalling {
		return
	}
	s.advance(now)
	delete(s.calling, j)
	j.Work = work
	s.startWork(j)
}

// Release frees the slot of a job whose last stage is done or whose call failed.
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

// CancelQueued removes a job from the queue if the kind of server cancels queued requests. It reports whether the job
// was removed.
func (s *Server) CancelQueued(now time.Duration, j *Job) bool {
	if j.state != jobQueued || !s.Kind.CancelsQueued {
		return false
	}
	s.advance(now)
	s.queued = slices.DeleteFunc(s.queued, func(o *Job) bool { return o == j })
	j.state = jobAbsent
	return true
}

// startQueued gives the free slots to the jobs that have waited longest.
func (s *Server) startQueued() {
	for s.slotsTaken < s.Kind.Concurrency && len(s.queued) > 0 {
		j := s.queued[0]
		s.queued = s.queued[1:]
		s.slotsTaken++
		s.startWork(j)
	}
}

// Completed returns the jobs whose current stage is done by now. They keep their slots until Resume or Release.
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

// NextCompletion returns the time at which to call Completed next. It returns false if no job runs.
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

// SetSpeedFactor sets the factor by which a server's speed is multiplied.
func (s *Server) SetSpeedFactor(now time.Duration, factor float64) {
	s.advance(now)
	s.SpeedFactor = factor
}
