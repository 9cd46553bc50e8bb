package engine

import (
	"net/netip"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/metrics"
)

// FaultInjectionStart names a fault injection (a drill, in the settings and the log) to start.
type FaultInjectionStart struct {
	Name   string
	Client netip.Addr // who asked for it; invalid: not known
}

// StartFaultInjection has the balancer start a fault injection. It blocks until the loop has taken it, or returns
// ErrStopped.
func (e *Engine) StartFaultInjection(s FaultInjectionStart) error {
	select {
	case e.faultInjectionStarts <- s:
		return nil
	case <-e.stopped:
		return ErrStopped
	}
}

// handleFaultInjectionStart notifies the balancer.
func (e *Engine) handleFaultInjectionStart(s FaultInjectionStart) {
	e.Log.Info("drill started", append([]any{"drill", s.Name}, clientAttr(s.Client)...)...)
	e.dispatch(balancer.StartFaultInjection{Name: s.Name})
}

// recordFaultInjected counts and logs a call into which the balancer has injected a fault.
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
