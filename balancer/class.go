package balancer

import (
	"math"
	"time"
)

// What is assumed of a class's latency before the first answer.
const (
	// initialLatencyDivisor: the mean is assumed to be a quarter of the latency objective.
	initialLatencyDivisor = 4
	// initialDeviationDivisor: the deviation is assumed to be an eighth of the latency objective.
	initialDeviationDivisor = 8
	// firstDeviationDivisor: the first answer sets the deviation to half its latency, as TCP does with its
	// first round trip.
	firstDeviationDivisor = 2
)

// countDecay is what is left of a class's counts of arrivals and answers after each request of any class:
// about the last hundred requests count.
const countDecay = 0.99

// class holds what was learned of a class.
type class struct {
	Class
	pool             *pool
	meanLatency      float64       // of successes, in nanoseconds
	latencyDeviation float64       // their mean deviation, in nanoseconds
	samples          float64       // successes that they rest on
	arrivals, served float64       // decayed counts of requests and of answers in time
	typicalBudget    time.Duration // about the median of the time that requests come with
}

// newClass returns a class of which nothing is known but its settings.
func newClass(c Class) *class {
	return &class{
		Class:            c,
		meanLatency:      float64(c.LatencyObjective) / initialLatencyDivisor,
		latencyDeviation: float64(c.LatencyObjective) / initialDeviationDivisor,
	}
}

// recordLatency takes the latency of a success, in nanoseconds, into the mean and the deviation. The first
// answers weigh more than later ones, in place of the assumption.
func (c *class) recordLatency(latency float64) {
	if c.samples++; c.samples == 1 {
		c.meanLatency, c.latencyDeviation = latency, latency/firstDeviationDivisor
	}
	weight := max(sampleWeight, 1/c.samples)
	moveTowards(&c.latencyDeviation, math.Abs(latency-c.meanLatency), weight)
	moveTowards(&c.meanLatency, latency, weight)
}

// latencyBound is a wait that most answers of the class stay well under: the mean and so many deviations.
func (c *class) latencyBound(deviations float64) time.Duration {
	return time.Duration(c.meanLatency + deviations*c.latencyDeviation)
}
