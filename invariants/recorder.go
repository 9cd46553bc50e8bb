package invariants

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// logInterval is between two log lines of violations of one rule, at least: a fault in service breaks a rule thousands of
// times a second, and must not drown the log that explains it.
const logInterval = time.Second

// Recorder counts violations by rule and logs them, for one node. A nil Recorder does neither. Its methods may be called from any
// goroutine.
type Recorder struct {
	// OnViolation, if not nil, is called with each violation's rule. It is set before any violation is noted, and must not block.
	OnViolation func(Rule)

	log        *slog.Logger
	counts     [ruleCount]atomic.Int64
	lastLogged [ruleCount]atomic.Int64 // Unix time in ns of the last line; a step of the wall clock costs a line or adds one
}

// NewRecorder makes a Guard that has counted nothing.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// Record counts a violation, and logs it with attributes that name its request. It says whether there was one: v is what a
// check returned, and may be nil.
func (g *Recorder) Record(v *Violation, attrs ...any) bool {
	if v == nil {
		return false
	}
	if g == nil {
		return true
	}
	count := g.counts[v.Rule].Add(1)
	if g.OnViolation != nil {
		g.OnViolation(v.Rule)
	}
	now, last := time.Now().UnixNano(), g.lastLogged[v.Rule].Load()
	if now-last >= int64(logInterval) && g.lastLogged[v.Rule].CompareAndSwap(last, now) {
		g.log.Error("invariant broken", append([]any{"rule", v.Rule, "err", v, "count", count}, attrs...)...)
	}
	return true
}

// Count is how often a rule was broken so far.
func (g *Recorder) Count(r Rule) int64 {
	if g == nil {
		return 0
	}
	return g.counts[r].Load()
}

// Total is how often any rule was broken so far.
func (g *Recorder) Total() (n int64) {
	for _, r := range Rules {
		n += g.Count(r)
	}
	return n
}
