// Fault injection: a share of one class's requests is delayed or aborted. Who may start that is the host's.

package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultInjection is a rehearsal that a FaultInjectionStart can start.
type FaultInjection struct {
	Name        string        `json:"Name"`
	Class       string        `json:"Class"`
	Percent     float64       `json:"Share"`       // percent of the class's requests
	Delay       time.Duration `json:"Delay"`       // before the first attempt; none for the aborted
	AbortStatus int           `json:"AbortStatus"` // answered at once, without an attempt: 503 or 500; 0: not
	Duration    time.Duration `json:"Duration"`    // from the last start
}

// rehearsal is the state of the drills. A Balancer without drills has none.
type rehearsal struct {
	// Its own stream: with the ordinary one, a drill would shift every draw of the requests that it spares.
	src     *rand.PCG
	rng     *rand.Rand
	until   []time.Duration // of each drill: when it ends
	delayed []*request      // in the order of arrival
}

func newRehearsal(drills []FaultInjection, seed uint64) *rehearsal {
	if len(drills) == 0 {
		return nil
	}
	src := rand.NewPCG(seed, 0xd2111)
	return &rehearsal{src: src, rng: rand.New(src), until: make([]time.Duration, len(drills))}
}

// startDrill lets a drill run for its whole duration from now, also one that runs already.
func (b *Balancer) startDrill(name string) {
	for i, d := range b.set.FaultInjections {
		if d.Name == name && !b.leaving {
			b.drills.until[i] = b.now + d.Duration
		}
	}
}

// leave ends all drills for good: a node that goes must not spend its last seconds on a rehearsal.
func (b *Balancer) leave() {
	b.leaving = true
	if b.drills == nil {
		return
	}
	clear(b.drills.until)
	for len(b.drills.delayed) > 0 {
		b.resume(b.drills.delayed[0])
	}
}

// drilled draws whether a request is part of a drill: the first running one of its class that hits. A drill
// that can't start draws nothing.
func (b *Balancer) drilled(e Request) *FaultInjection {
	if b.drills == nil {
		return nil
	}
	for i := range b.set.FaultInjections {
		d := &b.set.FaultInjections[i]
		if d.Class == e.Class && b.now < b.drills.until[i] && b.drills.rng.Float64()*100 < d.Percent {
			b.do(FaultInjected{ID: e.ID, FaultInjection: d.Name})
			return d
		}
	}
	return nil
}

// abort answers a request that a drill turns away. It leaves no trace in what is learned of the class: those
// that the drill spares must be served as if there were none.
func (b *Balancer) abort(e Request, d *FaultInjection) {
	a := Abort{ID: e.ID, Status: d.AbortStatus}
	if a.Status == 503 {
		a.RetryAfter = b.set.RetryAfter(b.classes[d.Class].Class)
	}
	b.do(a)
}

// delay holds a request back for a drill, but leaves time for an answer. False: there is none for a delay.
func (b *Balancer) delay(r *request, d *FaultInjection) bool {
	last := r.deadline - max(r.class.longest(2), 2*b.set.Tick)
	r.resume = min(b.now+d.Delay, last)
	if r.resume <= b.now {
		return false
	}
	r.delayed = true
	b.drills.delayed = append(b.drills.delayed, r)
	b.do(SetTimer{At: r.resume, Token: "d:" + r.id})
	return true
}

// delayOver goes on with a delayed request when its timer comes due, or asks for another if it came early.
func (b *Balancer) delayOver(r *request) {
	switch {
	case r == nil || !r.delayed:
	case b.now+b.set.Tick < r.resume:
		b.do(SetTimer{At: r.resume, Token: "d:" + r.id})
	default:
		b.resume(r)
	}
}

func (b *Balancer) resume(r *request) {
	b.undelay(r)
	b.place(r)
}

func (b *Balancer) undelay(r *request) {
	if r.delayed {
		r.delayed = false
		b.drills.delayed = slices.DeleteFunc(b.drills.delayed, func(d *request) bool { return d == r })
	}
}
