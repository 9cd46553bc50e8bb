package scale

import (
	"os"
	"testing"
	"time"
)

// repeats is how often each point is measured. The difference between the runs of a point is the noise.
const repeats = 2

// dataPathSeries is one series of measurements in which one size varies.
type dataPathSeries struct {
	title string
	size  string // unit of the size that varies
	sizes []float64
	vary  func(o *DataPathOptions, size float64)
}

// dataPathMetric is one value of a run that is fitted against the size.
type dataPathMetric struct {
	name string
	of   func(r DataPathResult) float64
}

// dataPathMetrics are fitted in every series.
var dataPathMetrics = []dataPathMetric{
	{"added p50, µs", func(r DataPathResult) float64 { return micros(r.AddedLatency(50)) }},
	{"added p99, µs", func(r DataPathResult) float64 { return micros(r.AddedLatency(99)) }},
	{"added p99.9, µs", func(r DataPathResult) float64 { return micros(r.AddedLatency(99.9)) }},
	{"processor time a call and node, µs", func(r DataPathResult) float64 { return micros(r.CPUPerCall()) }},
	{"processor time of all nodes, ms a second", func(r DataPathResult) float64 { return 1000 * r.NodeCPU.Seconds() / r.Elapsed.Seconds() }},
	{"resident memory of the first node, kB", func(r DataPathResult) float64 { return kilobytes(r.FirstNode.RSSBytes) }},
	{"descriptors of the first node", func(r DataPathResult) float64 { return float64(r.FirstNode.Descriptors) }},
}

// Prints the data path tables of docs/CAPACITY.md by calls a second.
func TestDataPathRates(t *testing.T) {
	largeOnly(t)
	dataPathSeries{title: "Data path by calls a second (28 servers, 1 node)", size: "calls/s", sizes: []float64{50, 170, 500, 1700},
		vary: func(o *DataPathOptions, size float64) {
			o.Rate = size
			if size == 50 { // the 99th percentile needs enough calls
				o.Duration = 20 * time.Second
			}
		}}.run(t)
}

// Prints the data path tables by number of servers in the list.
func TestDataPathLists(t *testing.T) {
	largeOnly(t)
	dataPathSeries{title: "Data path by servers in the list (170 calls/s, 1 node)", size: "servers", sizes: []float64{10, 28, 100, 300},
		vary: func(o *DataPathOptions, size float64) { o.Servers = int(size) }}.run(t)
}

// Prints the data path tables by number of nodes that a call passes.
func TestDataPathChains(t *testing.T) {
	largeOnly(t)
	dataPathSeries{title: "Data path by nodes in a chain (170 calls/s through each, 10 servers a service)", size: "nodes", sizes: []float64{1, 6, 12, 18},
		vary: func(o *DataPathOptions, size float64) { o.Depth, o.Servers = int(size), 10 }}.run(t)
}

// Prints the data path tables by changes a minute of the list, with as many of the configuration.
func TestDataPathChanges(t *testing.T) {
	largeOnly(t)
	dataPathSeries{title: "Data path by changes a minute of the list, and as many of the configuration (170 calls/s, 28 servers, 1 node)",
		size: "changes/min", sizes: []float64{0, 6, 60, 600},
		vary: func(o *DataPathOptions, size float64) {
			o.ListChanges, o.Reloads, o.Duration = size, size, 10*time.Second
		}}.run(t)
}

// Prints the data path tables of idempotent requests, which may time out and be retried at another server, by requests a
// second.
func TestDataPathIdempotentCalls(t *testing.T) {
	largeOnly(t)
	dataPathSeries{title: "Data path of idempotent calls by calls a second (28 servers, 1 node)", size: "calls/s", sizes: []float64{170, 1700},
		vary: func(o *DataPathOptions, size float64) { o.Class, o.Rate = ReadClass, size }}.run(t)
}

// run measures all points and prints the points and the fitted lines.
func (s dataPathSeries) run(t *testing.T) {
	points := Table{Title: s.title + "; times in µs; " + Origin(), Header: []string{s.size, "run", "calls", "failed", "attempts a call", "direct p50", "p99", "p99.9",
		"through nodes p50", "p99", "p99.9", "added p50", "p99", "p99.9", "CPU a call and node", "node RSS kB", "descriptors", "list changes", "reloads",
		"rig cores", "sent late p99"}}
	results := map[float64][]DataPathResult{}
	for repeat := range repeats {
		for _, size := range s.sizes {
			options := dataPathOptions(t)
			options.Seed = uint64(repeat)
			s.vary(&options, size)
			result, err := MeasureDataPath(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			results[size] = append(results[size], result)
			s.add(&points, size, repeat+1, result)
		}
	}
	points.Print(os.Stdout)
	s.fits(t, results)
}

// add adds the results of one run to a table as a row.
func (s dataPathSeries) add(table *Table, size float64, run int, r DataPathResult) {
	cells := []any{size, run, r.Node.Calls, r.Node.Failures + r.Direct.Failures, float64(r.Attempts) / float64(r.NodeCalls)}
	percents := []float64{50, 99, 99.9}
	for _, of := range []func(float64) time.Duration{r.Direct.Quantile, r.Node.Quantile, r.AddedLatency} {
		for _, percent := range percents {
			cells = append(cells, micros(of(percent)))
		}
	}
	cells = append(cells, micros(r.CPUPerCall()), kilobytes(r.FirstNode.RSSBytes), r.FirstNode.Descriptors, r.ListChanges, r.Reloads,
		r.RigCPU.Seconds()/r.Elapsed.Seconds(), micros(max(r.Direct.Lag, r.Node.Lag)))
	table.Add(cells...)
}

// fits prints, for each metric, the line fitted to the runs of all sizes.
func (s dataPathSeries) fits(t *testing.T, results map[float64][]DataPathResult) {
	table := Table{Title: "Lines through the points, by " + s.size, Header: []string{"figure", "line", "largest difference between two runs of a size"}}
	for _, metric := range dataPathMetrics {
		var points []Point
		var noise float64
		for _, size := range s.sizes {
			var values []float64
			for _, result := range results[size] {
				values = append(values, metric.of(result))
				points = append(points, Point{size, metric.of(result)})
			}
			noise = max(noise, valueRange(values))
		}
		addFit(t, &table, metric.name, points, noise)
	}
	table.Print(os.Stdout)
}

// addFit fits a line to points and adds it to a table, with noise, the largest difference between two runs of one size.
func addFit(t *testing.T, table *Table, name string, points []Point, noise float64) {
	t.Helper()
	fit, err := FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	table.Add(name, fit, noise)
}

// valueRange returns the difference between the largest and the smallest value.
func valueRange(values []float64) float64 {
	lowest, highest := values[0], values[0]
	for _, v := range values {
		lowest, highest = min(lowest, v), max(highest, v)
	}
	return highest - lowest
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func kilobytes(bytes int64) float64 { return float64(bytes) / 1024 }
