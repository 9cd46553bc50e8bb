// Package configwatch carries a node's session for configuration versions: it opens the watches that the rules of package
// configversion want, reads updates, has an Applier bring configurations into force, sends acknowledgements and keeps the
// last known good version on disk. It decides nothing itself. All events meet in one goroutine, which never waits for
// I/O; each watch has a goroutine while it is open, and so have an apply, an acknowledgement and a write to disk while
// they are under way. Cmd/hookwalk starts one session for its node, the scale rigs hundreds in one process.
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

// Applier brings configurations into force.
type Applier interface {
	// Apply checks a configuration and brings it into force, whole or not at all. A *configapi.Rejection says why it is
	// not in force; any other error that it could not be tried, then nothing is acknowledged. Calls come one at a time.
	Apply(ctx context.Context, config configapi.ServiceConfig) error
}

// Options say whose session it is.
type Options struct {
	Node          string
	Service       string
	Region        string
	Zone          string
	Controllers   []string // HOST:PORT, one at least
	Seed          uint64
	Started       time.Time // of the process
	LastKnownGood configversion.LastKnownGood
	Applier       Applier
	Store         *Store // nil: the version in force is not kept
	Log           *slog.Logger
	// Dial connects to a controller; nil: by TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Counters, if there are any, count what the session sends and gets. Sessions may share them.
	Counters *Counters
	// Observe, if there is one, is told of each answer to a version, from the session's goroutine. It must not wait.
	Observe func(configversion.VersionDecided)
}

// Counters count what sessions send and get.
type Counters struct {
	BytesRead    atomic.Int64 // from connections, without the headers of TCP and IP
	BytesWritten atomic.Int64
	Watches      atomic.Int64 // opened
	Heartbeats   atomic.Int64
	Updates      atomic.Int64
	Acks         atomic.Int64 // sent, answered or not
}

// State is where a session stands.
type State struct {
	Cluster     configapi.Cluster
	LastDecided configapi.Version // the newest answered
	Applied     configapi.Version // in force; 0: the configuration that the process was started with
	Controller  string            // HOST:PORT of the controller that the node goes by; "": none
}

// Session is a node's session, from Start to Close.
type Session struct {
	options   Options
	decisions *configversion.Session
	startedAt time.Time
	events    chan configversion.SessionEvent
	watches   map[uint64]context.CancelFunc
	acks      ackClient
	state     atomic.Pointer[State]
	stop      context.CancelFunc
	tasks     sync.WaitGroup
}

// Start begins a session. It waits for nothing.
func Start(options Options) *Session {
	if options.Counters == nil {
		options.Counters = &Counters{}
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Session{options: options, startedAt: time.Now(), events: make(chan configversion.SessionEvent), stop: stop,
		watches: map[uint64]context.CancelFunc{}, acks: ackClient{options: &options}}
	s.decisions = configversion.NewSession(configversion.SessionOptions{Node: options.Node, Service: options.Service,
		Region: options.Region, Zone: options.Zone, StartedMS: options.Started.UnixMilli(), Controllers: options.Controllers,
		LastKnownGood: options.LastKnownGood, Seed: options.Seed}, 0)
	s.publishState()
	s.tasks.Go(func() { s.run(ctx) })
	return s
}

// Close ends the session: its watches, and what is under way. A write to disk is given a short time.
func (s *Session) Close() {
	s.stop()
	s.tasks.Wait()
	s.acks.close()
	if s.options.Store != nil {
		s.options.Store.flush(storeCloseTimeout)
	}
}

// State says where the session stands.
func (s *Session) State() State { return *s.state.Load() }

func (s *Session) publishState() {
	s.state.Store(&State{Cluster: s.decisions.Cluster(), LastDecided: s.decisions.LastDecided(), Applied: s.decisions.Applied(), Controller: s.decisions.Controller()})
}

func (s *Session) now() time.Duration { return time.Since(s.startedAt) }

// run hands events to the rules and carries out what they want, until ctx ends.
func (s *Session) run(ctx context.Context) {
	timer := time.NewTimer(s.decisions.Next() - s.now())
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
		for _, action := range s.decisions.Step(s.now(), event) {
			s.execute(ctx, action)
		}
		timer.Reset(s.decisions.Next() - s.now())
	}
}

// removeEnded drops what is held for a watch that has ended by itself.
func (s *Session) removeEnded(event configversion.SessionEvent) {
	switch e := event.(type) {
	case configversion.WatchEnded:
		delete(s.watches, e.Watch)
	case configversion.WatchRejected:
		delete(s.watches, e.Watch)
	}
}

// post hands an event to the session's goroutine, unless ctx ends first.
func (s *Session) post(ctx context.Context, event configversion.SessionEvent) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

func (s *Session) execute(ctx context.Context, action configversion.SessionAction) {
	switch a := action.(type) {
	case configversion.OpenWatch:
		watching, cancel := context.WithCancel(ctx)
		s.watches[a.Watch] = cancel
		s.tasks.Go(func() {
			defer cancel()
			s.post(watching, s.watch(watching, a))
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
		s.publishState()
		s.logDecision(a)
		if s.options.Observe != nil {
			s.options.Observe(a)
		}
	case configversion.ControllerChanged:
		s.publishState()
		s.options.Log.Info("configuration watch", "controller", a.Controller, "current", a.Current)
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
	s.options.Log.Warn("configuration version not tried", "version", a.Version, "cluster", a.Cluster, "err", err)
	return configversion.ApplyFinished{Interrupted: true}
}

func (s *Session) acknowledge(ctx context.Context, a configversion.SendAck) configversion.SessionEvent {
	s.options.Counters.Acks.Add(1)
	err := s.acks.send(ctx, a.Address, a.Ack)
	if err != nil && ctx.Err() == nil {
		s.options.Log.Debug("acknowledgement not taken", "controller", a.Address, "version", a.Ack.Version, "err", err)
	}
	return configversion.AckFinished{Accepted: err == nil}
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
