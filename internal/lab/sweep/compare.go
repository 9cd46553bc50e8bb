package sweep

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Summary is a figure over seeds.
type Summary struct {
	N                  int
	Median, Min, Max   float64
	Mean, HalfInterval float64 // and half of its 95% interval (Student's t); infinite for one seed
}

// Summarize needs one value at least.
func Summarize(values []float64) Summary {
	v := slices.Sorted(slices.Values(values))
	s := Summary{N: len(v), Min: v[0], Max: v[len(v)-1], Median: (v[(len(v)-1)/2] + v[len(v)/2]) / 2,
		Mean: stat.Mean(v, nil), HalfInterval: math.Inf(1)}
	if len(v) > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(len(v) - 1)}
		s.HalfInterval = t.Quantile(0.975) * stat.StdErr(stat.StdDev(v, nil), float64(len(v)))
	}
	return s
}

func metricValues(cells []Cell, figure string) (v []float64) {
	for _, c := range cells {
		v = append(v, c.Metrics[figure])
	}
	return v
}

// Table prints the summaries of some figures for each group.
func Table(w io.Writer, cells []Cell, figures []string) error {
	for _, g := range ByGroup(cells) {
		if _, err := fmt.Fprintf(w, "%s: %s, %d seeds\n", g[0].Scenario, g[0].Group(), len(g)); err != nil {
			return err
		}
		for _, f := range figures {
			s := Summarize(metricValues(g, f))
			if _, err := fmt.Fprintf(w, "  %-12s median %.4g   from %.4g to %.4g   mean %.4g ± %.2g\n", f, s.Median, s.Min, s.Max, s.Mean, s.HalfInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// Change is a figure of a group in two sets of results.
type Change struct {
	Group, Metric            string
	Before, After            float64
	MeanChange, HalfInterval float64 // the mean change, and half of its 95% interval
	Pairs                    int     // seeds that both have: the change is taken seed by seed
}

// Significant says that the interval leaves no room for no change.
func (c Change) Significant() bool {
	return math.Abs(c.MeanChange) > c.HalfInterval || c.HalfInterval == 0 && c.MeanChange != 0
}

// Diff compares two sets of results seed by seed. Groups that only one of them has are left out and counted.
func Diff(a, b []Cell) (changes []Change, left int) {
	type id struct {
		group string
		seed  uint64
	}
	before := map[id]Cell{}
	for _, c := range a {
		before[id{c.Scenario + ": " + c.Group(), c.Seed}] = c
	}
	for _, g := range ByGroup(b) {
		name := g[0].Scenario + ": " + g[0].Group()
		var pairs [][2]Cell
		for _, c := range g {
			if o, ok := before[id{name, c.Seed}]; ok {
				pairs = append(pairs, [2]Cell{o, c})
				delete(before, id{name, c.Seed})
			} else {
				left++
			}
		}
		if len(pairs) == 0 {
			continue
		}
		for _, f := range MetricNames(g) {
			var by, was, is []float64
			for _, p := range pairs {
				was, is = append(was, p[0].Metrics[f]), append(is, p[1].Metrics[f])
				by = append(by, p[1].Metrics[f]-p[0].Metrics[f])
			}
			s := Summarize(by)
			changes = append(changes, Change{name, f, stat.Mean(was, nil), stat.Mean(is, nil), s.Mean, s.HalfInterval, len(pairs)})
		}
	}
	return changes, left + len(before)
}
