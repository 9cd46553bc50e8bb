package engine

import (
	"net/netip"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/metrics"
)

// FaultInjectionStart is a request to start a fault injection, which the settings and the log call a drill.
type FaultInjectionStart struct {
	Name   string
	Client netip.Addr // the client that requested it; invalid: unknown
}

// StartFaultInjection requests that the balancer start a fault injection. It blocks until the event loop receives the
// request, or returns ErrStopped.
func (e *Engine) StartFaultInjection(s FaultInjectionStart) error {
	select {
	case e.faultInjectionStarts <- s:
		return nil
	case <-e.stopped:
		return ErrStopped
	}
}

// handleFaultInjectionStart logs the start of a fault injection and notifies the balancer.
func (e *Engine) handleFaultInjectionStart(s FaultInjectionStart) {
	e.Log.Info("drill started", append([]any{"drill", s.Name}, clientAttr(s.Client)...)...)
	e.dispatch(balancer.StartFaultInjection{Name: s.Name})
}

// recordFaultInjected counts and logs a fault that the balancer has injected into a call.
func (e *Engine) recordFaultInjected(a balancer.FaultInjected) {
	c := e.calls[a.ID]
	if c == nil {
		return
	}
	e.counters.faultInjected++
	e.Metrics.Count(c.Tags, metrics.FaultInjected)
	e.Log.Info("drilled", append([]any{"id", a.ID, "class", c.Request.Class, "drill", a.FaultInjection},
		clientAttr(c.Request.Client)...)...)
}
