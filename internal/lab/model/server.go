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

// State is whether a box takes work.
type State int

// States of a box.
const (
	Up State = iota
	Draining
	Down
)

// Job is one visit of a request to a box. The host keeps what it needs in Owner.
type Job struct {
	Owner any
	Work  time.Duration // left of the present stretch of work, at speed 1

	Given  time.Duration // all the work that a box has done for it
	target float64       // attained service at which the stretch is done
	place  int           // in the heap
	order  uint64
	state  jobState
}

type jobState int

const (
	jobOutside jobState = iota
	jobWaiting
	jobRunning
	jobCalling // holds its slot without using a core
)

// Box is a server: cores shared evenly among the requests that run, a number of slots, a waiting room, and
// less efficiency when crowded. A fresh one has a part of its capacity.
type Box struct {
	ID    string
	Tier  int
	Index int
	Kind  *scenario.Kind
	State State
	Cut   bool          // off the network, and silent
	Boot  time.Duration // of the last start; 0: long ago
	Epoch int           // starts so far
	Conns int           // open connections

	Slow float64       // factor on its speed, of troubles
	Mean time.Duration // work of a request of its tier
	guard

	running jobHeap
	waiting []*Job
	calling map[*Job]bool // in a slot, waiting for the next tier
	held    int           // slots taken
	now     time.Duration
	served  float64 // attained service of a job that has run since the start, in ns at speed 1
	orders  uint64
}

// NewBox returns a warm box.
func NewBox(id string, tier, index int, kind *scenario.Kind, rules scenario.Rules) *Box {
	return &Box{ID: id, Tier: tier, Index: index, Kind: kind, Slow: 1, calling: map[*Job]bool{},
		guard: guard{multiple: rules.FallMultiple, window: rules.Fall}}
}

// Start boots a box that is down.
func (b *Box) Start(now time.Duration) {
	b.State, b.Boot, b.now, b.Cut = Up, now, now, false
	b.Epoch++
	b.guard.sent, b.guard.largest = nil, 0
}

// Stop ends the process at once and returns the jobs that died with it, in the order of their coming: those that
// wait for calls too. What is told of them later concerns nobody.
func (b *Box) Stop() (lost []*Job) {
	lost = slices.Concat(b.running, b.waiting, slices.Collect(maps.Keys(b.calling)))
	slices.SortFunc(lost, func(a, c *Job) int { return cmp.Compare(a.order, c.order) })
	for _, j := range lost {
		j.state = jobOutside
	}
	b.State, b.Conns, b.held = Down, 0, 0
	b.running, b.waiting = nil, nil
	clear(b.calling)
	return lost
}

// Cold is the part of its capacity that a box has at a time.
func (b *Box) Cold(now time.Duration) float64 {
	age := now - b.Boot
	if b.Boot == 0 || age >= b.Kind.Cold || b.Kind.Cold == 0 {
		return 1
	}
	return b.Kind.ColdFrom + (1-b.Kind.ColdFrom)*float64(age)/float64(b.Kind.Cold)
}

// Capacity is the work a second that a box could do if nothing else slowed it.
func (b *Box) Capacity(now time.Duration) float64 { return b.Kind.Cores * b.Kind.Speed * b.Cold(now) }

// Held counts the requests that a box has in its slots and its waiting room.
func (b *Box) Held() int { return b.held + len(b.waiting) }

// rate is the service that each running job attains a second of clock time.
func (b *Box) rate(now time.Duration) float64 {
	n := len(b.running)
	if n == 0 {
		return 0
	}
	r := b.Kind.Speed * b.Slow * b.Cold(now) * math.Min(1, b.Kind.Cores/float64(n))
	if over := b.Held() - b.Kind.ThrashAt; over > 0 {
		r /= 1 + b.Kind.Thrash*float64(over)/float64(b.Kind.ThrashAt)
	}
	return r
}

// coldStep is how often the rate of a box that warms up is taken anew.
const coldStep = 100 * time.Millisecond

// advance lets the running jobs attain what the time since the last look gave them.
func (b *Box) advance(now time.Duration) {
	if now > b.now {
		// The rate at the middle is exact for a share that grows evenly.
		b.served += float64(now-b.now) * b.rate(b.now+(now-b.now)/2)
		b.now = now
	}
}

