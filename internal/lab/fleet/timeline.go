package fleet

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// sliceLength is the length of one slice of a timeline.
const sliceLength = 100 * time.Millisecond

// Full service is reached when each of the next fullServiceSeconds seconds serves at least fullServiceShare of what the
// same seed serves without faults.
const (
	fullServiceShare   = 0.99 // a loss of 1% is not an outage
	fullServiceSeconds = 5    // so that a single good second does not count as a recovery
)

// Timeline holds the priority weight that clients offered and that was earned, in slices of sliceLength by the time of each
// request's first try.
type Timeline struct{ Offered, Earned []float64 }

// TimelineOf computes the timeline of a history. A request that was served within its latency objective earns its
// weight, and a later one earns the late credit.
func TimelineOf(s *scenario.Scenario, events []blackbox.Event) (t Timeline) {
	n := int(s.Length/sliceLength) + 1
	t.Offered, t.Earned = make([]float64, n), make([]float64, n)
	sliceOf := func(at time.Duration) int { return min(max(int(at/sliceLength), 0), n-1) }
	for _, e := range events {
		if e.Class < 0 || e.Class >= len(s.Classes) {
			continue
		}
		class := s.Classes[e.Class]
		switch e.Kind {
		case blackbox.RequestBegun:
			t.Offered[sliceOf(e.At)] += class.PriorityWeight
		case blackbox.RequestEnded:
			t.Earned[sliceOf(e.At-e.Duration)] += earned(class, e)
		}
	}
	return t
}

// earned returns the weight that a request earns by its RequestEnded event.
func earned(class scenario.Class, e blackbox.Event) float64 {
	switch {
	case !e.Ready || e.Duration > class.Deadline:
		return 0
	case e.Duration <= class.LatencyObjective:
		return class.PriorityWeight
	}
	return class.PriorityWeight * class.LateCredit
}

// Between returns the weight that was offered in a period, and how much of it was earned.
func (t Timeline) Between(from, to time.Duration) (offered, earned float64) {
	for i := max(int(from/sliceLength), 0); i < min(int(to/sliceLength), len(t.Offered)); i++ {
		offered, earned = offered+t.Offered[i], earned+t.Earned[i]
	}
	return offered, earned
}

// Share returns the share of the weight that was earned in the whole play.
func (t Timeline) Share() float64 {
	return share(t.Between(0, time.Duration(len(t.Offered))*sliceLength))
}

// share returns the share of the offered weight that was earned, or 1 if none was offered.
func share(offered, earned float64) float64 {
	if offered == 0 {
		return 1
	}
	return earned / offered
}

// FullService returns the time from a fault to full service and the weight lost until then, in seconds of the weight
// that the baseline offers. ok is false if full service is not reached within the play.
func FullService(with, baseline Timeline, fault time.Duration) (took time.Duration, lost float64, ok bool) {
	end := time.Duration(len(with.Offered)-1) * sliceLength
	offered, _ := baseline.Between(0, end)
	second := offered / end.Seconds()
	begin := fault.Truncate(sliceLength)
	for at := begin; at+fullServiceSeconds*time.Second <= end; at += sliceLength {
		if !fullServiceAt(with, baseline, at) {
			continue
		}
		offered, earned := with.Between(fault, at)
		expected := share(baseline.Between(fault, at))
		return at - begin, max(0, expected*offered-earned) / second, true
	}
	return 0, 0, false
}

// fullServiceAt reports whether each of the next fullServiceSeconds seconds serves enough compared with the baseline.
func fullServiceAt(with, baseline Timeline, at time.Duration) bool {
	for k := range time.Duration(fullServiceSeconds) {
		from, to := at+k*time.Second, at+(k+1)*time.Second
		if share(with.Between(from, to)) < fullServiceShare*share(baseline.Between(from, to)) {
			return false
		}
	}
	return true
}
