package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// signalStream keeps the draws of signal series and crowds apart from those of the faults, so that the faults of a kept seed
// stay what they were.
const signalStream = 0x51e5

// SignalSeries is a planned restart of a node with signals in a row. The first SIGTERM begins it.
type SignalSeries struct {
	Node     int
	From     time.Duration
	Interval time.Duration // between two signals
	Signals  []syscall.Signal
}

// String is a line of a run's output.
func (s SignalSeries) String() string {
	names := make([]string, len(s.Signals))
	for i, signal := range s.Signals {
		names[i] = signalNames[signal]
	}
	return fmt.Sprintf("series %v which=%d wait=%v %s", s.From, s.Node, s.Interval, strings.Join(names, " "))
}

var signalNames = map[syscall.Signal]string{syscall.SIGTERM: "TERM", syscall.SIGHUP: "HUP"}

// signalPatterns are the orders of signals that are drawn from.
var signalPatterns = [][]syscall.Signal{
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
}

// ConnectionFlood is a number of idle clients that hold connections to a node for a while: more than it has descriptors for.
type ConnectionFlood struct {
	Node        int
	From, To    time.Duration
	Connections int
	Outage      bool // discovery is down meanwhile
}

// String is a line of a run's output.
func (c ConnectionFlood) String() string {
	return fmt.Sprintf("crowd %v to %v which=%d connections=%d down=%v", c.From, c.To, c.Node, c.Connections, c.Outage)
}

// Draws of signal series and crowds.
const (
	maxSignalSeries   = 3                       // 1 to so many in a plan
	maxSignalInterval = 400 * time.Millisecond  // a series of six ends before its node may be killed
	floodRatio        = 1.0 / 3                 // of the plans have a crowd
	floodNodes        = 2                       // that it meets
	floodConnections  = nodeDescriptors * 5 / 4 // to each node
	minFloodTime      = 2 * time.Second         // that a crowd stays
	maxFloodTime      = 6 * time.Second         // shorter than the faults take in all
	floodOutageRatio  = 0.5                     // of the crowds meet an outage of discovery
)

// drawSignals draws the signal series and the crowds of a plan. Restarts must be over when the plan's recovery begins.
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
