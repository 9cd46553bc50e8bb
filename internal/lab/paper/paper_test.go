package paper

import (
	"bytes"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// Every figure of tables 2, 3 and 5 is within one unit of the last published digit, except for the two errata.
func TestTablesMatchPublishedFigures(t *testing.T) {
	var out bytes.Buffer
	differing, err := Write(&out, 0, 1)
	if err != nil || differing != 0 || !strings.Contains(out.String(), "76 figures compared, 0 differ") ||
		strings.Count(out.String(), "e: published") != 2 {
		t.Errorf("%d differ, %v:\n%s", differing, err, out.String())
	}
}

// The simulation agrees with table 4. The runs are short, so their confidence interval is wide; the command uses runs
// of full length.
func TestSimulationAgreesWithTable4(t *testing.T) {
	w := QueueSystem{Servers: 100, Lambda: 0.9, Units: 4000, WarmUp: 400}
	for _, row := range table4 {
		e := Repeat(4, 1, func(seed uint64) float64 { return w.Run(seed, row.pick) })
		if math.Abs(e.Mean-row.mean) > e.HalfInterval+row.half || e.HalfInterval > 0.2 {
			t.Errorf("%s: %.4f ± %.4f, published %.4f", row.name, e.Mean, e.HalfInterval, row.mean)
		}
	}
	m, err := w.RunModule(1)
	if err != nil || m < 1 || m > 2.6 {
		t.Errorf("mean time with the module: %.3f, %v", m, err)
	}
}

// If a difference were not marked, an error in the integration would stay hidden.
func TestDifferingFigureIsMarked(t *testing.T) {
	p := &printer{w: &bytes.Buffer{}}
	for published, v := range map[string]float64{"0.7616": 0.76175, "6.0e-6": 5.85e-6, "1.26569": 1.265671} {
		if s := p.compare(v, published); !strings.HasSuffix(s, "!") {
			t.Errorf("%g compared with %s is not marked: %q", v, published, s)
		}
	}
	if p.differences != 3 || p.compared != 3 {
		t.Errorf("%d of %d figures differ, want 3 of 3", p.differences, p.compared)
	}
}

// With one random choice, each server is an M/M/1 queue, whose mean time is known.
func TestSimulationOfOneChoice(t *testing.T) {
	w := QueueSystem{Servers: 50, Lambda: 0.5, Units: 4000, WarmUp: 400}
	e := Repeat(8, 1, func(seed uint64) float64 {
		return w.Run(seed, func(rng *rand.Rand, held []int) int { return rng.IntN(len(held)) })
	})
	if want := 2.0; math.Abs(e.Mean-want) > 4*e.HalfInterval || e.HalfInterval > 0.05 {
		t.Errorf("mean time %.4f ± %.4f, want %.1f", e.Mean, e.HalfInterval, want)
	}
}
