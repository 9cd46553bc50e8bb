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

// askWithin is the platform's bound on how long a node may go without asking, where lists are asked for.
const askWithin = time.Second

// Dial opens a connection, as in http.Transport.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DiscoveryFleetOptions say which hollow nodes call discovery.
type DiscoveryFleetOptions struct {
	Nodes   int
	Addr    string
	Dial    Dial  // nil: over TCP
	Asked   bool  // lists are asked for; else they are pushed
	Version int64 // that each node holds from before; 0: it has no list
}

// DiscoveryFleet is hollow nodes that keep a watch on discovery: of a node's control part each has the real source of
// its list (package discovery), of the data path nothing.
type DiscoveryFleet struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	lists   int64     // that all nodes have taken
	awaited int64     // the version that is waited for
	at      []arrival // by node
	missing int       // nodes that do not have it
	all     chan struct{}
}

// arrival is when a node got what is waited for.
type arrival struct {
	when time.Time
	done bool
}

// StartDiscoveryFleet starts all nodes at once, and waits for a first list at each. Stop must follow.
func StartDiscoveryFleet(ctx context.Context, options DiscoveryFleetOptions) *DiscoveryFleet {
	f := &DiscoveryFleet{at: make([]arrival, options.Nodes)}
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
	f.awaited, f.missing, f.all = version, len(f.at), make(chan struct{})
	for i := range f.at {
		f.at[i].done = false
	}
}

// All is closed when no node waits any more.
func (f *DiscoveryFleet) All() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all
}

// Arrivals gives, for the nodes that have what is waited for, the time since a moment, and how many do not have it.
func (f *DiscoveryFleet) Arrivals(since time.Time) (after []time.Duration, missing int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.at {
		if a.done {
			after = append(after, a.when.Sub(since))
		}
	}
	return after, f.missing
}

// Lists is how many lists all nodes have taken so far.
func (f *DiscoveryFleet) Lists() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

// took notes that a node has taken a list.
func (f *DiscoveryFleet) took(node int, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	a := &f.at[node]
	if a.done || version < f.awaited {
		return
	}
	a.done, a.when = true, time.Now()
	if f.missing--; f.missing == 0 {
		close(f.all)
	}
}

// hollowSource is the source of one node's list, and of its module the one rule that the source depends on: when to ask
// again.
type hollowSource struct {
	source   *discovery.Source
	fleet    *DiscoveryFleet
	index    int
	failures int // in a row; only the source's goroutine touches it
}

func newHollowSource(options DiscoveryFleetOptions, fleet *DiscoveryFleet, index int) *hollowSource {
	h := &hollowSource{fleet: fleet, index: index}
	config := discovery.Config{Addr: options.Addr, Polled: options.Asked, MaxPollInterval: askWithin, Version: options.Version}
	h.source = discovery.New(config, slog.New(slog.DiscardHandler), h.tell)
	if options.Dial != nil {
		h.source.Client.Transport.(*http.Transport).DialContext = options.Dial
	}
	return h
}

// run gives the function that watches until ctx ends.
func (h *hollowSource) run(ctx context.Context) func() {
	return func() {
		h.source.Subscribe()
		h.source.Run(ctx)
	}
}

// tell takes a list, as the engine does, or the failure of all calls.
func (h *hollowSource) tell(_ context.Context, update engine.Update) error {
	if update.Failed {
		h.failures++
		time.AfterFunc(askAgain(h.failures), h.source.Subscribe)
		return nil
	}
	h.failures = 0
	h.fleet.took(h.index, update.Version)
	return nil
}

// askAgain draws the wait before the list is asked for again after so many failures, as the decision module does
// (deckrelay, askAgain).
func askAgain(failures int) time.Duration {
	const mostShifts = 4
	longest := askWithin / 4
	wait := min(longest, longest/16<<min(failures, mostShifts))
	return time.Duration(rand.Float64()*float64(wait)) + 1
}
