package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// signalStream is the random stream of signal series and connection floods. It is separate from the stream of the faults, so
// that the faults of a recorded seed do not change.
const signalStream = 0x51e5

// SignalSeries is a planned restart of a node by a series of signals. The first SIGTERM begins the restart.
type SignalSeries struct {
	Node     int
	From     time.Duration
	Interval time.Duration // between two signals
	Signals  []syscall.Signal
}

// String returns the series as a line of a run's output.
func (s SignalSeries) String() string {
	names := make([]string, len(s.Signals))
	for i, signal := range s.Signals {
		names[i] = signalNames[signal]
	}
	return fmt.Sprintf("series %v which=%d wait=%v %s", s.From, s.Node, s.Interval, strings.Join(names, " "))
}

var signalNames = map[syscall.Signal]string{syscall.SIGTERM: "TERM", syscall.SIGHUP: "HUP"}

// signalPatterns are the sequences of signals from which a series is drawn.
var signalPatterns = [][]syscall.Signal{
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
}

// ConnectionFlood is a number of idle clients that hold more connections to a node than it has file descriptors for. The
// output of a run calls it "crowd".
type ConnectionFlood struct {
	Node        int
	From, To    time.Duration
	Connections int
	Outage      bool // discovery refuses connections for the duration of the flood
}

// String returns the flood as a line of a run's output.
func (c ConnectionFlood) String() string {
	return fmt.Sprintf("crowd %v to %v which=%d connections=%d down=%v", c.From, c.To, c.Node, c.Connections, c.Outage)
}

// Parameters of signal series and connection floods.
const (
	maxSignalSeries   = 3                       // a plan has 1 to 3
	maxSignalInterval = 400 * time.Millisecond  // a series of six signals ends before killDelay has passed
	floodRatio        = 1.0 / 3                 // share of plans with a flood
	floodNodes        = 2                       // number of simultaneous floods, each to a random node
	floodConnections  = nodeDescriptors * 5 / 4 // to each node; more than its descriptors
	minFloodTime      = 2 * time.Second         // duration of a flood
	maxFloodTime      = 6 * time.Second         // shorter than the part of a plan in which faults occur
	floodOutageRatio  = 0.5                     // share of floods during which discovery is down
)

// drawSignals draws the signal series and the connection floods of a plan. All of them end before the plan's recovery time.
func drawSignals(seed uint64, p Plan) (series []SignalSeries, floods []ConnectionFlood) {
	rng := rand.New(rand.NewPCG(seed, signalStream))
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	last := p.Length - recoveryTime
	for range 1 + rng.IntN(maxSignalSeries) {
		pattern := signalPatterns[rng.IntN(len(signalPatterns))]
		interval := between(time.Millisecond, maxSignalInterval)
		longest := time.Duration(len(pattern))*maxSignalInterval + killDelay
		series = append(series, SignalSeries{Node: rng.IntN(p.Nodes), From: between(firstFault, last-longest), Interval: interval, Signals: pattern})
	}
	if rng.Float64() >= floodRatio {
		return series, nil
	}
	from := between(firstFault, last-maxFloodTime)
	to := from + between(minFloodTime, maxFloodTime)
	outage := rng.Float64() < floodOutageRatio
	for range floodNodes {
		floods = append(floods, ConnectionFlood{Node: rng.IntN(p.Nodes), From: from, To: to, Connections: floodConnections, Outage: outage})
	}
	return series, floods
}
