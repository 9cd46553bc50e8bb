package scale

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// Numbers of nodes, service times and numbers of servers that the large form measures.
var (
	discoveryNodes        = []int{50, 100, 200, 400, 1900}
	discoveryServiceTimes = []time.Duration{time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond}
	discoveryServers      = []int{10, 28, 100, 300}
)

// Numbers of nodes in the target system: in an average service, in a zone, in a region, and in total.
const (
	oneServiceNodes = 28
	oneZoneNodes    = 119
	oneRegionNodes  = 475
	targetNodes     = 1900
)

// missedChanges is the number of changes that nodes miss in an absence of one hour, at 760 changes a day.
const missedChanges = 32

// measureOnLoopback runs the rig over TCP and fails the test if, after the first phase, some node is not served in time.
func measureOnLoopback(t *testing.T, options DiscoveryOptions) DiscoveryResult {
	t.Helper()
	options.Timeout = 45 * time.Second
	options.Queue.MaxQueueTime = discoveryMaxQueueTime
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	result, err := MeasureDiscovery(t.Context(), ln, nil, options)
	if err != nil && !errors.Is(err, ErrDiscoveryNotServed) {
		t.Fatal(err)
	}
	if result.Change.Missing > 0 || result.WatchesEnd.Missing > 0 {
		t.Errorf("%d nodes: %d did not receive the change, and %d no list after the end of all watches, within %v",
			options.Nodes, result.Change.Missing, result.WatchesEnd.Missing, options.Timeout)
	}
	return result
}

// discoverySeries holds the points to which one line is fitted.
type discoverySeries struct {
	name   string
	points []Point
}

func (s *discoverySeries) add(size int, value float64) {
	s.points = append(s.points, Point{float64(size), value})
}

// printFits prints the line fitted to each series, with its values at the sizes of the target system.
func printFits(t *testing.T, title string, series ...*discoverySeries) {
	t.Helper()
	table := Table{Title: title, Header: []string{"figure", "line", "at 28", "at 119", "at 475", "at 1,900"}}
	for _, s := range series {
		fit, err := FitLine(s.points)
		if err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}
		table.Add(s.name, fit, fit.At(oneServiceNodes), fit.At(oneZoneNodes), fit.At(oneRegionNodes), fit.At(targetNodes))
	}
	table.Print(os.Stdout)
}

// Prints the discovery tables of docs/CAPACITY.md: n nodes return at once, by n and by the service time of a call, with
// lists of 28 servers, pushed and polled.
func TestDiscoveryLargeReturn(t *testing.T) {
	largeOnly(t)
	for _, polled := range []bool{false, true} {
		for _, serviceTime := range discoveryServiceTimes {
			measureReturns(t, polled, serviceTime, discoveryNodes)
		}
	}
}

// discoveryMode names how nodes receive their lists.
func discoveryMode(polled bool) string {
	if polled {
		return "polled"
	}
	return "pushed"
}

// measureReturns measures the return of nodes for one service time, and prints the table and the fitted lines.
func measureReturns(t *testing.T, polled bool, serviceTime time.Duration, sizes []int) {
	t.Helper()
	title := "n nodes return at once, lists " + discoveryMode(polled) + ", " + serviceTime.String() + " a call, 28 servers"
	table := Table{Title: title + "; " + Origin(), Header: []string{"nodes", "calls", "rejected calls", "payload B out", "payload B in",
		"s until half", "s until 99%", "s until the last", "nodes without a list", "processor ms", "change: s until the last", "change: B a node",
		"watches end: calls", "s until the last"}}
	calls, bytesOut, last := &discoverySeries{name: "calls"}, &discoverySeries{name: "payload B out"}, &discoverySeries{name: "s until the last"}
	for _, nodes := range sizes {
		r := measureOnLoopback(t, DiscoveryOptions{Nodes: nodes, Polled: polled,
			Queue: DiscoveryQueueOptions{Servers: oneServiceNodes, ServiceTime: serviceTime}})
		table.Add(nodes, r.Start.Calls, r.Start.Rejected, r.Start.BytesOut, r.Start.BytesIn, r.Start.Quantile(0.5).Seconds(),
			r.Start.Quantile(0.99).Seconds(), r.Start.Last().Seconds(), r.Start.Missing, r.Start.CPU.Seconds()*1000,
			r.Change.Last().Seconds(), float64(r.Change.BytesOut)/float64(nodes), r.WatchesEnd.Calls, r.WatchesEnd.Last().Seconds())
		calls.add(nodes, float64(r.Start.Calls))
		bytesOut.add(nodes, float64(r.Start.BytesOut))
		if r.Start.Missing == 0 {
			last.add(nodes, r.Start.Last().Seconds())
		}
	}
	table.Print(os.Stdout)
	printFits(t, "Lines of: "+title, calls, bytesOut, last)
}

