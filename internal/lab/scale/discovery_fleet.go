package scale

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/engine"
)

// maxPollInterval is the platform's bound on the time between two polls of a node, where lists are polled.
const maxPollInterval = time.Second

// Dial opens a connection, as in http.Transport.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DiscoveryFleetOptions say which hollow nodes call discovery.
type DiscoveryFleetOptions struct {
	Nodes   int
	Addr    string
	Dial    Dial  // nil: over TCP
	Polled  bool  // lists are polled; else they are pushed
	Version int64 // that each node holds from before; 0: it has no list
}

// DiscoveryFleet is hollow nodes that keep a watch on discovery: of a node each has only the real source of its list
// (package discovery).
type DiscoveryFleet struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu         sync.Mutex
	lists      int64     // received by all nodes
	awaited    int64     // the version that is waited for
	arrivals   []arrival // by node
	missing    int       // nodes that do not have it
	allArrived chan struct{}
}

// arrival is when a node received what is awaited.
type arrival struct {
	at   time.Time
	done bool
}

// StartDiscoveryFleet starts all nodes at once, and waits for a first list at each. Stop must follow.
func StartDiscoveryFleet(ctx context.Context, options DiscoveryFleetOptions) *DiscoveryFleet {
	f := &DiscoveryFleet{arrivals: make([]arrival, options.Nodes)}
	f.Await(0)
	ctx, f.stop = context.WithCancel(ctx)
	for i := range options.Nodes {
		f.running.Go(newHollowSource(options, f, i).run(ctx))
	}
	return f
}

// Stop stops all nodes.
func (f *DiscoveryFleet) Stop() {
	f.stop()
	f.running.Wait()
}

// Await begins to wait until each node has got a list, or changes, of a version or a later one.
func (f *DiscoveryFleet) Await(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited, f.missing, f.allArrived = version, len(f.arrivals), make(chan struct{})
	for i := range f.arrivals {
		f.arrivals[i].done = false
	}
}

// AllArrived is closed when no node is missing any more.
func (f *DiscoveryFleet) AllArrived() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allArrived
}

// Arrivals returns, for the nodes that have what is awaited, the time since a moment, and how many nodes are missing.
func (f *DiscoveryFleet) Arrivals(since time.Time) (after []time.Duration, missing int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.done {
			after = append(after, a.at.Sub(since))
		}
	}
	return after, f.missing
}

// Lists is how many lists all nodes have received so far.
func (f *DiscoveryFleet) Lists() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

// recordArrival records that a node has received a list.
func (f *DiscoveryFleet) recordArrival(node int, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	a := &f.arrivals[node]
	if a.done || version < f.awaited {
		return
	}
	a.done, a.at = true, time.Now()
	if f.missing--; f.missing == 0 {
		close(f.allArrived)
	}
}

// hollowSource is the source of one node's list, with the one rule of the decision module that the source depends on: when
// to poll again.
type hollowSource struct {
	source   *discovery.Source
	fleet    *DiscoveryFleet
	index    int
	failures int // in a row; only the source's goroutine touches it
}

func newHollowSource(options DiscoveryFleetOptions, fleet *DiscoveryFleet, index int) *hollowSource {
	h := &hollowSource{fleet: fleet, index: index}
	config := discovery.Config{Addr: options.Addr, Polled: options.Polled, MaxPollInterval: maxPollInterval, Version: options.Version}
	h.source = discovery.New(config, slog.New(slog.DiscardHandler), h.applyUpdate)
	if options.Dial != nil {
		h.source.Client.Transport.(*http.Transport).DialContext = options.Dial
	}
	return h
}

// run returns the function that watches until ctx ends.
func (h *hollowSource) run(ctx context.Context) func() {
	return func() {
		h.source.RequestPoll()
		h.source.Run(ctx)
	}
}

// applyUpdate receives a list, as the engine does, or the failure of all polls.
func (h *hollowSource) applyUpdate(_ context.Context, update engine.Update) error {
	if update.WatchFailed {
		h.failures++
		time.AfterFunc(pollBackoff(h.failures), h.source.RequestPoll)
		return nil
	}
	h.failures = 0
	h.fleet.recordArrival(h.index, update.Version)
	return nil
}

// pollBackoff draws the wait before the next poll after so many failures in a row, as the decision module does: full jitter
// up to a sixteenth of a quarter of the poll interval, doubled with each failure up to that quarter.
func pollBackoff(failures int) time.Duration {
	const maxDoublings = 4 // to longest
	longest := maxPollInterval / 4
	wait := min(longest, longest/16<<min(failures, maxDoublings))
	return time.Duration(rand.Float64()*float64(wait)) + 1
}
