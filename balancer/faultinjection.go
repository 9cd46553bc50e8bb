// Fault injection: delays and errors that operators inject into a share of the requests of one class, to see
// how clients cope. The host decides who may start a fault injection. The settings and the operators'
// interface call it a drill.

package balancer

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// faultRNGStream is the second half of the seed of fault injections.
	faultRNGStream = 0xd2111
	// fractionToPercent converts a fraction of the requests of a class to percent.
	fractionToPercent = 100
	// delayDeviations: an injected delay leaves time for an answer that takes the mean latency and this many
	// deviations.
	delayDeviations = 2
)

// FaultInjection is a fault injection that StartFaultInjection can start.
type FaultInjection struct {
	Name        string        `json:"Name"`
	Class       string        `json:"Class"`
	Percent     float64       `json:"Share"`       // percent of the class's requests
	Delay       time.Duration `json:"Delay"`       // before the first attempt; not used for aborted requests
	AbortStatus int           `json:"AbortStatus"` // answered without an attempt: 503 or 500; 0: none
	Duration    time.Duration `json:"Duration"`    // counted from the last start
}

// faultInjector is the state of the fault injections. A Balancer without fault injections has none. It draws
// from a random stream of its own: if it drew from the ordinary one, a fault would shift all draws for the
// requests that it does not affect.
type faultInjector struct {
	rngSource   *rand.PCG // source of rng
	rng         *rand.Rand
	activeUntil []time.Duration // end of each fault injection, in the order of the settings
	delayed     []*request      // in order of arrival
}

// newFaultInjector returns nil if there are no fault injections.
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

// startFaultInjection starts a fault injection for its whole duration from now, even if it is active already.
// A node that is shutting down starts none (endFaultInjections).
func (b *Balancer) startFaultInjection(name string) {
	for i, fault := range b.settings.FaultInjections {
		if fault.Name == name && !b.faultInjectionsEnded {
			b.faults.activeUntil[i] = b.now + fault.Duration
		}
	}
}

// drawFaultInjection decides at random whether a fault is injected into a request. It returns the first
// active fault injection of the request's class that is drawn, or nil. An inactive one draws no random
// number.
func (b *Balancer) drawFaultInjection(e Request) *FaultInjection {
	if b.faults == nil {
		return nil
	}
	for i := range b.settings.FaultInjections {
		fault := &b.settings.FaultInjections[i]
		active := fault.Class == e.Class && b.now < b.faults.activeUntil[i]
		if active && b.faults.rng.Float64()*fractionToPercent < fault.Percent {
			b.emit(FaultInjected{ID: e.ID, FaultInjection: fault.Name})
			return fault
		}
	}
	return nil
}

// abortRequest answers a request with an injected error. The request has no effect on what is learned about
// its class: requests without a fault must be served as if there were no fault injection.
func (b *Balancer) abortRequest(e Request, fault *FaultInjection) {
	abort := Abort{ID: e.ID, Status: fault.AbortStatus}
	if abort.Status == http.StatusServiceUnavailable {
		abort.RetryAfter = b.settings.RetryAfter(b.classes[fault.Class].Class)
	}
	b.emit(abort)
}

// delayRequest holds a request for an injected delay, but leaves time for an answer. It returns false if
// there is no time for a delay.
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

// handleDelayTimer resumes a delayed request when its timer is due, or sets another timer if it fired early.
func (b *Balancer) handleDelayTimer(r *request) {
	switch {
	case r == nil || !r.delayed:
	case !b.isDue(r.delayedUntil):
		b.emit(SetTimer{At: r.delayedUntil, Token: timerToken(delayTimer, r)})
	default:
		b.resumeRequest(r)
	}
}

// resumeRequest ends the delay of a request and sends or queues it.
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

// endFaultInjections ends all fault injections permanently, because the node is shutting down. If the node
// spent its last seconds on injected delays, it would be killed before its requests are answered. Nothing
// else changes: until the host stops, requests are accepted, sent and answered as before, so that clients
// that have not been notified yet are served.
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
