package configwatch

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

// Applier applies configurations to a node.
type Applier interface {
	// Apply checks a configuration and applies it, completely or not at all. A *configapi.Rejection is the reason why
	// the configuration was rejected. Any other error means that it was not checked because the node is shutting down;
	// then nothing is acknowledged. Calls do not overlap.
	Apply(ctx context.Context, config configapi.ServiceConfig) error
}

// Options identify the node of a session and contain the session's dependencies.
type Options struct {
	Node          string
	Service       string
	Region        string
	Zone          string
	Controllers   []string  // HOST:PORT, at least one
	Seed          uint64    // of the random numbers that spread nodes over time and over controllers
	Started       time.Time // start time of the process
	LastKnownGood configversion.LastKnownGood
	Applier       Applier
	Store         *Store // nil: the last known good version is not stored
	Log           *slog.Logger
	// Dial connects to a controller; nil: over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Counters count what the session sends and receives; nil: not counted. Sessions may share them.
	Counters *Counters
	// Observe is called with each decision about a version, or not at all if it is nil. The session's goroutine calls
	// it, so it must not block.
	Observe func(configversion.VersionDecided)
}

// Counters count what sessions send and receive.
type Counters struct {
	BytesRead    atomic.Int64 // payload bytes, without TCP and IP headers
	BytesWritten atomic.Int64
	Watches      atomic.Int64 // opened
	Heartbeats   atomic.Int64
	Updates      atomic.Int64
	Acks         atomic.Int64 // sent, accepted or not
}

// State is the state of a session.
type State struct {
	Cluster     configapi.Cluster
	LastDecided configapi.Version // the newest version applied or rejected; 0: none
	Applied     configapi.Version // the version in force; 0: the configuration with which the process started
	Controller  string            // HOST:PORT of the main watch's controller; "": there is no main watch
}

// Session is a node's session for configuration versions. It runs from Start to Close.
type Session struct {
	options   Options
	decider   *configversion.Session // used only by the session's goroutine
	startedAt time.Time              // the origin of all times that are passed to decider
	events    chan configversion.SessionEvent
	watches   map[uint64]context.CancelFunc // cancels each open watch, by number; used only by the session's goroutine
	acks      ackClient                     // used only for the acknowledgement in flight
	state     atomic.Pointer[State]
	stop      context.CancelFunc
	tasks     sync.WaitGroup // waits for all goroutines of the session
}

