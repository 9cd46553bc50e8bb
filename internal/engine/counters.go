package engine

import (
	"log/slog"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Limits on the rate of log lines, so that neither full load nor the failure of all servers floods the log.
const (
	countersInterval = 5 * time.Second // between two log lines of counters
	failureInterval  = time.Second     // minimum between two log lines of attempts without a response
)

// attemptStage separates the counts of calls that were rejected or failed before their first attempt, which show overload,
// from the counts of those after it, which show faults of servers. The reason of a rejection is counted only for an expired
// endpoint list; Balancer.giveUp lists the other reasons.
type attemptStage int

// The stages.
const (
	beforeAttempt attemptStage = iota // no attempt was started
	afterAttempt                      // at least one attempt was started
	attemptStages                     // number of stages
)

// attemptStage returns the stage of a call.
func (c *Call) attemptStage() attemptStage {
	if c.attempts == 0 {
		return beforeAttempt
	}
	return afterAttempt
}

// counters counts the results of calls and attempts since the last log line of counters. Only the event loop accesses it.
type counters struct {
	received, served, clientGone int
	faultInjected, denied        int
	rejected, failed             [attemptStages]int
	rejectedLeaseExpired         int                       // calls rejected while the endpoint list had expired
	outcomes                     [balancer.NotSent + 1]int // attempts by outcome
	nextFailureLog               time.Duration             // on the engine's clock; no failed attempt is logged before
}

// outcomeNames are the names of the outcomes in the log.
var outcomeNames = [balancer.NotSent + 1]string{balancer.Success: "success", balancer.Failure: "failure",
	balancer.Overloaded: "overloaded", balancer.TimedOut: "timed_out", balancer.Unreachable: "unreachable",
	balancer.ConnectionLost: "connection_lost", balancer.Canceled: "canceled", balancer.NotSent: "not_sent"}

// logCounters logs the counters, if anything was counted, and resets them.
func (e *Engine) logCounters() { e.counters.log(e.Log, len(e.calls)) }

// log implements logCounters; open is the number of open calls.
func (c *counters) log(log *slog.Logger, open int) {
	zero := counters{nextFailureLog: c.nextFailureLog}
	if *c == zero {
		return
	}
	var optionalAttrs []any // counters of optional features, logged only if they are not zero
	if c.faultInjected > 0 {
		optionalAttrs = append(optionalAttrs, "hookwalk.drill.applied", c.faultInjected)
	}
	if c.denied > 0 {
		optionalAttrs = append(optionalAttrs, "denied", c.denied)
	}
	if c.rejectedLeaseExpired > 0 {
		optionalAttrs = append(optionalAttrs, "rejected_list_expired", c.rejectedLeaseExpired)
	}
	log.With(optionalAttrs...).Info("counts",
		"received", c.received, "served", c.served, "client_gone", c.clientGone,
		"rejected_unsent", c.rejected[beforeAttempt], "rejected_sent", c.rejected[afterAttempt],
		"failed_unsent", c.failed[beforeAttempt], "failed_sent", c.failed[afterAttempt],
		"open", open,
		"success", c.outcomes[balancer.Success], "failure", c.outcomes[balancer.Failure],
		"overloaded", c.outcomes[balancer.Overloaded], "timed_out", c.outcomes[balancer.TimedOut],
		"unreachable", c.outcomes[balancer.Unreachable], "connection_lost", c.outcomes[balancer.ConnectionLost],
		"not_sent", c.outcomes[balancer.NotSent])
	*c = zero
}

// addResult counts the outcome of an attempt. It logs an attempt that ended without a response, at most once in
// failureInterval.
func (c *counters) addResult(log *slog.Logger, now time.Duration, r Result) {
	c.outcomes[r.Outcome]++
	if r.Err == nil || now < c.nextFailureLog {
		return
	}
	c.nextFailureLog = now + failureInterval
	log.Warn("attempt without an answer", append([]any{"server", r.Attempt.Target.ID, "err", r.Err,
		"elapsed", now - r.Attempt.Started, "connection_uses", r.ConnectionUses,
		"connection_age", r.ConnectionAge, "connection_idle", r.ConnectionIdle,
		"id", r.Attempt.Call.Request.ID, "attempt", r.Attempt.Number, "outcome", outcomeNames[r.Outcome], "ground", r.Reason,
		"connection", r.Connection, "written", r.Written, "closed_by", r.ClosedBy},
		clientAttr(r.Attempt.Call.Request.Client)...)...)
}
