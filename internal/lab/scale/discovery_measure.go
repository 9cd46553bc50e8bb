package scale

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"time"
)

// DiscoveryOptions say what is measured in one run.
type DiscoveryOptions struct {
	Queue         DiscoveryQueueOptions
	Nodes         int
	Polled        bool          // lists are polled; else they are pushed
	MissedChanges int           // changes that the nodes have missed; 0: they hold no list, and receive the complete one
	IdleTime      time.Duration // how long the nodes are measured while nothing changes; 0: not at all
	Timeout       time.Duration // of each phase; what has not arrived by then is missing
	ReadMemory    bool          // resident memory and descriptors are read while all watches are open
}

// DiscoveryPhase is what one phase of a run has cost.
type DiscoveryPhase struct {
	DiscoveryCounts
	Lists   int64           // received by all nodes
	Delays  []time.Duration // until each node had what was awaited, shortest first
	Missing int             // nodes that did not have it in time
	Elapsed time.Duration
	CPU     time.Duration // of this process: all nodes and the stand-in
}

// Last is when the last node had what was awaited.
func (p DiscoveryPhase) Last() time.Duration { return p.Quantile(1) }

// Quantile is the time within which a share (0 to 1) of the nodes that had what was awaited had it.
func (p DiscoveryPhase) Quantile(share float64) time.Duration {
	if len(p.Delays) == 0 {
		return 0
	}
	rank := int(math.Ceil(share * float64(len(p.Delays))))
	return p.Delays[max(rank, 1)-1]
}

// DiscoveryResult is what a run has measured.
type DiscoveryResult struct {
	Start       DiscoveryPhase // all nodes start at once, until the last has its list
	Idle        DiscoveryPhase // nothing changes
	Change      DiscoveryPhase // one server's entry changes, until the last node has it
	WatchesEnd  DiscoveryPhase // all watches end at once, until the last node has its list again
	RSSBytes    int64          // added by all nodes and the stand-in while all watches are open, garbage aside
	Descriptors int            // added likewise
}

// ErrDiscoveryNotServed is returned if not all nodes receive their list in time, so that nothing more can be measured.
var ErrDiscoveryNotServed = errors.New("scale: not all nodes have their list in time; see the measurements of the first phase")

// discoveryRun is one run.
type discoveryRun struct {
	options DiscoveryOptions
	queue   *DiscoveryQueue
	fleet   *DiscoveryFleet
}

// MeasureDiscovery starts the stand-in on a listener and hollow nodes that reach it by dial, runs all phases and stops them.
// With ErrDiscoveryNotServed, the result has the first phase.
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

// measureArrivals calls begin, and measures until all nodes have what the fleet then awaits.
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

// measureIdle measures while nothing changes.
func (r *discoveryRun) measureIdle() DiscoveryPhase {
	return r.measure(func(time.Time) ([]time.Duration, int) {
		<-time.After(r.options.IdleTime)
		return nil, 0
	})
}

// measure takes the counts before and after a phase.
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

// lists is how many lists the nodes have received so far.
func (r *discoveryRun) lists() int64 {
	if r.fleet == nil {
		return 0
	}
	return r.fleet.Lists()
}
