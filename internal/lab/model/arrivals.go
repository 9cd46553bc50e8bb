package model

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Stream returns a source of draws of its own: what one part of the world draws changes no other part's, and no
// seed's draws resemble another's. (A PCG whose seeds differ in their upper half alone keeps the lower half of its
// state in step, which showed as intervals that were too narrow.)
func Stream(seed uint64, name string, n int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d %s %d", seed, name, n))))
}

// Arrival is a client's first try.
type Arrival struct {
	At                time.Duration
	Class             int
	Tenant            int
	Work              float64 // factor on the class's mean work
	HonoursRetryAfter bool    // its client waits as long as it is told
	LeavesAfter       float64 // part of its time after which an impatient client leaves; 0: it stays
}

// Arrivals draws first tries, one after another. They don't wait for answers.
type Arrivals struct {
	s        *scenario.Scenario
	rng      *rand.Rand
	now      time.Duration
	factor   float64 // of overload
	recorded []Arrival
	classes  []float64 // sums of the shares
	tenants  []float64
}

// NewArrivals reads the recorded arrivals of a scenario that has some.
func NewArrivals(s *scenario.Scenario) (*Arrivals, error) {
	a := &Arrivals{s: s, rng: Stream(s.Seed, "arrivals", 0), factor: 1}
	for _, c := range s.Classes {
		a.classes = append(a.classes, c.Share)
	}
	for _, t := range s.Tenants {
		a.tenants = append(a.tenants, t.Share)
	}
	var err error
	if s.Clients.Arrivals == "recorded" {
		a.recorded, err = readRecorded(s)
	}
	return a, err
}

// SetFactor multiplies the rate from now on.
func (a *Arrivals) SetFactor(f float64) { a.factor = f }

// Draw is an arrival at a time, whatever the process: closed loops take theirs from here.
func (a *Arrivals) Draw(at time.Duration) Arrival {
	c := pickByShare(a.rng, a.classes)
	cv := a.s.Classes[c].WorkVariation
	sigma := math.Sqrt(math.Log1p(cv * cv))
	v := Arrival{At: at, Class: c, Tenant: pickByShare(a.rng, a.tenants),
		Work: math.Exp(sigma*a.rng.NormFloat64() - sigma*sigma/2), HonoursRetryAfter: a.rng.Float64() < a.s.Clients.HonourRetryAfter}
	if a.rng.Float64() < a.s.Clients.ImpatientShare {
		v.LeavesAfter = 0.05 + 0.9*a.rng.Float64()
	}
	return v
}

// NextCompletion is the next arrival after the one before. False: there are no more.
func (a *Arrivals) Next() (Arrival, bool) {
	if a.s.Clients.Arrivals == "recorded" {
		if len(a.recorded) == 0 {
			return Arrival{}, false
		}
		v := a.recorded[0]
		a.recorded = a.recorded[1:]
		return v, v.At < a.s.Length
	}
	rate := a.s.Clients.Rate * a.factor
	if a.s.Clients.Arrivals == "ramp" {
		rate *= 0.5 + float64(a.now)/float64(a.s.Length)
	}
	a.now += max(1, time.Duration(a.rng.ExpFloat64()/rate*float64(time.Second)))
	if a.now >= a.s.Length {
		return Arrival{}, false
	}
	return a.Draw(a.now), true
}

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

// readRecorded reads a line of JSON for each arrival, in the order of their times.
func readRecorded(s *scenario.Scenario) (list []Arrival, err error) {
	f, err := os.Open(s.Clients.ArrivalsFile)
	if err != nil {
		return nil, fmt.Errorf("recorded arrivals: %w", err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		var v struct {
			AtMS   float64 `json:"at_ms"`
			Class  string  `json:"class"`
			Tenant string  `json:"tenant"`
			Work   float64 `json:"work"`
			Honour bool    `json:"honour"`
		}
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", s.Clients.ArrivalsFile, n, err)
		}
		a := Arrival{At: time.Duration(v.AtMS * float64(time.Millisecond)), Work: v.Work, HonoursRetryAfter: v.Honour,
			Class:  slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == v.Class }),
			Tenant: slices.IndexFunc(s.Tenants, func(t scenario.Tenant) bool { return t.Name == v.Tenant })}
		last := time.Duration(0)
		if len(list) > 0 {
			last = list[len(list)-1].At
		}
		if a.Class < 0 || a.Tenant < 0 || a.At < last || !(a.Work > 0 && a.Work < 1e6) {
			return nil, fmt.Errorf("%s:%d: class, tenant, work or the order of times is wrong", s.Clients.ArrivalsFile, n)
		}
		list = append(list, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Clients.ArrivalsFile, err)
	}
	return list, nil
}
