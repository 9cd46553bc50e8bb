package engine

import (
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// checkAttemptStart counts and logs the invariants that an attempt breaks as it starts, before it is counted as outstanding.
//
// Slow start is checked from the start of the server's process. The balancer also has a server start slowly after an
// operator has enabled it again; that is not checked here, as a Target does not know when it was enabled.
func (e *Engine) checkAttemptStart(now time.Duration, attempt *Attempt) {
	c, target := attempt.Call, attempt.Target
	attrs := attempt.logAttrs()
	if c.attempts > 0 {
		retry := invariants.Retry{
			Attempts:    c.attempts,
			MaxAttempts: c.maxAttempts,
			Outstanding: c.outstanding,
			MayHaveRun:  c.mayHaveRun,
			Retryable:   c.Retryable,
		}
		e.Violations.Record(retry.Check(), attrs...)
	}
	slowStart := invariants.SlowStartSend{
		WarmingUp:   target.StartTime > 0 && now < target.StartTime+e.Balancer.SlowStartDuration(),
		Outstanding: target.outstanding,
	}
	e.Violations.Record(slowStart.Check(), attrs...)
}

// checkAnswer counts and logs the invariants that a final answer breaks.
func (e *Engine) checkAnswer(c *Call, rejected bool) {
	end := invariants.RequestEnd{
		At:         e.Clock.Now(),
		Deadline:   c.Request.Deadline,
		Answered:   true,
		Rejected:   rejected,
		MayHaveRun: c.mayHaveRun,
		Retryable:  c.Retryable,
	}
	if c.Request.StreamedBody { // its time runs from its body's last byte, which the engine does not see
		end.Deadline = end.At
	}
	e.Violations.Record(end.Check(), "id", c.Request.ID, "attempts", c.attempts)
}
