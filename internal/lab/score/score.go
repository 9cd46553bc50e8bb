// Package score counts the value that a played world served its clients, and what that cost. Both ways of playing feed it,
// and its report is the same bytes for the same counts.
package score

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Outcome is how a client's request ended.
type Outcome int

// Outcomes.
const (
	Served    Outcome = iota // with a success
	Failed                   // with an error, or without an answer
	Abandoned                // the client left by itself: counts for nothing
)

// Histograms.
const (
	maxLatency        = time.Hour // as deadlines are shorter
	maxAttempts       = 1 << 20   // of a request, over all tiers
	significantDigits = 3         // of a recorded value
)

// worstWindow is the length in seconds of the windows of which the worst one is reported.
const worstWindow = 10

// Score holds the counts of a run.
type Score struct {
	scenario *scenario.Scenario

	Tries, Attempts, Handshakes, Overloads int
	Work, Wasted                           time.Duration // of servers, at speed 1
	Events                                 uint64

	total         value
	seconds       []value   // by the time of the first try
	latencySums   []float64 // of what was served, in ms, by the same
	servedCounts  []int     // of what was served, by the same
	classes       []value
	tenants       []value
	latency       *hdrhistogram.Histogram // of served requests, in microseconds
	attempts      *hdrhistogram.Histogram // of a request, over all tiers
	served        int                     // within the latency objective
	late          int
	failed        int
	abandoned     int
	rejected      int // tries
	rejectedEarly int // those in the first second
}

// value is the priority weight that was offered, and what was earned of it.
type value struct{ offered, earned float64 }

// share is the share that was earned; 1 where nothing was offered.
func (v value) share() float64 {
	if v.offered == 0 {
		return 1
	}
	return v.earned / v.offered
}

// New returns the empty score of a scenario.
func New(s *scenario.Scenario) *Score {
	seconds := int(s.Length/time.Second) + 1
	return &Score{
		scenario:     s,
		seconds:      make([]value, seconds),
		latencySums:  make([]float64, seconds),
		servedCounts: make([]int, seconds),
		classes:      make([]value, len(s.Classes)),
		tenants:      make([]value, len(s.Tenants)),
		latency:      hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
		attempts:     hdrhistogram.New(1, maxAttempts, significantDigits),
	}
}

// eachValue changes all values that a request counts for.
func (s *Score) eachValue(at time.Duration, class, tenant int, change func(*value)) {
	change(&s.total)
	change(&s.seconds[s.secondOf(at)])
	change(&s.classes[class])
	change(&s.tenants[tenant])
}

func (s *Score) secondOf(at time.Duration) int { return min(int(at/time.Second), len(s.seconds)-1) }

// RequestBegun is a client's first try.
func (s *Score) RequestBegun(at time.Duration, class, tenant int) {
	weight := s.scenario.Classes[class].PriorityWeight
	s.eachValue(at, class, tenant, func(v *value) { v.offered += weight })
}

// TryRejected is a try that was rejected.
func (s *Score) TryRejected(at time.Duration) {
	s.rejected++
	if at < time.Second {
		s.rejectedEarly++
	}
}

// Rejections counts the tries that were rejected, and those of them in the first second.
func (s *Score) Rejections() (all, early int) { return s.rejected, s.rejectedEarly }

// RequestEnded is the end of a client's request, so long after its first try at a time.
func (s *Score) RequestEnded(at, took time.Duration, class, tenant, attempts int, how Outcome) {
	c := s.scenario.Classes[class]
	if attempts > 0 {
		_ = s.attempts.RecordValue(int64(attempts)) // no request has more than maxAttempts
	}
	earned := 0.0
	switch {
	case how == Abandoned:
		s.abandoned++
		s.eachValue(at, class, tenant, func(v *value) { v.offered -= c.PriorityWeight })
		return
	case how == Failed || took > c.Deadline:
		s.failed++
		return
	case took <= c.LatencyObjective:
		earned = c.PriorityWeight
		s.served++
	default:
		earned = c.PriorityWeight * c.LateCredit
		s.late++
	}
	second := s.secondOf(at)
	s.latencySums[second] += milliseconds(took)
	s.servedCounts[second]++
	_ = s.latency.RecordValue(max(1, took.Microseconds())) // no deadline is over maxLatency
	s.eachValue(at, class, tenant, func(v *value) { v.earned += earned })
}

// ValueShare is the share of the offered value that was served in time; a late answer earns its late credit.
func (s *Score) ValueShare() float64 { return s.total.share() }

// WorstShares are the least shares of any ten seconds, of any class and of any tenant.
func (s *Score) WorstShares() (window, class, tenant float64) {
	window = 1
	for i := 0; i == 0 || i+worstWindow <= len(s.seconds); i++ {
		var v value
		for _, second := range s.seconds[i:min(i+worstWindow, len(s.seconds))] {
			v.offered += second.offered
			v.earned += second.earned
		}
		window = math.Min(window, v.share())
	}
	return window, leastShare(s.classes), leastShare(s.tenants)
}

func leastShare(values []value) float64 {
	least := 1.0
	for _, v := range values {
		least = math.Min(least, v.share())
	}
	return least
}

// Counts counts the requests that were served within the objective or late, that failed, or whose clients left.
func (s *Score) Counts() (inTime, late, failed, abandoned int) {
	return s.served, s.late, s.failed, s.abandoned
}

// Quantile is a quantile of the latency of what was served; q is in percent.
func (s *Score) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Timeline is the value share and the mean latency in ms of what was served, second by second.
func (s *Score) Timeline() (valueShares, latencies []float64) {
	for i, v := range s.seconds {
		valueShares = append(valueShares, v.share())
		latencies = append(latencies, s.latencySums[i]/float64(max(1, s.servedCounts[i])))
	}
	return valueShares, latencies
}
