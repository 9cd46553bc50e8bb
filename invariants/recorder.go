package invariants

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// logInterval is the minimum time between two log lines about violations of the same rule. In production, a fault can break
// a rule thousands of times a second, which must not flood the log that explains it.
const logInterval = time.Second

// Recorder counts the violations of one node by rule, and logs them. A nil Recorder neither counts nor logs. The methods may
// be called from any goroutine.
type Recorder struct {
	// OnViolation, if not nil, is called with the rule of each violation. It must be set before the first call of Record,
	// and must not block.
	OnViolation func(Rule)

	log        *slog.Logger
	counts     [ruleCount]atomic.Int64
	lastLogged [ruleCount]atomic.Int64 // Unix time in ns; a step of the wall clock may suppress or add a line
}

// NewRecorder returns a Recorder that logs to log.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// Record counts and logs v, the result of a check, with attributes that identify the request. It reports whether there was
// a violation, that is whether v is not nil.
func (r *Recorder) Record(v *Violation, attrs ...any) bool {
	if v == nil {
		return false
	}
	if r == nil {
		return true
	}
	count := r.counts[v.Rule].Add(1)
	if r.OnViolation != nil {
		r.OnViolation(v.Rule)
	}
	now, last := time.Now().UnixNano(), r.lastLogged[v.Rule].Load()
	if now-last >= int64(logInterval) && r.lastLogged[v.Rule].CompareAndSwap(last, now) {
		r.log.Error("invariant broken", append([]any{"rule", v.Rule, "err", v, "count", count}, attrs...)...)
	}
	return true
}

// Count returns how often a rule has been broken.
func (r *Recorder) Count(rule Rule) int64 {
	if r == nil {
		return 0
	}
	return r.counts[rule].Load()
}

// Total returns how often all rules together have been broken.
func (r *Recorder) Total() (n int64) {
	for _, rule := range Rules {
		n += r.Count(rule)
	}
	return n
}
