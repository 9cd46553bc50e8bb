package engine

import (
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// checkAttemptStart checks the invariants of an attempt that is about to start, and counts and logs violations. It must be
// called before the attempt is counted as outstanding.
//
// The check of slow start covers only the time after the start of the server's process. The balancer also applies slow
// start after an operator has enabled a server again. That is not checked, because a Target does not contain the time.
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

// checkAnswer checks the invariants of a final answer, and counts and logs violations.
func (e *Engine) checkAnswer(c *Call, rejected bool) {
	end := invariants.RequestEnd{
		At:         e.Clock.Now(),
		Deadline:   c.Request.Deadline,
		Answered:   true,
		Rejected:   rejected,
		MayHaveRun: c.mayHaveRun,
		Retryable:  c.Retryable,
	}
	if c.arrivedAt <= e.answerBy { // a later call is answered at once, if the process still runs
		end.AnswerBy = e.answerBy
	}
	if c.Request.StreamedBody { // its deadline starts at the body's last byte, which the engine does not see
		end.Deadline = end.At
	}
	e.Violations.Record(end.Check(), "id", c.Request.ID, "attempts", c.attempts)
}
