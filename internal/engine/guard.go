package engine

import (
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// guardStart counts what is wrong with an attempt that is about to begin.
func (e *Engine) guardStart(now time.Duration, att *Attempt) {
	c, t := att.Call, att.Target
	who := []any{"id", c.Request.ID, "server", t.ID, "attempt", att.Number}
	if c.attempts > 0 {
		e.Guard.Note(invariants.Retry{Attempts: c.attempts, MaxAttempts: c.most, Outstanding: c.out, MayHaveRun: c.mayHaveRun,
			Retryable: c.Retryable}.Check(), who...)
	}
	e.Guard.Note(invariants.SlowStartSend{WarmingUp: t.Boot > 0 && now < t.Boot+e.Balancer.SlowStartDuration(), Outstanding: t.calls}.Check(), who...)
}

// guardClose counts what is wrong with a final answer.
func (e *Engine) guardClose(c *Call, refused bool) {
	end := invariants.Close{At: e.Clock.Now(), Deadline: c.Request.Deadline, Answered: true, Rejected: refused,
		MayHaveRun: c.mayHaveRun, Retryable: c.Retryable}
	if c.Request.StreamedBody { // its time runs from its body's last byte
		end.Deadline = end.At
	}
	e.Guard.Note(end.Check(), "id", c.Request.ID, "attempts", c.attempts)
}
