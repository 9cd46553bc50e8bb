// FaultInjections: rehearsals that delay or abort a share of one class's requests. Who may start one is the host's.

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
type faultInjector struct {
	// Its own stream: with the ordinary one, a drill would shift every draw of the requests that it spares.
	rngSource   *rand.PCG
	rng         *rand.Rand
	activeUntil []time.Duration // of each drill: when it ends
	delayed     []*request      // in the order of arrival
}

func newFaultInjector(drills []FaultInjection, seed uint64) *faultInjector {
	if len(drills) == 0 {
		return nil
	}
	src := rand.NewPCG(seed, 0xd2111)
	return &faultInjector{rngSource: src, rng: rand.New(src), activeUntil: make([]time.Duration, len(drills))}
}

// startDrill lets a drill run for its whole duration from now, also one that runs already.
func (b *Balancer) startFaultInjection(name string) {
	for i, d := range b.settings.FaultInjections {
		if d.Name == name && !b.shuttingDown {
			b.faults.activeUntil[i] = b.now + d.Duration
		}
	}
}

// leave ends all drills for good: a node that goes must not spend its last seconds on a rehearsal.
func (b *Balancer) beginShutdown() {
	b.shuttingDown = true
	if b.faults == nil {
		return
	}
	clear(b.faults.activeUntil)
	for len(b.faults.delayed) > 0 {
		b.resumeRequest(b.faults.delayed[0])
	}
}

// drilled draws whether a request is part of a drill: the first running one of its class that hits. A drill
// that can't start draws nothing.
func (b *Balancer) drawFaultInjection(e Request) *FaultInjection {
	if b.faults == nil {
		return nil
	}
	for i := range b.settings.FaultInjections {
		d := &b.settings.FaultInjections[i]
		if d.Class == e.Class && b.now < b.faults.activeUntil[i] && b.faults.rng.Float64()*100 < d.Percent {
			b.emit(FaultInjected{ID: e.ID, FaultInjection: d.Name})
			return d
		}
	}
	return nil
}

// abort answers a request that a drill turns away. It leaves no trace in what is learned of the class: those
// that the drill spares must be served as if there were none.
func (b *Balancer) abortRequest(e Request, d *FaultInjection) {
	a := Abort{ID: e.ID, Status: d.AbortStatus}
	if a.Status == 503 {
		a.RetryAfter = b.settings.RetryAfter(b.classes[d.Class].Class)
	}
	b.emit(a)
}

// delay holds a request back for a drill, but leaves time for an answer. False: there is none for a delay.
func (b *Balancer) delayRequest(r *request, d *FaultInjection) bool {
	last := r.deadline - max(r.class.latencyBound(2), 2*b.settings.Tick)
	r.delayedUntil = min(b.now+d.Delay, last)
	if r.delayedUntil <= b.now {
		return false
	}
	r.delayed = true
	b.faults.delayed = append(b.faults.delayed, r)
	b.emit(SetTimer{At: r.delayedUntil, Token: "d:" + r.id})
	return true
}

// delayOver goes on with a delayed request when its timer comes due, or asks for another if it came early.
func (b *Balancer) handleDelayTimer(r *request) {
	switch {
	case r == nil || !r.delayed:
	case b.now+b.settings.Tick < r.delayedUntil:
		b.emit(SetTimer{At: r.delayedUntil, Token: "d:" + r.id})
	default:
		b.resumeRequest(r)
	}
}

func (b *Balancer) resumeRequest(r *request) {
	b.removeDelayed(r)
	b.sendOrQueue(r)
}

func (b *Balancer) removeDelayed(r *request) {
	if r.delayed {
		r.delayed = false
		b.faults.delayed = slices.DeleteFunc(b.faults.delayed, func(d *request) bool { return d == r })
	}
}
