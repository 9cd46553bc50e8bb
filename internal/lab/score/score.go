// Package score computes the value that a run of a scenario served to its clients, and the cost of serving it. Both the
// simulation and runs with real processes use it. Equal counts give byte-identical reports.
package score

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Outcome is the outcome of a client's request.
type Outcome int

// Outcomes.
const (
	Served    Outcome = iota // with a success
	Failed                   // with an error or without an answer
	Abandoned                // the client left before its deadline; not counted
)

// Ranges and precision of the histograms.
const (
	maxLatency        = time.Hour // deadlines are at most as long
	maxAttempts       = 1 << 20   // of a request, in all tiers
	significantDigits = 3         // of recorded values
)

// worstWindow is the length of the window with the lowest value share that is reported, in seconds.
const worstWindow = 10

// Score holds the counts of a run.
type Score struct {
	scenario *scenario.Scenario

	Tries, Attempts, Handshakes, Overloads int
	Work, Wasted                           time.Duration // of servers, at speed 1
	Events                                 uint64

	total         value
	seconds       []value   // by the time of the first try
	latencySums   []float64 // of served requests, in ms, by the time of the first try
	servedCounts  []int     // of served requests, by the time of the first try
	classes       []value
	tenants       []value
	latency       *hdrhistogram.Histogram // of served requests, in microseconds
	attempts      *hdrhistogram.Histogram // of a request, in all tiers
	served        int                     // within the latency objective
	late          int
	failed        int
	abandoned     int
	rejected      int // number of rejected tries
	rejectedEarly int // rejected tries in the first second
}

// value is the sum of the priority weights of requests, and the part of it that was earned.
type value struct{ offered, earned float64 }

// share returns the share that was earned, or 1 if nothing was offered.
func (v value) share() float64 {
	if v.offered == 0 {
		return 1
	}
	return v.earned / v.offered
}

// New returns an empty score for a scenario.
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

// eachValue applies change to all values that a request contributes to.
func (s *Score) eachValue(at time.Duration, class, tenant int, change func(*value)) {
	change(&s.total)
	change(&s.seconds[s.secondOf(at)])
	change(&s.classes[class])
	change(&s.tenants[tenant])
}

func (s *Score) secondOf(at time.Duration) int { return min(int(at/time.Second), len(s.seconds)-1) }

// RequestBegun records a client's first try.
func (s *Score) RequestBegun(at time.Duration, class, tenant int) {
	weight := s.scenario.Classes[class].PriorityWeight
	s.eachValue(at, class, tenant, func(v *value) { v.offered += weight })
}

// TryRejected records that a try was rejected.
func (s *Score) TryRejected(at time.Duration) {
	s.rejected++
	if at < time.Second {
		s.rejectedEarly++
	}
}

// Rejections returns the number of rejected tries, and of those in the first second.
func (s *Score) Rejections() (all, early int) { return s.rejected, s.rejectedEarly }

// RequestEnded records the end of a client's request. at is the time of its first try, and latency is measured from
// then.
func (s *Score) RequestEnded(at, latency time.Duration, class, tenant, attempts int, outcome Outcome) {
	c := s.scenario.Classes[class]
	if attempts > 0 {
		_ = s.attempts.RecordValue(int64(attempts)) // no request has more than maxAttempts
	}
	earned := 0.0
	switch {
	case outcome == Abandoned:
		s.abandoned++
		s.eachValue(at, class, tenant, func(v *value) { v.offered -= c.PriorityWeight })
		return
	case outcome == Failed || latency > c.Deadline:
		s.failed++
		return
	case latency <= c.LatencyObjective:
		earned = c.PriorityWeight
		s.served++
	default:
		earned = c.PriorityWeight * c.LateCredit
		s.late++
	}
	second := s.secondOf(at)
	s.latencySums[second] += milliseconds(latency)
	s.servedCounts[second]++
	_ = s.latency.RecordValue(max(1, latency.Microseconds())) // no deadline exceeds maxLatency
	s.eachValue(at, class, tenant, func(v *value) { v.earned += earned })
}

// ValueShare returns the share of the offered value that was earned. A late answer earns its late credit.
func (s *Score) ValueShare() float64 { return s.total.share() }

// WorstShares returns the lowest value shares of any ten seconds, any class and any tenant.
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

// Counts returns the number of requests that were served within the latency objective, were served late, failed, or
// were abandoned by their clients.
func (s *Score) Counts() (inTime, late, failed, abandoned int) {
	return s.served, s.late, s.failed, s.abandoned
}

// Quantile returns a quantile of the latency of served requests; q is in percent.
func (s *Score) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Timeline returns the value share and the mean latency of served requests in ms, for each second of the run.
func (s *Score) Timeline() (valueShares, latencies []float64) {
	for i, v := range s.seconds {
		valueShares = append(valueShares, v.share())
		latencies = append(latencies, s.latencySums[i]/float64(max(1, s.servedCounts[i])))
	}
	return valueShares, latencies
}
