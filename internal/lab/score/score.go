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

// End is how a client's wish ended.
type End int

// Ends.
const (
	Served End = iota
	Failed
	Left // it went away by itself: counts for nothing
)

// Score holds the counts of a run.
type Score struct {
	s *scenario.Scenario

	Tries, Attempts, Handshakes, Fell int
	Work, Wasted                      time.Duration // at speed 1
	Events                            uint64

	all     worth
	windows []worth   // a second each, by the time of the first try
	slow    []float64 // sums of latencies of what was served, in ms, by the same
	ok      []int     // and their counts
	classes []worth
	tenants []worth
	latency *hdrhistogram.Histogram // of served first tries, in microseconds
	sends   *hdrhistogram.Histogram // attempts a request, over all tiers
	served  int
	late    int
	failed  int
	left    int
	refused int // tries
	early   int // of them in the first second
}

// worth is asked for and earned in time.
type worth struct{ asked, got float64 }

func (w worth) share() float64 {
	if w.asked == 0 {
		return 1
	}
	return w.got / w.asked
}

// New returns the empty score of a scenario.
func New(s *scenario.Scenario) *Score {
	return &Score{s: s, windows: make([]worth, int(s.Length/time.Second)+1), classes: make([]worth, len(s.Classes)),
		slow: make([]float64, int(s.Length/time.Second)+1), ok: make([]int, int(s.Length/time.Second)+1),
		tenants: make([]worth, len(s.Tenants)),
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), sends: hdrhistogram.New(1, 1<<20, 3)}
}

func (s *Score) each(at time.Duration, class, tenant int, f func(*worth)) {
	f(&s.all)
	f(&s.windows[min(int(at/time.Second), len(s.windows)-1)])
	f(&s.classes[class])
	f(&s.tenants[tenant])
}

// Asked is a client's first try.
func (s *Score) Asked(at time.Duration, class, tenant int) {
	v := s.s.Classes[class].Worth
	s.each(at, class, tenant, func(w *worth) { w.asked += v })
}

// Refused is a try that was turned away.
func (s *Score) Refused(at time.Duration) {
	s.refused++
	if at < time.Second {
		s.early++
	}
}

// Refusals counts the tries that were turned away, and of them those in the first second.
func (s *Score) Refusals() (all, early int) { return s.refused, s.early }

// Over is the end of what a client wanted, so long after its first try.
func (s *Score) Over(at, took time.Duration, class, tenant, attempts int, how End) {
	c := s.s.Classes[class]
	if attempts > 0 {
		_ = s.sends.RecordValue(int64(attempts)) // more than a million is none we can have
	}
	v := 0.0
	switch {
	case how == Left:
		s.left++
		s.each(at, class, tenant, func(w *worth) { w.asked -= c.Worth })
		return
	case how == Failed || took > c.Deadline:
		s.failed++
		return
	case took <= c.Aim:
		v = c.Worth
		s.served++
	default:
		v = c.Worth * c.LateShare
		s.late++
	}
	i := min(int(at/time.Second), len(s.ok)-1)
	s.slow[i] += ms(took)
	s.ok[i]++
	_ = s.latency.RecordValue(max(1, took.Microseconds())) // under an hour, as deadlines are
	s.each(at, class, tenant, func(w *worth) { w.got += v })
}

// Worth is the share of the worth asked for that was served in time (a late answer counts its part).
func (s *Score) Worth() float64 { return s.all.share() }

// Worst is the least share of any ten seconds, class and tenant.
func (s *Score) Worst() (window, class, tenant float64) {
	const span = 10
	window = 1
	for i := 0; i == 0 || i+span <= len(s.windows); i++ {
		var w worth
		for _, o := range s.windows[i:min(i+span, len(s.windows))] {
			w.asked += o.asked
			w.got += o.got
		}
		window = math.Min(window, w.share())
	}
	least := func(list []worth) float64 {
		v := 1.0
		for _, w := range list {
			v = math.Min(v, w.share())
		}
		return v
	}
	return window, least(s.classes), least(s.tenants)
}

// Served counts first tries that were served in time or late, failed, or left.
func (s *Score) Served() (inTime, late, failed, left int) { return s.served, s.late, s.failed, s.left }

// Quantile is a latency of what was served.
func (s *Score) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Figures are the run's results by name, for comparisons. Higher is better only for worth.
func (s *Score) Figures(violations int) map[string]float64 {
	window, class, tenant := s.Worst()
	roots := float64(max(1, s.served+s.late+s.failed))
	return map[string]float64{"worth": s.Worth(), "worst_10s": window, "worst_class": class, "worst_tenant": tenant,
		"p50_ms": ms(s.Quantile(50)), "p95_ms": ms(s.Quantile(95)), "p99_ms": ms(s.Quantile(99)),
		"refusals": float64(s.refused) / roots, "tries": float64(s.Tries) / roots, "attempts": float64(s.Attempts) / roots,
		"handshakes": float64(s.Handshakes) / float64(max(1, s.Attempts)), "failed": float64(s.failed) / roots,
		"wasted": s.Wasted.Seconds() / math.Max(s.Work.Seconds(), 1e-9), "violations": float64(violations)}
}

// Course is the worth served and the mean latency in ms of what was served, second by second.
func (s *Score) Course() (worth, latency []float64) {
	for i, w := range s.windows {
		worth = append(worth, w.share())
		latency = append(latency, s.slow[i]/float64(max(1, s.ok[i])))
	}
	return worth, latency
}

// Write prints the report.
func (s *Score) Write(w io.Writer) error {
	window, class, tenant := s.Worst()
	roots := max(1, s.served+s.late+s.failed)
	_, err := fmt.Fprintf(w, `scenario %s, seed %d, policy %s, %.0f s
worth served   %.4f   worst 10 s %.4f   worst class %.4f   worst tenant %.4f
requests       %d in time, %d late, %d failed, %d left
latency ms     p50 %.2f   p95 %.2f   p99 %.2f   most %.2f
a request      %.3f tries, %.3f attempts (p99 %d), %.4f refusals (%d in the first second)
connections    %d opened, %.4f an attempt
work           %.3f s, %.4f of it wasted; cold boxes pushed over: %d
events         %d
`, s.s.Name, s.s.Seed, s.s.Policy, s.s.Length.Seconds(), s.Worth(), window, class, tenant,
		s.served, s.late, s.failed, s.left, ms(s.Quantile(50)), ms(s.Quantile(95)), ms(s.Quantile(99)),
		float64(s.latency.Max())/1000, float64(s.Tries)/float64(roots), float64(s.Attempts)/float64(roots),
		s.sends.ValueAtQuantile(99), float64(s.refused)/float64(roots), s.early, s.Handshakes,
		float64(s.Handshakes)/float64(max(1, s.Attempts)), s.Work.Seconds(),
		s.Wasted.Seconds()/math.Max(s.Work.Seconds(), 1e-9), s.Fell, s.Events)
	return err
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