// Start starts a session and returns without waiting for a connection. The caller must call Close.
func Start(options Options) *Session {
	if options.Counters == nil {
		options.Counters = &Counters{}
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Session{
		options:   options,
		startedAt: time.Now(),
		events:    make(chan configversion.SessionEvent),
		watches:   map[uint64]context.CancelFunc{},
		acks:      ackClient{options: &options},
		stop:      stop,
	}
	s.decider = configversion.NewSession(configversion.SessionOptions{
		Node:          options.Node,
		Service:       options.Service,
		Region:        options.Region,
		Zone:          options.Zone,
		StartedMS:     options.Started.UnixMilli(),
		Controllers:   options.Controllers,
		LastKnownGood: options.LastKnownGood,
		Seed:          options.Seed,
	}, 0)
	s.updateState()
	s.tasks.Go(func() { s.run(ctx) })
	return s
}

// Close ends the session, its watches and all calls in progress. It waits at most storeCloseTimeout for a write to
// disk.
func (s *Session) Close() {
	s.stop()
	s.tasks.Wait()
	s.acks.close()
	if s.options.Store != nil {
		s.options.Store.flush(storeCloseTimeout)
	}
}

// State returns the session's state.
func (s *Session) State() State { return *s.state.Load() }

func (s *Session) updateState() {
	s.state.Store(&State{Cluster: s.decider.Cluster(), LastDecided: s.decider.LastDecided(), Applied: s.decider.Applied(), Controller: s.decider.Controller()})
}

func (s *Session) now() time.Duration { return time.Since(s.startedAt) }

// run passes events to decider and executes the returned actions, until ctx ends.
func (s *Session) run(ctx context.Context) {
	timer := time.NewTimer(s.decider.Next() - s.now())
	defer timer.Stop()
	for {
		var event configversion.SessionEvent
		select {
		case event = <-s.events:
		case <-timer.C:
			event = configversion.Tick{}
		case <-ctx.Done():
			return
		}
		s.removeEnded(event)
		for _, action := range s.decider.Step(s.now(), event) {
			s.execute(ctx, action)
		}
		timer.Reset(s.decider.Next() - s.now())
	}
}

// removeEnded removes a watch that has ended or was rejected from the open watches.
func (s *Session) removeEnded(event configversion.SessionEvent) {
	switch e := event.(type) {
	case configversion.WatchEnded:
		delete(s.watches, e.Watch)
	case configversion.WatchRejected:
		delete(s.watches, e.Watch)
	}
}

// post passes an event to the session's goroutine, unless ctx ends first.
func (s *Session) post(ctx context.Context, event configversion.SessionEvent) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// execute carries out an action. Actions that may block run in their own goroutines.
func (s *Session) execute(ctx context.Context, action configversion.SessionAction) {
	switch a := action.(type) {
	case configversion.OpenWatch:
		watchContext, cancel := context.WithCancel(ctx)
		s.watches[a.Watch] = cancel
		s.tasks.Go(func() {
			defer cancel()
			s.post(watchContext, s.watch(watchContext, a))
		})
	case configversion.CloseWatch:
		if cancel, open := s.watches[a.Watch]; open {
			cancel()
			delete(s.watches, a.Watch)
		}
	case configversion.ApplyConfig:
		s.tasks.Go(func() { s.post(ctx, s.apply(ctx, a)) })
	case configversion.SendAck:
		s.tasks.Go(func() { s.post(ctx, s.acknowledge(ctx, a)) })
	case configversion.Persist:
		if s.options.Store != nil {
			s.options.Store.Save(a.LastKnownGood)
		}
	case configversion.VersionDecided:
		s.updateState()
		s.logDecision(a)
		if s.options.Observe != nil {
			s.options.Observe(a)
		}
	case configversion.ControllerChanged:
		s.updateState()
		s.logController(a)
	}
}

func (s *Session) apply(ctx context.Context, a configversion.ApplyConfig) configversion.SessionEvent {
	err := s.options.Applier.Apply(ctx, a.Config)
	var rejection *configapi.Rejection
	switch {
	case err == nil:
		return configversion.ApplyFinished{}
	case errors.As(err, &rejection):
		return configversion.ApplyFinished{Rejection: rejection}
	}
	s.options.Log.Warn("apply of configuration version interrupted", "version", a.Version, "cluster", a.Cluster, "err", err)
	return configversion.ApplyFinished{Interrupted: true}
}

func (s *Session) acknowledge(ctx context.Context, a configversion.SendAck) configversion.SessionEvent {
	s.options.Counters.Acks.Add(1)
	err := s.acks.send(ctx, a.Address, a.Ack)
	if err != nil && ctx.Err() == nil {
		s.options.Log.Debug("acknowledgement not accepted", "controller", a.Address, "version", a.Ack.Version, "err", err)
	}
	return configversion.AckFinished{Accepted: err == nil}
}

func (s *Session) logController(a configversion.ControllerChanged) {
	if a.Controller == "" {
		s.options.Log.Info("configuration watch lost")
		return
	}
	s.options.Log.Info("configuration watch at controller", "controller", a.Controller, "current", a.HasLeaderContact)
}

func (s *Session) logDecision(a configversion.VersionDecided) {
	if a.Outcome == configapi.Applied {
		s.options.Log.Info("configuration version", "version", a.Version, "outcome", a.Outcome, "cluster", a.Cluster,
			"controller", a.Controller)
		return
	}
	s.options.Log.Warn("configuration version", "version", a.Version, "outcome", a.Outcome, "kind", a.Rejection.Kind,
		"reason", a.Rejection.Message, "in_force", a.Applied, "cluster", a.Cluster, "controller", a.Controller)
}
