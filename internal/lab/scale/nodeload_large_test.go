package scale

import (
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// Sizes of the large form: servers in the list, and changes of it a minute.
var (
	nodeLoadServers = []int{10, 28, 100, 300, 1000}
	nodeLoadChanges = []float64{0, 6, 60, 600}
)

// nodeLoadMetrics are fitted against the number of servers at each rate of changes, and against the rate of changes at
// each number of servers.
var nodeLoadMetrics = []struct {
	name string
	of   func(r NodeLoadResult) float64
}{
	{"processor time, % of a core", func(r NodeLoadResult) float64 { return 100 * r.Core() }},
	{"resident memory, kB", func(r NodeLoadResult) float64 { return kilobytes(r.Usage.RSSBytes) }},
	{"memory not shared, kB", func(r NodeLoadResult) float64 { return kilobytes(r.Usage.PrivateBytes) }},
	{"list payload, bytes/s", func(r NodeLoadResult) float64 { return r.PerSecond(r.Traffic.PayloadOut + r.Traffic.PayloadIn) }},
	{"list on the wire (estimate), bytes/s", func(r NodeLoadResult) float64 { return r.PerSecond(r.Traffic.Wire()) }},
	{"standard error, bytes/s", func(r NodeLoadResult) float64 { return r.PerSecond(r.LogBytes) }},
}

// nodeLoadKey is one point of the series.
type nodeLoadKey struct {
	servers int
	changes float64
}

// Prints the tables of a node without calls in docs/CAPACITY.md. All points are measured concurrently, each with its own
// node: a node without calls leaves the machine nearly idle.
func TestNodeLoadLarge(t *testing.T) {
	largeOnly(t)
	results := map[nodeLoadKey][]NodeLoadResult{}
	for range repeats {
		for key, result := range measureNodeLoads(t) {
			results[key] = append(results[key], result)
		}
	}
	printNodeLoads(results)
	printNodeLoadFits(t, results)
}

// measureNodeLoads measures each point once.
func measureNodeLoads(t *testing.T) map[nodeLoadKey]NodeLoadResult {
	t.Helper()
	program, settings := nodeProgram(t)
	results := map[nodeLoadKey]NodeLoadResult{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, servers := range nodeLoadServers {
		for _, changes := range nodeLoadChanges {
			all.Go(func() {
				result, err := MeasureNodeLoad(t.Context(), NodeLoadOptions{Program: program, SettingsFile: settings, Folder: t.TempDir(),
					Servers: servers, ListChanges: changes, Settle: 5 * time.Second, Duration: 40 * time.Second})
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				results[nodeLoadKey{servers, changes}] = result
			})
		}
	}
	all.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return results
}

func printNodeLoads(results map[nodeLoadKey][]NodeLoadResult) {
	table := Table{Title: "A node without calls; " + Origin(), Header: []string{"servers", "changes/min", "run", "% of a core", "RSS kB",
		"not shared kB", "descriptors", "list payload B/s", "segments/s", "list on the wire B/s (estimate)", "standard error B/s", "changes", "whole list B"}}
	for _, changes := range nodeLoadChanges {
		for _, servers := range nodeLoadServers {
			for run, r := range results[nodeLoadKey{servers, changes}] {
				table.Add(servers, changes, run+1, 100*r.Core(), kilobytes(r.Usage.RSSBytes), kilobytes(r.Usage.PrivateBytes), r.Usage.Descriptors,
					r.PerSecond(r.Traffic.PayloadOut+r.Traffic.PayloadIn), r.PerSecond(r.Traffic.Segments), r.PerSecond(r.Traffic.Wire()),
					r.PerSecond(r.LogBytes), r.Changes, r.CompleteListBytes)
			}
		}
	}
	table.Print(os.Stdout)
}

func printNodeLoadFits(t *testing.T, results map[nodeLoadKey][]NodeLoadResult) {
	t.Helper()
	for _, changes := range nodeLoadChanges {
		bySize := map[float64][]NodeLoadResult{}
		for _, servers := range nodeLoadServers {
			bySize[float64(servers)] = results[nodeLoadKey{servers, changes}]
		}
		nodeLoadFits(t, "Lines by servers in the list, at "+FormatNumber(changes)+" changes a minute", bySize)
	}
	for _, servers := range nodeLoadServers {
		bySize := map[float64][]NodeLoadResult{}
		for _, changes := range nodeLoadChanges {
			bySize[changes] = results[nodeLoadKey{servers, changes}]
		}
		nodeLoadFits(t, "Lines by changes a minute, with "+FormatNumber(float64(servers))+" servers", bySize)
	}
}

// nodeLoadFits prints the line that is fitted for each metric to the runs of all sizes.
func nodeLoadFits(t *testing.T, title string, bySize map[float64][]NodeLoadResult) {
	t.Helper()
	table := Table{Title: title, Header: []string{"figure", "line", "most between two runs of a size"}}
	for _, metric := range nodeLoadMetrics {
		var points []Point
		var noise float64
		for _, size := range slices.Sorted(maps.Keys(bySize)) {
			added := nodeLoadPoints(bySize[size], size, metric.of)
			points, noise = append(points, added...), max(noise, spreadOf(added))
		}
		addFit(t, &table, metric.name, points, noise)
	}
	table.Print(os.Stdout)
}

// nodeLoadPoints returns a metric's values in the runs of one size.
func nodeLoadPoints(results []NodeLoadResult, size float64, of func(NodeLoadResult) float64) (points []Point) {
	for _, result := range results {
		points = append(points, Point{size, of(result)})
	}
	return points
}

// spreadOf returns the difference between the largest and the smallest value of points.
func spreadOf(points []Point) float64 {
	_, values := splitPoints(points)
	return valueRange(values)
}