// Prints the tables by the size of the list: a region returns at once, without a list or with 32 missed changes.
func TestDiscoveryLargeLists(t *testing.T) {
	largeOnly(t)
	for _, missed := range []int{0, missedChanges} {
		title := "475 nodes return at once, lists pushed, 1ms a call, 0 changes missed (complete list)"
		if missed > 0 {
			title = "475 nodes return at once, lists pushed, 1ms a call, 32 changes missed"
		}
		table := Table{Title: title + "; " + Origin(), Header: []string{"servers", "calls", "payload B out a node", "s until the last",
			"processor µs a node"}}
		bytesOut, cpu := &discoverySeries{name: "payload B out a node"}, &discoverySeries{name: "processor µs a node"}
		for _, servers := range discoveryServers {
			r := measureOnLoopback(t, DiscoveryOptions{Nodes: oneRegionNodes, MissedChanges: missed,
				Queue: DiscoveryQueueOptions{Servers: servers, ServiceTime: time.Millisecond}})
			perNode := float64(r.Start.BytesOut) / oneRegionNodes
			micros := float64(r.Start.CPU.Microseconds()) / oneRegionNodes
			table.Add(servers, r.Start.Calls, perNode, r.Start.Last().Seconds(), micros)
			bytesOut.add(servers, perNode)
			cpu.add(servers, micros)
		}
		table.Print(os.Stdout)
		printFits(t, "Lines by servers in the list of: "+title, bytesOut, cpu)
	}
}

// Prints the measurements at the sizes of the target system, for comparison with the fitted lines, and the cost of idle
// watches, with memory and descriptors.
func TestDiscoveryLargeTarget(t *testing.T) {
	largeOnly(t)
	table := Table{Title: "A service, a zone, a region, everything at once, lists pushed, 28 servers; " + Origin(), Header: []string{"nodes", "ms a call",
		"calls", "rejected calls", "s until the last", "change: s until the last", "watches end: s until the last", "idle: B/s a node out", "idle: calls", "processor, % of a core a node and its watch", "RSS kB a node and its watch",
		"descriptors a node and its watch"}}
	for _, serviceTime := range discoveryServiceTimes {
		for _, nodes := range []int{oneServiceNodes, oneZoneNodes, oneRegionNodes, targetNodes} {
			options := DiscoveryOptions{Nodes: nodes, Queue: DiscoveryQueueOptions{Servers: oneServiceNodes, ServiceTime: serviceTime}}
			if serviceTime == time.Millisecond {
				options.IdleTime, options.ReadMemory = 4*time.Second, true
			}
			r := measureOnLoopback(t, options)
			each := func(v float64) float64 { return v / float64(nodes) }
			rest := max(r.Idle.Elapsed.Seconds(), 1)
			table.Add(nodes, float64(serviceTime.Milliseconds()), r.Start.Calls, r.Start.Rejected, r.Start.Last().Seconds(),
				r.Change.Last().Seconds(), r.WatchesEnd.Last().Seconds(), each(float64(r.Idle.BytesOut)/rest), r.Idle.Calls, 100*each(r.Idle.CPU.Seconds()/rest), each(float64(r.RSSBytes)/1024), each(float64(r.Descriptors)))
		}
	}
	table.Print(os.Stdout)
}
