package engine

import (
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// guardStart counts what is wrong with an attempt that is about to begin.
func (e *Engine) guardStart(now time.Duration, att *Attempt) {
	c, t := att.Call, att.Target
	who := []any{"id", c.Request.ID, "server", t.ID, "attempt", att.N}
	if c.attempts > 0 {
		e.Guard.Note(invariants.Repeat{Attempts: c.attempts, Most: c.most, Out: c.out, MayHaveRun: c.mayHaveRun,
			Repeatable: c.Repeatable}.Check(), who...)
	}
	e.Guard.Note(invariants.Start{Cold: t.Boot > 0 && now < t.Boot+e.Balancer.WarmAfter(), Out: t.calls}.Check(), who...)
}

// guardClose counts what is wrong with a final answer.
func (e *Engine) guardClose(c *Call, refused bool) {
	end := invariants.Close{At: e.Clock.Now(), Deadline: c.Request.Deadline, Answered: true, Refused: refused,
		MayHaveRun: c.mayHaveRun, Repeatable: c.Repeatable}
	if c.Request.Bulk { // its time runs from its body's last byte
		end.Deadline = end.At
	}
	e.Guard.Note(end.Check(), "id", c.Request.ID, "attempts", c.attempts)
}
