package balancer

import (
	"math"
	"time"
)

// Assumptions about the latency of a class before its first answer.
const (
	// initialLatencyDivisor: the mean is assumed to be a quarter of the latency objective.
	initialLatencyDivisor = 4
	// initialDeviationDivisor: the deviation is assumed to be an eighth of the latency objective.
	initialDeviationDivisor = 8
	// firstDeviationDivisor: the first answer sets the deviation to half of its latency, as TCP does with its
	// first round trip.
	firstDeviationDivisor = 2
)

// countDecay is the factor by which each request of any class reduces the counts of arrivals and answers of
// all classes: about the last hundred requests count.
const countDecay = 0.99

// class holds the settings of a class and what was learned about it.
type class struct {
	Class
	pool             *pool
	meanLatency      float64       // of successes, in nanoseconds
	latencyDeviation float64       // mean deviation of successes, in nanoseconds
	samples          float64       // number of successes in these averages
	arrivals, served float64       // decayed counts of requests and of answers in time
	typicalBudget    time.Duration // approximate median of the time that requests have on arrival
}

// newClass returns a class about which nothing is known but its settings.
func newClass(c Class) *class {
	return &class{
		Class:            c,
		meanLatency:      float64(c.LatencyObjective) / initialLatencyDivisor,
		latencyDeviation: float64(c.LatencyObjective) / initialDeviationDivisor,
	}
}

// recordLatency adds the latency of a success, in nanoseconds, to the mean and the deviation. The first
// answers weigh more than later ones, so that they soon replace the initial assumption.
func (c *class) recordLatency(latency float64) {
	if c.samples++; c.samples == 1 {
		c.meanLatency, c.latencyDeviation = latency, latency/firstDeviationDivisor
	}
	weight := max(sampleWeight, 1/c.samples)
	moveTowards(&c.latencyDeviation, math.Abs(latency-c.meanLatency), weight)
	moveTowards(&c.meanLatency, latency, weight)
}

// latencyBound returns a duration that most answers of the class stay well below: the mean plus a number of
// deviations.
func (c *class) latencyBound(deviations float64) time.Duration {
	return time.Duration(c.meanLatency + deviations*c.latencyDeviation)
}