// Offer gives a box one more request. False: it has no room, or takes nothing new.
func (b *Box) Offer(now time.Duration, j *Job) bool {
	b.advance(now)
	if b.State != Up || b.held >= b.Kind.Slots && len(b.waiting) >= b.Kind.Queue {
		return false
	}
	b.orders++
	j.order = b.orders
	if b.held >= b.Kind.Slots {
		j.state = jobWaiting
		b.waiting = append(b.waiting, j)
		return true
	}
	b.held++
	b.run(j)
	return true
}

func (b *Box) run(j *Job) {
	j.state = jobRunning
	j.target = b.served + float64(j.Work)
	heap.Push(&b.running, j)
}

// Resume lets a job that waited for calls go on with its next stretch of work.
func (b *Box) Resume(now time.Duration, j *Job, work time.Duration) {
	if j.state != jobCalling {
		return
	}
	b.advance(now)
	delete(b.calling, j)
	j.Work = work
	b.run(j)
}

// Leave frees the slot of a job that is done, or that has failed while it waited for a call.
func (b *Box) Leave(now time.Duration, j *Job) {
	if j.state != jobCalling {
		return
	}
	b.advance(now)
	delete(b.calling, j)
	j.state = jobOutside
	b.held--
	b.admit()
}

// GiveUp takes a job out of the waiting room, where the kind of box does that.
func (b *Box) GiveUp(now time.Duration, j *Job) bool {
	if j.state != jobWaiting || !b.Kind.Cancels {
		return false
	}
	b.advance(now)
	b.waiting = slices.DeleteFunc(b.waiting, func(o *Job) bool { return o == j })
	j.state = jobOutside
	return true
}

func (b *Box) admit() {
	for b.held < b.Kind.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.held++
		b.run(j)
	}
}

// Done returns the jobs whose stretch of work is over by now. They keep their slots until Leave.
func (b *Box) Done(now time.Duration) (done []*Job) {
	b.advance(now)
	const crumb = 1 // ns: what rounding leaves
	for len(b.running) > 0 && b.running[0].target <= b.served+crumb {
		j := heap.Pop(&b.running).(*Job)
		j.state = jobCalling
		b.calling[j] = true
		j.Given += j.Work
		done = append(done, j)
	}
	return done
}

// Next is when Done should be asked again. False: nothing runs.
func (b *Box) Next(now time.Duration) (at time.Duration, ok bool) {
	if len(b.running) == 0 {
		return 0, false
	}
	b.advance(now)
	r := b.rate(now)
	wait := time.Duration(math.Ceil(math.Max(0, b.running[0].target-b.served) / math.Max(r, 1e-9)))
	if b.Cold(now) < 1 {
		wait = min(wait, coldStep)
	}
	return now + max(1, min(wait, time.Hour)), true
}

// SetSlow changes the factor on a box's speed.
func (b *Box) SetSlow(now time.Duration, f float64) {
	b.advance(now)
	b.Slow = f
}

// jobHeap has the job first that is done first; of equal ones the older.
type jobHeap []*Job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].target != h[j].target {
		return h[i].target < h[j].target
	}
	return h[i].order < h[j].order
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.place = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// guard watches what a cold box is sent: more than a multiple of what it can do within the window pushes it over.
type guard struct {
	multiple float64
	window   time.Duration
	sent     []sentWork
	largest  float64
}

type sentWork struct {
	at   time.Duration
	work float64
}

// Sent notes work sent to a box and says whether that pushes it over: with N requests of mean work allowed in the time
// that the rules name, more than N + 3 x root of N + 3 of them, as the operators count. Where the mean is not known one
// largest request is granted for chance: an idle box that gets a single long one has not been overrun.
func (b *Box) Sent(now, work time.Duration) (fell bool) {
	if b.multiple <= 0 || b.Cold(now) >= 1 {
		b.sent = nil
		return false
	}
	b.sent = append(b.sent, sentWork{now, work.Seconds()})
	b.largest = math.Max(b.largest, work.Seconds())
	sum := 0.0
	keep := b.sent[:0]
	for _, s := range b.sent {
		if s.at > now-b.window {
			keep = append(keep, s)
			sum += s.work
		}
	}
	b.sent = keep
	may := b.multiple * b.Capacity(now) * b.window.Seconds()
	if mean := b.Mean.Seconds(); mean > 0 {
		n := may / mean
		return sum/mean > n+3*math.Sqrt(n)+3
	}
	return sum > may+b.largest
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
