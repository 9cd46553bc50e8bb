package score

import (
	"fmt"
	"io"
	"math"
	"time"
)

// minWork replaces zero work as a divisor, in seconds.
const minWork = 1e-9

// Quantiles of reports, in percent.
const (
	median = 50 // half is faster
	p95    = 95 // one in twenty is slower
	p99    = 99 // one in a hundred is slower
)

// requestCount returns the number of requests that were served or failed, at least 1 because it is a divisor. Requests
// whose clients left are not counted.
func (s *Score) requestCount() int { return max(1, s.served+s.late+s.failed) }

// Metrics returns the results of a run by their names in results files. For worth higher is better; for most others
// lower is better.
func (s *Score) Metrics(violations int) map[string]float64 {
	window, class, tenant := s.WorstShares()
	requests := float64(s.requestCount())
	return map[string]float64{
		"worth":        s.ValueShare(),
		"worst_10s":    window,
		"worst_class":  class,
		"worst_tenant": tenant,
		"p50_ms":       milliseconds(s.Quantile(median)),
		"p95_ms":       milliseconds(s.Quantile(p95)),
		"p99_ms":       milliseconds(s.Quantile(p99)),
		"refusals":     float64(s.rejected) / requests,
		"tries":        float64(s.Tries) / requests,
		"attempts":     float64(s.Attempts) / requests,
		"handshakes":   s.handshakeShare(),
		"failed":       float64(s.failed) / requests,
		"wasted":       s.wastedShare(),
		"violations":   float64(violations),
	}
}

// handshakeShare returns the number of new connections per attempt.
func (s *Score) handshakeShare() float64 { return float64(s.Handshakes) / float64(max(1, s.Attempts)) }

// wastedShare returns the share of the servers' work that no client was waiting for any more.
func (s *Score) wastedShare() float64 {
	return s.Wasted.Seconds() / math.Max(s.Work.Seconds(), minWork)
}

// Write prints the report in the terms of the lab's documentation.
func (s *Score) Write(w io.Writer) error {
	window, class, tenant := s.WorstShares()
	requests := float64(s.requestCount())
	_, err := fmt.Fprintf(w, `scenario %s, seed %d, policy %s, %.0f s
worth served   %.4f   worst 10 s %.4f   worst class %.4f   worst tenant %.4f
requests       %d in time, %d late, %d failed, %d abandoned
latency ms     p50 %.2f   p95 %.2f   p99 %.2f   max %.2f
per request    %.3f tries, %.3f attempts (p99 %d), %.4f rejections (%d in the first second)
connections    %d opened, %.4f per attempt
work           %.3f s, %.4f of it wasted; servers overloaded while warming up: %d
events         %d
`, s.scenario.Name, s.scenario.Seed, s.scenario.Policy, s.scenario.Length.Seconds(),
		s.ValueShare(), window, class, tenant,
		s.served, s.late, s.failed, s.abandoned,
		milliseconds(s.Quantile(median)), milliseconds(s.Quantile(p95)), milliseconds(s.Quantile(p99)), float64(s.latency.Max())/1000,
		float64(s.Tries)/requests, float64(s.Attempts)/requests, s.attempts.ValueAtQuantile(p99), float64(s.rejected)/requests, s.rejectedEarly,
		s.Handshakes, s.handshakeShare(),
		s.Work.Seconds(), s.wastedShare(), s.Overloads,
		s.Events)
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
