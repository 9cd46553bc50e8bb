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

// maxPollInterval is the platform's maximum time between two polls of a node in polled mode.
const maxPollInterval = time.Second

// Dial opens a connection, like http.Transport.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DiscoveryFleetOptions configures the hollow nodes that call discovery.
type DiscoveryFleetOptions struct {
	Nodes   int
	Addr    string
	Dial    Dial  // nil: over TCP
	Polled  bool  // nodes poll for their list; otherwise discovery pushes it
	Version int64 // version of the list that each node has at the start; 0: no list
}

// DiscoveryFleet is a set of hollow nodes that each keep a watch at discovery. The only real part of such a node is the
// source of its list (package discovery).
type DiscoveryFleet struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu         sync.Mutex
	lists      int64     // received by all nodes
	awaited    int64     // version that Await waits for
	arrivals   []arrival // by node
	missing    int       // number of nodes that have not received the awaited version
	allArrived chan struct{}
}

// arrival records whether and when a node received the awaited version.
type arrival struct {
	at   time.Time
	done bool
}

// StartDiscoveryFleet starts all nodes at once and begins to await the first list of each. The caller must call Stop.
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

// Await begins to record when each node receives a list, or changes, of the given version or a later one.
func (f *DiscoveryFleet) Await(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited, f.missing, f.allArrived = version, len(f.arrivals), make(chan struct{})
	for i := range f.arrivals {
		f.arrivals[i].done = false
	}
}

// AllArrived returns a channel that is closed when all nodes have received the awaited version.
func (f *DiscoveryFleet) AllArrived() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allArrived
}

// Arrivals returns how long after since each node received the awaited version, and how many nodes have not received it.
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

// Lists returns how many lists all nodes have received so far.
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

// hollowSource is the source of one node's list. It replaces the decision module in the one decision that the source
// depends on: when to poll again.
type hollowSource struct {
	source   *discovery.Source
	fleet    *DiscoveryFleet
	index    int
	failures int // consecutive; used only by the source's goroutine
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

// run returns a function that keeps the watch until ctx ends.
func (h *hollowSource) run(ctx context.Context) func() {
	return func() {
		h.source.RequestPoll()
		h.source.Run(ctx)
	}
}

// applyUpdate receives, in place of the engine, a list or the news that all polls have failed.
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

// pollBackoff draws the wait before the next poll after a number of consecutive failures, as the decision module does: full
// jitter up to a bound of a sixteenth of a quarter of the poll interval, doubled with each failure up to that quarter.
func pollBackoff(failures int) time.Duration {
	const maxDoublings = 4 // until the bound reaches longest
	longest := maxPollInterval / 4
	wait := min(longest, longest/16<<min(failures, maxDoublings))
	return time.Duration(rand.Float64()*float64(wait)) + 1
}
