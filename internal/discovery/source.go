// Package discovery keeps a node's endpoint list up to date. It polls discovery, keeps a watch open, and passes on each
// complete list or change, in order.
//
// It does the I/O, and owns the goroutines and the connections. The rules for when to poll and how long the list may be
// relied on are in internal/endpointlease, the format of the lists is in internal/discoveryapi. The node supplies a
// Config, a function that applies updates, and a context that stops it.
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

// dialTimeout limits the time to connect to discovery. It leaves room for one retransmission of the first packet, which
// the operating system sends after 1 s.
const dialTimeout = 2 * time.Second

// Config says which discovery is polled and how, and which list the node already holds.
type Config struct {
	Addr            string        // HOST:PORT
	Polled          bool          // lists are polled, the first time after RequestPoll; otherwise an agent pushes them
	MaxPollInterval time.Duration // used if Polled: while no stream is open, the lease ends this long after the last poll
	Pollers         int           // number of nodes that poll the same discovery; 0: unknown
	Version         int64         // version of the list that the node already holds; 0: none
}

// Source is a node's source of endpoint lists. Each stream has a goroutine that reads it and sends what it reads to the
// goroutine of Run. Only the goroutine of Run changes the list and applies updates. The exported methods may be called
// from any goroutine unless they say otherwise.
type Source struct {
	// Client is used to poll discovery. It may be replaced before Run.
	Client *http.Client
	// ApplyUpdate passes an update to the engine, and fails only if its context ends. It may be replaced before Run.
	ApplyUpdate func(context.Context, engine.Update) error
	// RenewLease, if set, is called with the lease on the list whenever the lease changes. It must not block.
	RenewLease func(engine.Lease)

	log    *slog.Logger
	polled bool
	epoch  time.Time // start of the tracker's time

	pollRequests   chan struct{} // signals that RequestPoll was called
	addressChanges chan struct{} // signals that SetAddress has changed addr
	probeEnds      chan struct{} // signals that a probe has ended
	events         chan streamEvent
	version        atomic.Int64 // version of the held list

	// The following fields belong to the goroutine of Run.
	streams               map[int]*stream // by the tracker's stream ID
	heldGeneration        int             // generation of the address from which the held list was received
	needCompleteList      bool            // the complete list must be polled before changes can be applied again
	consecutiveOlderLists int             // complete lists in a row that were older than the held one
	loggedState           endpointlease.State
	loggedUnavailable     bool // the last logged value of Unavailable
	loggedDoubt           endpointlease.Doubt
	lastEndLogged         time.Time
	streamsEndedSinceLog  int // streams that have ended since lastEndLogged

	mu             sync.Mutex // protects the fields below
	addr           string
	tracker        endpointlease.Tracker
	notifiedExpiry time.Duration // the end of the lease that was last passed to RenewLease
}

// New returns a Source, which polls nothing until Run is called.
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
		probeEnds:      make(chan struct{}, 1),
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

// now returns the tracker's time. It is monotonic: a step of the wall clock does not change a lease.
func (s *Source) now() time.Duration { return time.Since(s.epoch) }

// RequestPoll requests the first poll, if Config.Polled is set. Further calls have no effect: the tracker schedules all
// later polls.
func (s *Source) RequestPoll() { signal(s.pollRequests) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // already signaled
	}
}

// Version returns the version of the held list.
func (s *Source) Version() int64 { return s.version.Load() }

// State reports whether the held list may be used.
func (s *Source) State() endpointlease.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.State(s.now())
}

// Unavailable reports whether discovery was found to be down, so that it cannot notify any node.
func (s *Source) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Unavailable()
}

// Run polls and watches discovery until ctx ends. It returns after all of its goroutines have ended.
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
		case <-s.addressChanges: // SetAddress has already recorded the change in the tracker
		case <-s.probeEnds: // probe has already recorded the result in the tracker
		case event := <-s.events:
			s.handle(ctx, event)
		case <-ctx.Done():
		}
	}
}

// step carries out the actions that the tracker has decided on, until none is left. It returns the time until the next step
// is due.
func (s *Source) step(ctx context.Context, readers *sync.WaitGroup) time.Duration {
	for {
		s.mu.Lock()
		now := s.now()
		decision := s.tracker.Step(now)
		var opened *stream
		addr := s.addr
		switch decision.Action {
		case endpointlease.OpenStream:
			opened = s.newStream(now)
		case endpointlease.Probe:
			s.tracker.ProbeBegan(now)
		}
		lease := s.tracker.AdvanceLease(now)
		status := s.leaseLogStatus(lease, now)
		s.notifyLease()
		s.mu.Unlock()
		s.logLease(status)
		switch decision.Action {
		case endpointlease.NoAction:
			return max(min(decision.WakeAt, lease.CheckAt)-now, 1)
		case endpointlease.OpenStream:
			s.openStream(ctx, opened, readers)
		case endpointlease.Probe:
			readers.Go(func() { s.probe(ctx, addr) })
		case endpointlease.DropStream:
			s.endStream(decision.StreamID, errNotNeeded)
		case endpointlease.AbortStalledStream:
			s.streamFailed(ctx, s.streams[decision.StreamID], errStalled)
		}
	}
}
