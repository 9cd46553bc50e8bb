package sweep

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the quantile of Student's t-distribution at the upper bound of a 95% confidence interval.
const upperQuantile = 0.975

// Summary summarizes the values of a metric over seeds.
type Summary struct {
	N            int
	Median       float64
	Min, Max     float64
	Mean         float64
	HalfInterval float64 // half the width of the mean's 95% confidence interval (Student's t); infinite for one seed
}

// Summarize summarizes the values, of which there must be at least one.
func Summarize(values []float64) Summary {
	v := slices.Sorted(slices.Values(values))
	s := Summary{N: len(v), Min: v[0], Max: v[len(v)-1], Median: (v[(len(v)-1)/2] + v[len(v)/2]) / 2,
		Mean: stat.Mean(v, nil), HalfInterval: math.Inf(1)}
	if len(v) > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(len(v) - 1)}
		s.HalfInterval = t.Quantile(upperQuantile) * stat.StdErr(stat.StdDev(v, nil), float64(len(v)))
	}
	return s
}

// metricValues returns the values of a metric in the cells.
func metricValues(cells []Cell, metric string) (values []float64) {
	for _, c := range cells {
		values = append(values, c.Metrics[metric])
	}
	return values
}

// Table prints the summaries of the metrics for each group.
func Table(w io.Writer, cells []Cell, metrics []string) error {
	for _, g := range ByGroup(cells) {
		if _, err := fmt.Fprintf(w, "%s, %d seeds\n", g[0].groupName(), len(g)); err != nil {
			return err
		}
		for _, m := range metrics {
			s := Summarize(metricValues(g, m))
			if _, err := fmt.Fprintf(w, "  %-12s median %.4g   from %.4g to %.4g   mean %.4g ± %.2g\n", m, s.Median, s.Min, s.Max, s.Mean, s.HalfInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// Change is the change of a group's metric between two sets of results.
type Change struct {
	Group, Metric string
	Before, After float64 // means
	MeanChange    float64 // mean of the differences of all pairs
	HalfInterval  float64 // half the width of the 95% confidence interval of MeanChange
	Pairs         int     // number of seeds that both sets have
}

// Significant reports whether the confidence interval excludes zero.
func (c Change) Significant() bool {
	return math.Abs(c.MeanChange) > c.HalfInterval || c.HalfInterval == 0 && c.MeanChange != 0
}

// cellKey identifies a cell in a set of results.
type cellKey struct {
	group string
	seed  uint64
}

// cellPair holds the same cell from two sets of results.
type cellPair struct{ before, after Cell }

// Diff compares two sets of results seed by seed. Cells that only one of the sets has are not compared but counted as
// unpaired.
func Diff(before, after []Cell) (changes []Change, unpaired int) {
	earlier := map[cellKey]Cell{}
	for _, c := range before {
		earlier[cellKey{c.groupName(), c.Seed}] = c
	}
	for _, group := range ByGroup(after) {
		var pairs []cellPair
		for _, c := range group {
			key := cellKey{c.groupName(), c.Seed}
			if o, ok := earlier[key]; ok {
				pairs = append(pairs, cellPair{o, c})
				delete(earlier, key)
			} else {
				unpaired++
			}
		}
		if len(pairs) == 0 {
			continue
		}
		for _, metric := range MetricNames(group) {
			changes = append(changes, changeOf(metric, group[0].groupName(), pairs))
		}
	}
	return changes, unpaired + len(earlier)
}

// changeOf returns the change of one metric over the pairs.
func changeOf(metric, group string, pairs []cellPair) Change {
	var before, after, differences []float64
	for _, p := range pairs {
		before = append(before, p.before.Metrics[metric])
		after = append(after, p.after.Metrics[metric])
		differences = append(differences, p.after.Metrics[metric]-p.before.Metrics[metric])
	}
	s := Summarize(differences)
	return Change{Group: group, Metric: metric, Before: stat.Mean(before, nil), After: stat.Mean(after, nil),
		MeanChange: s.Mean, HalfInterval: s.HalfInterval, Pairs: len(pairs)}
}
