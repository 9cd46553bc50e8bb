package model

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// An impatient client leaves after a share of its time, drawn evenly between these two: neither before its request has
// arrived nor when its time is up anyway.
const (
	leavesAfterMin  = 0.05 // share of its time
	leavesAfterSpan = 0.9  // share of its time
)

// rampStart is the share of the rate at which a ramp begins; it ends at the rate plus this share.
const rampStart = 0.5

// Stream returns a source of draws of its own: what one part of the world draws changes no other part's draws, and no two
// seeds' draws resemble each other. (A PCG whose seeds differ only in their upper half keeps the lower half of its state in
// step, which showed as intervals that were too narrow.)
func Stream(seed uint64, name string, n int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d %s %d", seed, name, n))))
}

// Arrival is the first try of a client's request.
type Arrival struct {
	At                time.Duration
	Class             int
	Tenant            int
	Work              float64 // factor on the class's mean work
	HonoursRetryAfter bool    // its client waits as long as Retry-After says
	LeavesAfter       float64 // share of its time after which an impatient client leaves; 0: it stays
}

// Arrivals draws first tries, one after another. They don't wait for answers.
type Arrivals struct {
	scenario *scenario.Scenario
	rng      *rand.Rand
	now      time.Duration
	factor   float64 // on the rate, by an overload
	recorded []Arrival
	classes  []float64 // shares of the classes
	tenants  []float64 // shares of the tenants
}

// NewArrivals returns the arrivals of a scenario. Recorded ones are read from their file.
func NewArrivals(s *scenario.Scenario) (*Arrivals, error) {
	a := &Arrivals{scenario: s, rng: Stream(s.Seed, "arrivals", 0), factor: 1}
	for _, c := range s.Classes {
		a.classes = append(a.classes, c.Share)
	}
	for _, t := range s.Tenants {
		a.tenants = append(a.tenants, t.Share)
	}
	var err error
	if s.Clients.Arrivals == scenario.ArrivalsRecorded {
		a.recorded, err = readRecorded(s)
	}
	return a, err
}

// SetFactor multiplies the rate from now on.
func (a *Arrivals) SetFactor(factor float64) { a.factor = factor }

// Draw draws an arrival at a time, whatever the process: closed loops take theirs from here.
func (a *Arrivals) Draw(at time.Duration) Arrival {
	class := pickByShare(a.rng, a.classes)
	variation := a.scenario.Classes[class].WorkVariation
	sigma := math.Sqrt(math.Log1p(variation * variation))
	arrival := Arrival{
		At:                at,
		Class:             class,
		Tenant:            pickByShare(a.rng, a.tenants),
		Work:              math.Exp(sigma*a.rng.NormFloat64() - sigma*sigma/2),
		HonoursRetryAfter: a.rng.Float64() < a.scenario.Clients.HonorRetryAfterShare,
	}
	if a.rng.Float64() < a.scenario.Clients.ImpatientShare {
		arrival.LeavesAfter = leavesAfterMin + leavesAfterSpan*a.rng.Float64()
	}
	return arrival
}

// Next is the next arrival. It returns false after the last one.
func (a *Arrivals) Next() (Arrival, bool) {
	if a.scenario.Clients.Arrivals == scenario.ArrivalsRecorded {
		return a.nextRecorded()
	}
	rate := a.scenario.Clients.Rate * a.factor
	if a.scenario.Clients.Arrivals == scenario.ArrivalsRamp {
		rate *= rampStart + float64(a.now)/float64(a.scenario.Length)
	}
	a.now += max(1, time.Duration(a.rng.ExpFloat64()/rate*float64(time.Second)))
	if a.now >= a.scenario.Length {
		return Arrival{}, false
	}
	return a.Draw(a.now), true
}

func (a *Arrivals) nextRecorded() (Arrival, bool) {
	if len(a.recorded) == 0 {
		return Arrival{}, false
	}
	arrival := a.recorded[0]
	a.recorded = a.recorded[1:]
	return arrival, arrival.At < a.scenario.Length
}

// pickByShare draws an index by weights.
func pickByShare(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := rng.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
