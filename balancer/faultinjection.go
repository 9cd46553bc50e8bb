// Fault injection: delays and errors that operators inject into a share of one class's requests, to see how
// clients cope. The host decides who may start one. Settings and operators call it a drill.

package balancer

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// faultRNGStream is the second half of the seed of fault injections.
	faultRNGStream = 0xd2111
	// percentPerShare turns a share of a class's requests into percent.
	percentPerShare = 100
	// delayDeviations is how many deviations above the mean latency an injected delay leaves for the
	// answer.
	delayDeviations = 2
)

// FaultInjection is a fault that StartFaultInjection can start.
type FaultInjection struct {
	Name        string        `json:"Name"`
	Class       string        `json:"Class"`
	Percent     float64       `json:"Share"`       // percent of the class's requests
	Delay       time.Duration `json:"Delay"`       // before the first attempt; none for the aborted
	AbortStatus int           `json:"AbortStatus"` // answered at once, not sent: 503 or 500; 0: none
	Duration    time.Duration `json:"Duration"`    // from the last start
}

// faultInjector is the state of the fault injections. A Balancer without any has none. It draws from a
// stream of its own: with the ordinary one, a fault would shift all draws of the requests that it spares.
type faultInjector struct {
	rngSource   *rand.PCG // of rng
	rng         *rand.Rand
	activeUntil []time.Duration // of each fault injection, as in the settings: when it ends
	delayed     []*request      // in the order of their arrival
}

// newFaultInjector returns nil where there are no fault injections.
func newFaultInjector(faults []FaultInjection, seed uint64) *faultInjector {
	if len(faults) == 0 {
		return nil
	}
	source := rand.NewPCG(seed, faultRNGStream)
	return &faultInjector{
		rngSource:   source,
		rng:         rand.New(source),
		activeUntil: make([]time.Duration, len(faults)),
	}
}

// startFaultInjection lets a fault injection run for its whole duration from now, also one that runs
// already. A node that shuts down starts none (endFaultInjections).
func (b *Balancer) startFaultInjection(name string) {
	for i, fault := range b.settings.FaultInjections {
		if fault.Name == name && !b.faultInjectionsEnded {
			b.faults.activeUntil[i] = b.now + fault.Duration
		}
	}
}

// drawFaultInjection draws whether a fault is injected into a request: the first active one of its class
// that hits, or nil. One that is not active draws nothing.
func (b *Balancer) drawFaultInjection(e Request) *FaultInjection {
	if b.faults == nil {
		return nil
	}
	for i := range b.settings.FaultInjections {
		fault := &b.settings.FaultInjections[i]
		active := fault.Class == e.Class && b.now < b.faults.activeUntil[i]
		if active && b.faults.rng.Float64()*percentPerShare < fault.Percent {
			b.emit(FaultInjected{ID: e.ID, FaultInjection: fault.Name})
			return fault
		}
	}
	return nil
}

// abortRequest answers a request with an injected error. It leaves no trace in what is learned of the
// class: the requests that the fault spares must be served as if there were none.
func (b *Balancer) abortRequest(e Request, fault *FaultInjection) {
	abort := Abort{ID: e.ID, Status: fault.AbortStatus}
	if abort.Status == http.StatusServiceUnavailable {
		abort.RetryAfter = b.settings.RetryAfter(b.classes[fault.Class].Class)
	}
	b.emit(abort)
}

// delayRequest keeps a request for an injected delay, but leaves time for an answer. False: there is none
// for a delay.
func (b *Balancer) delayRequest(r *request, fault *FaultInjection) bool {
	latest := r.deadline - max(r.class.latencyBound(delayDeviations), b.deadlineMargin())
	r.delayedUntil = min(b.now+fault.Delay, latest)
	if r.delayedUntil <= b.now {
		return false
	}
	r.delayed = true
	b.faults.delayed = append(b.faults.delayed, r)
	b.emit(SetTimer{At: r.delayedUntil, Token: timerToken(delayTimer, r)})
	return true
}

// handleDelayTimer goes on with a delayed request when its timer is due, or sets another if it fired early.
func (b *Balancer) handleDelayTimer(r *request) {
	switch {
	case r == nil || !r.delayed:
	case !b.isDue(r.delayedUntil):
		b.emit(SetTimer{At: r.delayedUntil, Token: timerToken(delayTimer, r)})
	default:
		b.resumeRequest(r)
	}
}

// resumeRequest goes on with a delayed request.
func (b *Balancer) resumeRequest(r *request) {
	b.removeDelayed(r)
	b.sendOrQueue(r)
}

// removeDelayed ends the delay of a request, if it has one.
func (b *Balancer) removeDelayed(r *request) {
	if r.delayed {
		r.delayed = false
		b.faults.delayed = removeRequest(b.faults.delayed, r)
	}
}

// endFaultInjections ends all fault injections for good, because the node shuts down. It must not spend its
// last seconds on injected delays, or it would be killed before its requests are answered. Nothing else
// changes: until the host stops, requests are accepted, sent and answered as before, so that clients that
// have not been notified yet are served.
func (b *Balancer) endFaultInjections() {
	b.faultInjectionsEnded = true
	if b.faults == nil {
		return
	}
	clear(b.faults.activeUntil)
	for len(b.faults.delayed) > 0 {
		b.resumeRequest(b.faults.delayed[0])
	}
}
