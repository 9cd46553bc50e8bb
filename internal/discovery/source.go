// Package discovery keeps a node's endpoint list up to date: it polls discovery, keeps a watch open, and passes each
// complete list or change on, in order.
//
// It does the I/O and owns the goroutines, the connections and their ends. The rules of when to poll and until when the
// list may be relied on are internal/endpointlease's; the form of the lists is internal/discoveryapi's. The node gives it a
// Config, a function that applies updates, and a context that ends it.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// dialTimeout is how long a connection to discovery may take to come up: the system sends its first packet again after 1 s.
const dialTimeout = 2 * time.Second

// Config says which discovery is polled, how, and what the node holds from before.
type Config struct {
	Addr            string        // HOST:PORT
	Polled          bool          // lists are polled, the first time after Subscribe; else an agent pushes them
	MaxPollInterval time.Duration // where lists are polled: the lease of a list without a watch ends so long after the last poll
	Pollers         int           // nodes that poll the same discovery; 0: not known
	Version         int64         // of the list held; 0: none
}

// Source is a node's source of endpoint lists. Run owns it: each stream has a goroutine that reads, and hands what it
// reads to the goroutine of Run, which alone changes what the list is and applies updates. The exported methods may be
// called from any goroutine, unless they say otherwise.
type Source struct {
	// Client polls discovery. It may be replaced before Run.
	Client *http.Client
	// ApplyUpdate passes an update to the engine. It fails only as its context ends. It may be replaced before Run.
	ApplyUpdate func(context.Context, engine.Update) error
	// RenewLease, if it is set, is given the lease on the list whenever that changes. It must not block.
	RenewLease func(engine.Lease)

	log    *slog.Logger
	polled bool
	epoch  time.Time // of the tracker's times

	pollRequests   chan struct{} // Subscribe was called
	addressChanges chan struct{} // SetAddress has changed addr
	events         chan streamEvent
	version        atomic.Int64 // of the list held; see Version

	// Of the goroutine of Run.
	streams               map[int]*stream // by the tracker's ID
	heldGeneration        int             // of the address from which the list held came
	needCompleteList      bool            // the list held can't be built on: the complete list comes first
	consecutiveOlderLists int             // consecutive complete lists that were older than the one held
	loggedState           endpointlease.State
	loggedUnavailable     bool // whether discovery was unavailable as the log has it
	lastEndLogged         time.Time
	streamsEndedSinceLog  int // since lastEndLogged

	mu             sync.Mutex // of what follows
	addr           string
	tracker        endpointlease.Tracker
	notifiedExpiry time.Duration // the end of the lease that RenewLease was given last
}

// New makes a Source that polls nothing yet. Run does.
func New(cfg Config, log *slog.Logger, applyUpdate func(context.Context, engine.Update) error) *Source {
	s := &Source{
		Client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
		ApplyUpdate:    applyUpdate,
		log:            log,
		polled:         cfg.Polled,
		epoch:          time.Now(),
		pollRequests:   make(chan struct{}, 1),
		addressChanges: make(chan struct{}, 1),
		events:         make(chan streamEvent),
		streams:        map[int]*stream{},
		addr:           cfg.Addr,
		tracker: endpointlease.Tracker{Options: endpointlease.Options{
			Pushed: !cfg.Polled, MaxPollInterval: cfg.MaxPollInterval, Pollers: cfg.Pollers}},
	}
	s.tracker.HoldBootstrapList(s.now())
	s.ResumeFrom(cfg.Version)
	return s
}

// now is the tracker's time. It is monotonic: a step of the wall clock changes no lease.
func (s *Source) now() time.Duration { return time.Since(s.epoch) }

// RequestPoll requests the first poll, where lists are polled. Further calls change nothing: the tracker schedules all later
// polls by itself.
func (s *Source) RequestPoll() { signal(s.pollRequests) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is signaled already
	}
}

// Version is that of the list held.
func (s *Source) Version() int64 { return s.version.Load() }

// State says whether the list that the node holds may be used.
func (s *Source) State() endpointlease.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.State(s.now())
}

// Unavailable says whether discovery was found to be down, so that it can notify nobody.
func (s *Source) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Unavailable()
}

// Run polls and watches until ctx ends. It returns after all of its goroutines.
func (s *Source) Run(ctx context.Context) {
	var readers sync.WaitGroup
	defer readers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for ctx.Err() == nil {
		wake.Reset(s.step(ctx, &readers))
		select {
		case <-wake.C:
		case <-s.pollRequests:
			s.track((*endpointlease.Tracker).RequestPoll)
		case <-s.addressChanges: // SetAddress has noted it with the tracker
		case event := <-s.events:
			s.handle(ctx, event)
		case <-ctx.Done():
		}
	}
}

// step carries out what the tracker decides now, and returns how long nothing more is due.
func (s *Source) step(ctx context.Context, readers *sync.WaitGroup) time.Duration {
	for {
		s.mu.Lock()
		now := s.now()
		decision := s.tracker.Step(now)
		var opened *stream
		if decision.Action == endpointlease.OpenStream {
			opened = s.newStream(now)
		}
		lease := s.tracker.AdvanceLease(now)
		unavailable, found := s.tracker.Unavailable(), s.tracker.AvailabilityName()
		s.notifyLease()
		s.mu.Unlock()
		s.logLease(lease.State, unavailable, found)
		switch decision.Action {
		case endpointlease.NoAction:
			return max(min(decision.WakeAt, lease.CheckAt)-now, 1)
		case endpointlease.OpenStream:
			s.openStream(ctx, opened, readers)
		case endpointlease.DropStream:
			s.endStream(decision.StreamID, errNotNeeded)
		case endpointlease.AbortStalledStream:
			s.streamFailed(ctx, s.streams[decision.StreamID], errStalled)
		}
	}
}
