package model

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// An impatient client leaves after a share of its timeout. The share is drawn uniformly from the range that begins at
// leavesAfterMin and is leavesAfterSpan wide, so that the client leaves after its request has arrived and before its
// timeout expires.
const (
	leavesAfterMin  = 0.05 // share of the client's timeout
	leavesAfterSpan = 0.9  // share of the client's timeout
)

// rampStart is the share of the rate at which a ramp begins; it ends at the rate plus this share.
const rampStart = 0.5

// Stream returns an independent random number generator for a seed, a name and a number. Draws by one part of the world
// do not change the draws of another part, and the draws of different seeds are uncorrelated. It does not use a PCG:
// two PCGs whose seeds differ only in the upper half keep the lower halves of their states in step, which made
// confidence intervals too narrow.
func Stream(seed uint64, name string, n int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d %s %d", seed, name, n))))
}

// Arrival describes the first try of a client's request.
type Arrival struct {
	At                time.Duration
	Class             int
	Tenant            int
	Work              float64 // factor on the class's mean work
	HonoursRetryAfter bool    // whether the client waits as long as Retry-After says
	LeavesAfter       float64 // share of the timeout after which an impatient client leaves; 0: the client stays
}

// Arrivals draws first tries, one after another. It generates an open-loop load: tries do not wait for answers.
type Arrivals struct {
	scenario *scenario.Scenario
	rng      *rand.Rand
	now      time.Duration
	factor   float64   // multiplies the rate; not 1 during an overload
	recorded []Arrival // not yet returned
	classes  []float64 // shares of the classes
	tenants  []float64 // shares of the tenants
}

// NewArrivals returns the arrivals of a scenario. Recorded arrivals are read from the scenario's file.
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

// SetFactor sets the factor by which the scenario's rate is multiplied from now on.
func (a *Arrivals) SetFactor(factor float64) { a.factor = factor }

// Draw draws an arrival at the given time, independently of the arrival process. Closed loops call it directly.
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

// Next returns the next arrival. It returns false after the last one.
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

// pickByShare draws an index with a probability proportional to its share.
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
