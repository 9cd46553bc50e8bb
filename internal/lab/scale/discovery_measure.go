package scale

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"time"
)

// DiscoveryOptions configures one measurement of discovery.
type DiscoveryOptions struct {
	Queue         DiscoveryQueueOptions
	Nodes         int
	Polled        bool          // nodes poll for their list; otherwise discovery pushes it
	MissedChanges int           // changes that the nodes have missed; 0: they have no list and receive the complete one
	IdleTime      time.Duration // duration of the measurement while nothing changes; 0: none
	Timeout       time.Duration // of each phase; nodes without the awaited version by then are missing
	ReadMemory    bool          // whether resident memory and descriptors are read while all watches are open
}

// DiscoveryPhase holds the measurements of one phase of a run.
type DiscoveryPhase struct {
	DiscoveryCounts
	Lists   int64           // received by all nodes
	Delays  []time.Duration // until each node had the awaited version, shortest first
	Missing int             // number of nodes that did not have it before the timeout
	Elapsed time.Duration
	CPU     time.Duration // of this process: all nodes and the stand-in for discovery
}

// Last returns the delay until the last node had the awaited version.
func (p DiscoveryPhase) Last() time.Duration { return p.Quantile(1) }

// Quantile returns the delay within which a share (0 to 1) of the nodes had the awaited version. It ignores missing nodes.
func (p DiscoveryPhase) Quantile(share float64) time.Duration {
	if len(p.Delays) == 0 {
		return 0
	}
	rank := int(math.Ceil(share * float64(len(p.Delays))))
	return p.Delays[max(rank, 1)-1]
}

// DiscoveryResult holds the measurements of one run.
type DiscoveryResult struct {
	Start       DiscoveryPhase // from the start of all nodes at once until the last one has its list
	Idle        DiscoveryPhase // nothing changes
	Change      DiscoveryPhase // from the change of one server's entry until the last node has it
	WatchesEnd  DiscoveryPhase // from the end of all watches at once until the last node has its list again
	RSSBytes    int64          // added by all nodes and the stand-in while all watches are open, without garbage
	Descriptors int            // added by all nodes and the stand-in while all watches are open
}

// ErrDiscoveryNotServed is returned if some node does not receive its list in time. The later phases are not measured.
var ErrDiscoveryNotServed = errors.New("scale: not all nodes received their list in time; see the measurements of the first phase")

// discoveryRun is one run of the measurement: the stand-in for discovery and its hollow nodes.
type discoveryRun struct {
	options DiscoveryOptions
	queue   *DiscoveryQueue
	fleet   *DiscoveryFleet
}

// MeasureDiscovery starts the stand-in for discovery on a listener and hollow nodes that connect to it with dial, measures
// all phases, and stops the stand-in and the nodes. If it returns ErrDiscoveryNotServed, the result holds only the first
// phase.
func MeasureDiscovery(ctx context.Context, ln net.Listener, dial Dial, options DiscoveryOptions) (result DiscoveryResult, err error) {
	run := &discoveryRun{options: options, queue: NewDiscoveryQueue(ln, options.Queue)}
	defer func() { err = errors.Join(err, run.queue.Close()) }()
	held := int64(0)
	if options.MissedChanges > 0 {
		held = 1
	}
	for range options.MissedChanges {
		run.queue.Change()
	}
	before, err := readOwnUsage(options.ReadMemory)
	if err != nil {
		return result, err
	}
	result.Start = run.measureArrivals(func() {
		run.fleet = StartDiscoveryFleet(ctx, DiscoveryFleetOptions{Nodes: options.Nodes, Addr: ln.Addr().String(), Dial: dial,
			Polled: options.Polled, Version: held})
	})
	defer run.fleet.Stop()
	if result.Start.Missing > 0 {
		return result, ErrDiscoveryNotServed
	}
	after, err := readOwnUsage(options.ReadMemory)
	if err != nil {
		return result, err
	}
	result.RSSBytes, result.Descriptors = after.rssBytes-before.rssBytes, after.descriptors-before.descriptors
	if options.IdleTime > 0 {
		result.Idle = run.measureIdle()
	}
	result.Change = run.measureArrivals(func() {
		run.fleet.Await(run.queue.Version() + 1)
		run.queue.Change()
	})
	result.WatchesEnd = run.measureArrivals(func() {
		run.fleet.Await(0)
		run.queue.EndWatches()
	})
	return result, nil
}

// measureArrivals calls begin and measures until all nodes have the version that the fleet awaits, or until the timeout.
func (r *discoveryRun) measureArrivals(begin func()) DiscoveryPhase {
	return r.measure(func(began time.Time) (after []time.Duration, missing int) {
		begin()
		limit := time.NewTimer(r.options.Timeout)
		defer limit.Stop()
		select {
		case <-r.fleet.AllArrived():
		case <-limit.C:
		}
		return r.fleet.Arrivals(began)
	})
}

// measureIdle measures for the idle time, in which nothing changes.
func (r *discoveryRun) measureIdle() DiscoveryPhase {
	return r.measure(func(time.Time) ([]time.Duration, int) {
		<-time.After(r.options.IdleTime)
		return nil, 0
	})
}

// measure runs a phase and returns its delays and how much each count grew.
func (r *discoveryRun) measure(phase func(began time.Time) (after []time.Duration, missing int)) (result DiscoveryPhase) {
	counts, lists, cpu, began := r.queue.Counts(), r.lists(), ownProcessorTime(), time.Now()
	result.Delays, result.Missing = phase(began)
	result.Elapsed = time.Since(began)
	result.CPU = ownProcessorTime() - cpu
	result.Lists = r.lists() - lists
	result.DiscoveryCounts = r.queue.Counts().Since(counts)
	slices.Sort(result.Delays)
	return result
}

// lists returns how many lists the nodes have received so far.
func (r *discoveryRun) lists() int64 {
	if r.fleet == nil {
		return 0
	}
	return r.fleet.Lists()
}
