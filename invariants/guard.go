package invariants

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// logInterval is between two log lines of violations of one rule, at least: a fault in service breaks a rule thousands of
// times a second, and must not drown the log that explains it.
const logInterval = time.Second

// Guard counts violations by rule and logs them, for one node. A nil Guard does neither. Its methods may be called from any
// goroutine.
type Guard struct {
	// Counted, if not nil, is called with each violation's rule. It is set before any violation is noted, and must not block.
	Counted func(Rule)

	log    *slog.Logger
	counts [ruleCount]atomic.Int64
	logged [ruleCount]atomic.Int64 // Unix time in ns of the last line; a step of the wall clock costs a line or adds one
}

// NewGuard makes a Guard that has counted nothing.
func NewGuard(log *slog.Logger) *Guard { return &Guard{log: log} }

// Note counts a violation, and logs it with attributes that name its request. It says whether there was one: v is what a
// check returned, and may be nil.
func (g *Guard) Note(v *Violation, attrs ...any) bool {
	if v == nil {
		return false
	}
	if g == nil {
		return true
	}
	count := g.counts[v.Rule].Add(1)
	if g.Counted != nil {
		g.Counted(v.Rule)
	}
	now, last := time.Now().UnixNano(), g.logged[v.Rule].Load()
	if now-last >= int64(logInterval) && g.logged[v.Rule].CompareAndSwap(last, now) {
		g.log.Error("invariant broken", append([]any{"rule", v.Rule, "err", v, "count", count}, attrs...)...)
	}
	return true
}

// Count is how often a rule was broken so far.
func (g *Guard) Count(r Rule) int64 {
	if g == nil {
		return 0
	}
	return g.counts[r].Load()
}

// Total is how often any rule was broken so far.
func (g *Guard) Total() (n int64) {
	for _, r := range Rules {
		n += g.Count(r)
	}
	return n
}
