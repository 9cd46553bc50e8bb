package engine

import (
	"log/slog"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

const (
	tallyEvery = 5 * time.Second // between two log lines of counts
	breakEvery = time.Second     // between two log lines of unanswered attempts
)

// tally counts what became of calls and attempts since the last log line: of a bad stretch it tells whether
// callers were turned away before or after an attempt, and how the attempts ended.
type tally struct {
	taken, served, left int
	drilled, denied     int
	refused, failed     [2]int // before any attempt; after one
	expired             int    // of the refused, while the list had expired
	endings             [balancer.NotSent + 1]int
	nextBreak           time.Duration // until then no further unanswered attempt is logged
}

// tried is the index of a count split by whether an attempt was made.
func tried(c *Call) int { return min(c.attempts, 1) }

// write logs the counts, if there are any, and starts anew.
func (t *tally) write(log *slog.Logger, out int) {
	fresh := tally{nextBreak: t.nextBreak}
	if *t == fresh {
		return
	}
	e := &t.endings
	var features []any // only what is on has something to tell
	if t.drilled > 0 {
		features = append(features, "hookwalk.drill.applied", t.drilled)
	}
	if t.denied > 0 {
		features = append(features, "denied", t.denied)
	}
	if t.expired > 0 {
		features = append(features, "refused_list_expired", t.expired)
	}
	log.With(features...).Info("counts", "taken", t.taken, "served", t.served, "left", t.left,
		"refused_unsent", t.refused[0], "refused_sent", t.refused[1],
		"failed_unsent", t.failed[0], "failed_sent", t.failed[1], "open", out,
		"ok", e[balancer.Success], "error", e[balancer.Failure], "full", e[balancer.Overloaded],
		"timeout", e[balancer.TimedOut], "connect", e[balancer.Unreachable], "reset", e[balancer.ConnectionLost],
		"void", e[balancer.NotSent])
	*t = fresh
}

// note counts an ending and logs an attempt that got no answer, though not each of a run of them.
func (t *tally) note(log *slog.Logger, now time.Duration, r Result) {
	t.endings[r.Outcome]++
	if r.Err == nil || now < t.nextBreak {
		return
	}
	t.nextBreak = now + breakEvery
	log.Warn("attempt without an answer", append([]any{"server", r.Attempt.Target.ID, "err", r.Err,
		"after", now - r.Attempt.Started, "uses", r.ConnectionUses, "age", r.ConnectionAge, "idle", r.ConnectionIdle}, who(r.Attempt.Call.Request.Client)...)...)
}
