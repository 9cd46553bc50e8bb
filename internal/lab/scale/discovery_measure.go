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
	Queue      DiscoveryQueueOptions
	Nodes      int
	Asked      bool          // lists are asked for; else they are pushed
	Missed     int           // changes that the nodes have missed; 0: they hold no list, and get a whole one
	Rest       time.Duration // how long the nodes are left at rest; 0: that is not measured
	MostTime   time.Duration // for each part; what has not come by then is missing
	ReadMemory bool          // resident memory and descriptors are read while all watches are open
}

// DiscoveryPart is what one part of a run has cost.
type DiscoveryPart struct {
	DiscoveryCounts
	Lists   int64           // taken by all nodes
	After   []time.Duration // until each node had what was waited for, shortest first
	Missing int             // nodes that did not have it in time
	Elapsed time.Duration
	CPU     time.Duration // of this process: all nodes and the stand-in
}

// Last is when the last node had what was waited for.
func (p DiscoveryPart) Last() time.Duration { return p.Quantile(1) }

// Quantile is the time in which a share of the nodes that had what was waited for had it.
func (p DiscoveryPart) Quantile(share float64) time.Duration {
	if len(p.After) == 0 {
		return 0
	}
	rank := int(math.Ceil(share * float64(len(p.After))))
	return p.After[max(rank, 1)-1]
}

// DiscoveryResult is what a run has measured.
type DiscoveryResult struct {
	Return      DiscoveryPart // all nodes start at once, until the last has its list
	Rest        DiscoveryPart // nothing changes
	Change      DiscoveryPart // one server's entry changes, until the last node has it
	WatchesEnd  DiscoveryPart // all watches end at once, until the last node has its list again
	RSSBytes    int64         // added by all nodes and the stand-in while all watches are open, garbage aside
	Descriptors int           // added likewise
}

// ErrDiscoveryNotServed is returned if the nodes are not all served in time, so that nothing more can be measured.
var ErrDiscoveryNotServed = errors.New("scale: not all nodes have their list in time; see the first part's figures")

// discoveryRun is one run.
type discoveryRun struct {
	options DiscoveryOptions
	queue   *DiscoveryQueue
	fleet   *DiscoveryFleet
}

// MeasureDiscovery starts the stand-in on a listener and hollow nodes that reach it by dial, takes them through all parts
// and stops them. With ErrDiscoveryNotServed, the result has the first part.
func MeasureDiscovery(ctx context.Context, ln net.Listener, dial Dial, options DiscoveryOptions) (result DiscoveryResult, err error) {
	run := &discoveryRun{options: options, queue: NewDiscoveryQueue(ln, options.Queue)}
	defer func() { err = errors.Join(err, run.queue.Close()) }()
	held := int64(0)
	if options.Missed > 0 {
		held = 1
	}
	for range options.Missed {
		run.queue.Change()
	}
	before, err := readOwnUsage(options.ReadMemory)
	if err != nil {
		return result, err
	}
	result.Return = run.part(func() {
		run.fleet = StartDiscoveryFleet(ctx, DiscoveryFleetOptions{Nodes: options.Nodes, Addr: ln.Addr().String(), Dial: dial,
			Asked: options.Asked, Version: held})
	})
	defer run.fleet.Stop()
	if result.Return.Missing > 0 {
		return result, ErrDiscoveryNotServed
	}
	after, err := readOwnUsage(options.ReadMemory)
	if err != nil {
		return result, err
	}
	result.RSSBytes, result.Descriptors = after.rssBytes-before.rssBytes, after.descriptors-before.descriptors
	if options.Rest > 0 {
		result.Rest = run.rest()
	}
	result.Change = run.part(func() {
		run.fleet.Await(run.queue.Version() + 1)
		run.queue.Change()
	})
	result.WatchesEnd = run.part(func() {
		run.fleet.Await(0)
		run.queue.EndWatches()
	})
	return result, nil
}

// part begins something, and measures until all nodes have what the fleet then waits for.
func (r *discoveryRun) part(begin func()) DiscoveryPart {
	return r.measure(func(began time.Time) (after []time.Duration, missing int) {
		begin()
		limit := time.NewTimer(r.options.MostTime)
		defer limit.Stop()
		select {
		case <-r.fleet.All():
		case <-limit.C:
		}
		return r.fleet.Arrivals(began)
	})
}

// rest measures while nothing changes.
func (r *discoveryRun) rest() DiscoveryPart {
	return r.measure(func(time.Time) ([]time.Duration, int) {
		<-time.After(r.options.Rest)
		return nil, 0
	})
}

// measure takes the counts before and after something.
func (r *discoveryRun) measure(do func(began time.Time) (after []time.Duration, missing int)) (part DiscoveryPart) {
	counts, lists, cpu, began := r.queue.Counts(), r.lists(), ownProcessorTime(), time.Now()
	part.After, part.Missing = do(began)
	part.Elapsed = time.Since(began)
	part.CPU = ownProcessorTime() - cpu
	part.Lists = r.lists() - lists
	part.DiscoveryCounts = r.queue.Counts().Since(counts)
	slices.Sort(part.After)
	return part
}

// lists is how many lists the nodes have taken so far.
func (r *discoveryRun) lists() int64 {
	if r.fleet == nil {
		return 0
	}
	return r.fleet.Lists()
}
