// Package score counts what a played world was worth to its clients and what it cost. Both ways of playing feed
// it, and its report is the same bytes for the same counts.
package score

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Outcome is how a client's wish ended.
type Outcome int

// Ends.
const (
	Served Outcome = iota
	Failed
	Abandoned // it went away by itself: counts for nothing
)

// Score holds the counts of a run.
type Score struct {
	scenario *scenario.Scenario

	Tries, Attempts, Handshakes, Overloads int
	Work, Wasted                           time.Duration // at speed 1
	Events                                 uint64

	total         value
	seconds       []value   // a second each, by the time of the first try
	latencySums   []float64 // sums of latencies of what was served, in ms, by the same
	servedCounts  []int     // and their counts
	classes       []value
	tenants       []value
	latency       *hdrhistogram.Histogram // of served first tries, in microseconds
	attempts      *hdrhistogram.Histogram // attempts a request, over all tiers
	served        int
	late          int
	failed        int
	abandoned     int
	rejected      int // tries
	rejectedEarly int // of them in the first second
}

// value is asked for and earned in time.
type value struct{ offered, earned float64 }

func (w value) share() float64 {
	if w.offered == 0 {
		return 1
	}
	return w.earned / w.offered
}

// New returns the empty score of a scenario.
func New(s *scenario.Scenario) *Score {
	return &Score{scenario: s, seconds: make([]value, int(s.Length/time.Second)+1), classes: make([]value, len(s.Classes)),
		latencySums: make([]float64, int(s.Length/time.Second)+1), servedCounts: make([]int, int(s.Length/time.Second)+1),
		tenants: make([]value, len(s.Tenants)),
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), attempts: hdrhistogram.New(1, 1<<20, 3)}
}

func (s *Score) eachValue(at time.Duration, class, tenant int, f func(*value)) {
	f(&s.total)
	f(&s.seconds[min(int(at/time.Second), len(s.seconds)-1)])
	f(&s.classes[class])
	f(&s.tenants[tenant])
}

// RequestBegun is a client's first try.
func (s *Score) RequestBegun(at time.Duration, class, tenant int) {
	v := s.scenario.Classes[class].PriorityWeight
	s.eachValue(at, class, tenant, func(w *value) { w.offered += v })
}

// TryRejected is a try that was turned away.
func (s *Score) TryRejected(at time.Duration) {
	s.rejected++
	if at < time.Second {
		s.rejectedEarly++
	}
}

// Rejections counts the tries that were turned away, and of them those in the first second.
func (s *Score) Rejections() (all, early int) { return s.rejected, s.rejectedEarly }

// RequestEnded is the end of what a client wanted, so long after its first try.
func (s *Score) RequestEnded(at, took time.Duration, class, tenant, attempts int, how Outcome) {
	c := s.scenario.Classes[class]
	if attempts > 0 {
		_ = s.attempts.RecordValue(int64(attempts)) // more than a million is none we can have
	}
	v := 0.0
	switch {
	case how == Abandoned:
		s.abandoned++
		s.eachValue(at, class, tenant, func(w *value) { w.offered -= c.PriorityWeight })
		return
	case how == Failed || took > c.Deadline:
		s.failed++
		return
	case took <= c.LatencyObjective:
		v = c.PriorityWeight
		s.served++
	default:
		v = c.PriorityWeight * c.LateCredit
		s.late++
	}
	i := min(int(at/time.Second), len(s.servedCounts)-1)
	s.latencySums[i] += milliseconds(took)
	s.servedCounts[i]++
	_ = s.latency.RecordValue(max(1, took.Microseconds())) // under an hour, as deadlines are
	s.eachValue(at, class, tenant, func(w *value) { w.earned += v })
}

// ValueShare is the share of the worth asked for that was served in time (a late answer counts its part).
func (s *Score) ValueShare() float64 { return s.total.share() }

// WorstShares is the least share of any ten seconds, class and tenant.
func (s *Score) WorstShares() (window, class, tenant float64) {
	const span = 10
	window = 1
	for i := 0; i == 0 || i+span <= len(s.seconds); i++ {
		var w value
		for _, o := range s.seconds[i:min(i+span, len(s.seconds))] {
			w.offered += o.offered
			w.earned += o.earned
		}
		window = math.Min(window, w.share())
	}
	least := func(list []value) float64 {
		v := 1.0
		for _, w := range list {
			v = math.Min(v, w.share())
		}
		return v
	}
	return window, least(s.classes), least(s.tenants)
}

// Counts counts first tries that were served in time or late, failed, or left.
func (s *Score) Counts() (inTime, late, failed, left int) {
	return s.served, s.late, s.failed, s.abandoned
}

// Quantile is a latency of what was served.
func (s *Score) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Metrics are the run's results by name, for comparisons. Higher is better only for worth.
func (s *Score) Metrics(violations int) map[string]float64 {
	window, class, tenant := s.WorstShares()
	roots := float64(max(1, s.served+s.late+s.failed))
	return map[string]float64{"worth": s.ValueShare(), "worst_10s": window, "worst_class": class, "worst_tenant": tenant,
		"p50_ms": milliseconds(s.Quantile(50)), "p95_ms": milliseconds(s.Quantile(95)), "p99_ms": milliseconds(s.Quantile(99)),
		"refusals": float64(s.rejected) / roots, "tries": float64(s.Tries) / roots, "attempts": float64(s.Attempts) / roots,
		"handshakes": float64(s.Handshakes) / float64(max(1, s.Attempts)), "failed": float64(s.failed) / roots,
		"wasted": s.Wasted.Seconds() / math.Max(s.Work.Seconds(), 1e-9), "violations": float64(violations)}
}

// Timeline is the worth served and the mean latency in ms of what was served, second by second.
func (s *Score) Timeline() (worth, latency []float64) {
	for i, w := range s.seconds {
		worth = append(worth, w.share())
		latency = append(latency, s.latencySums[i]/float64(max(1, s.servedCounts[i])))
	}
	return worth, latency
}

// Write prints the report.
func (s *Score) Write(w io.Writer) error {
	window, class, tenant := s.WorstShares()
	roots := max(1, s.served+s.late+s.failed)
	_, err := fmt.Fprintf(w, `scenario %s, seed %d, policy %s, %.0f s
worth served   %.4f   worst 10 s %.4f   worst class %.4f   worst tenant %.4f
requests       %d in time, %d late, %d failed, %d left
latency ms     p50 %.2f   p95 %.2f   p99 %.2f   most %.2f
a request      %.3f tries, %.3f attempts (p99 %d), %.4f refusals (%d in the first second)
connections    %d opened, %.4f an attempt
work           %.3f s, %.4f of it wasted; cold boxes pushed over: %d
events         %d
`, s.scenario.Name, s.scenario.Seed, s.scenario.Policy, s.scenario.Length.Seconds(), s.ValueShare(), window, class, tenant,
		s.served, s.late, s.failed, s.abandoned, milliseconds(s.Quantile(50)), milliseconds(s.Quantile(95)), milliseconds(s.Quantile(99)),
		float64(s.latency.Max())/1000, float64(s.Tries)/float64(roots), float64(s.Attempts)/float64(roots),
		s.attempts.ValueAtQuantile(99), float64(s.rejected)/float64(roots), s.rejectedEarly, s.Handshakes,
		float64(s.Handshakes)/float64(max(1, s.Attempts)), s.Work.Seconds(),
		s.Wasted.Seconds()/math.Max(s.Work.Seconds(), 1e-9), s.Overloads, s.Events)
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
