// Package node is the real node round the decision module: it takes callers' requests over HTTP, hands them to the
// engine, carries attempts on sockets and watches discovery.
//
// callers.go is the HTTP front, servers.go the sender with its connections; the list comes from internal/discovery.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/adminapi"
	"hookwalk.example/hookwalk/internal/asyncwriter"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

const (
	reserved   = 32                      // descriptors for the listener, discovery, logs and the runtime
	anyLimit   = 1024                    // sockets where no limit is set
	killSpare  = 700 * time.Millisecond  // SIGKILL comes so long after the longest deadline at the earliest,
	killMost   = 3 * time.Second         // of which no more than this counts
	firstList  = time.Second             // how long to wait for discovery's word before the known list must do,
	firstMost  = 2500 * time.Millisecond // or where what it has counts at once, unless it is away
	sweepEvery = 50 * time.Millisecond   // while clients are sent away
)

// Node is one balancer on real sockets.
type Node struct {
	cfg     Config
	log     *slog.Logger
	clock   engine.Clock
	engine  *engine.Engine
	pool    *pool
	disc    *discovery.Source
	lists   *balancer.AccessList // nil: everybody is let in
	stderr  io.Writer            // of figures and capture
	inbound int                  // connections from callers at once
	heard   atomic.Bool          // discovery has spoken, or had its time
	first   first                // the list that the node begins with
	life    atomic.Pointer[lifecycle.Machine]
	rules   atomic.Pointer[rules] // what the front knows of the classes
	in      *inbound
	most    time.Duration // killMost, less in tests
	sweeps  sync.WaitGroup
	ended   chan struct{}

	kin       kin
	inherited []engine.Endpoint // the servers, where another process handed them over

	// PeersView, if it is there, is asked by operators for what this node knows of its peers, and Reread at SIGHUP; both are
	// set before Run.
	PeersView  func() any
	ReloadKeys func() error

	reloads sync.Mutex // over what follows
	now     Config     // as it was read last; cfg is that of the start

	set atomic.Pointer[balancer.Settings] // the module's; written with reloads held
}

// New wires a node. It opens nothing yet.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	set, err := cfg.moduleSettings()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	bal, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = anyLimit
	}
	n := &Node{cfg: cfg, now: cfg, lists: set.AccessList, log: logger, clock: engine.NewClock(), most: killMost, stderr: asyncwriter.Stderr,
		ended: make(chan struct{})}
	n.life.Store(&lifecycle.Machine{})
	n.set.Store(&set)
	n.rules.Store(newRules(set, nil, 0))
	spare := reserved
	if cfg.AdminAddress != "" {
		spare += adminapi.MaxConnections + 1
	}
	n.engine = engine.New(engine.Options{Clock: n.clock, Log: logger, Balancer: bal, Guard: invariants.NewGuard(logger)})
	n.engine.Guard.Counted = func(invariants.Rule) { n.engine.Metrics.Count(metrics.Tags(0), metrics.Violations) }
	n.inbound = (cfg.Sockets - spare) * 5 / 8
	n.pool = newPool(n.clock, cfg, cfg.Sockets-spare-n.inbound, n.engine.AttemptEnded, n.engine.PassResponse)
	n.disc = discovery.New(discovery.Config{Addr: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, MaxPollInterval: cfg.Settings.MaxPollInterval,
		Pollers: cfg.Settings.Replicas, Version: cfg.BootstrapList.Seq}, logger, n.hear)
	n.disc.RenewLease = n.engine.RenewLease
	n.engine.Sender, n.engine.Subscribe = n.pool, n.disc.Subscribe
	return n, nil
}

// Run serves until ctx ends, then drains: it takes what still comes while the front notices, answers
// what it holds and returns nil.
func (n *Node) Run(ctx context.Context) error {
	ln, err := n.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var ctl net.Listener
	if n.cfg.AdminAddress != "" {
		if ctl, err = net.Listen("tcp", n.cfg.AdminAddress); err != nil {
			ln.Close()
			return fmt.Errorf("control: %w", err)
		}
	}
	return n.serve(ctx, ln, ctl)
}

// serve serves clients on one listener and, if there is one, operators on the other.
func (n *Node) serve(ctx context.Context, ln, ctl net.Listener) error {
	var owned sync.WaitGroup
	own := func(f func()) {
		owned.Add(1)
		go func() {
			defer owned.Done()
			f()
		}()
	}
	n.switchOn()
	own(n.engine.Run)
	watching, stopWatching := context.WithCancel(context.Background())
	if n.cfg.Settings.PollDiscovery || n.inherited != nil {
		n.first.tell(watching, n, nil) // neither has ended
	}
	own(func() { n.disc.Run(watching) })
	begin := func() {
		n.first.tell(watching, n, nil)
		n.heard.Store(true)
	}
	defer time.AfterFunc(firstList, func() {
		if n.cfg.Settings.PollDiscovery || n.disc.Unavailable() {
			begin()
		}
	}).Stop()
	defer time.AfterFunc(firstMost, begin).Stop()

	in := newInbound(ln, n.inbound, n.engine.Metrics)
	n.in = in
	if a := n.cfg.Features.AccessList; a != nil {
		in.doors = &doors{lists: n.lists, timeout: a.ProxyTimeout, log: n.log}
	}
	lastFigures := n.report()
	server := &http.Server{
		Handler: &callers{engine: n.engine, clock: n.clock, rules: n.rules.Load, ready: n.ready,
			held:    held(n.cfg.MemoryMB, bodyPart, n.inbound),
			drills:  faultinjection.NewKeys(n.cfg.Features.FaultInjections),
			figures: n.engine.Metrics,
			lists:   n.lists,
			guard:   n.engine.Guard,
			closing: func() bool { return n.life.Load().EndsConnections(n.clock.Now()) },
			cutoff:  func() time.Duration { return n.life.Load().HardDeadline() }},
		ReadHeaderTimeout: headTime,
		ConnState:         in.watch,
		ConnContext:       withConn,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(in) }()
	if life := n.step(lifecycle.Started); life.IsOutOfService() {
		n.sweepAfter(life)
	}
	parted := n.meet(ln, own)
	var operators *adminapi.Server
	if ctl != nil {
		operators = adminapi.New(ctl, adminService{n}, n.log)
		own(func() {
			if err := operators.Run(); err != nil {
				n.log.Error("operators are not heard any more", "err", err)
			}
		})
	}
	n.log.Info("serving", "name", n.cfg.Name, "listen", ln.Addr().String(), "tier", n.cfg.Settings.Tier)

	var err error
	select {
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		n.drain(server)
		if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
			err = fmt.Errorf("serve: %w", serveErr)
		}
	}
	if operators != nil {
		operators.Close()
	}
	parted()
	close(n.ended)
	n.sweeps.Wait()
	stopWatching()
	n.pool.shut()
	n.engine.Stop()
	owned.Wait()
	lastFigures()
	n.engine.Capture.Close()
	n.log.Info("stopped")
	return err
}

// switchOn begins what the settings file has on and the engine takes part in.
func (n *Node) switchOn() {
	if f := n.cfg.Features.Metrics; f != nil {
		n.engine.Metrics = metrics.New(*f, n.cfg.classNames(), n.cfg.tenants, n.stderr, n.log)
	}
	if c := n.cfg.Features.Capture; c != nil {
		n.engine.Capture = capture.New(*c, n.cfg.Name, n.engine.Balancer, n.settings(), n.cfg.Seed, n.stderr, n.log)
	}
}

// DumpCapture has what the capture holds in memory written to standard error, where there is one. A wish that still
// waits is enough.
func (n *Node) DumpCapture() { n.engine.DumpCapture() }

// report writes figures, where they are on, until the function that it returns is called; that one sees to it
// that the last are written.
func (n *Node) report() (end func()) {
	r := n.engine.Metrics
	if r == nil {
		return func() {}
	}
	stop := make(chan struct{})
	go r.Run(stop)
	return func() {
		close(stop)
		r.Wait()
	}
}

// first is the first list that the module is told. Where lists are asked for, that is the one which the node was given.
// Where they are pushed, what the agent has counts as told from the first moment on, and the given list may have servers
// that drain or were replaced: what comes waits for the agent's word, which then changes the given list in one step, or
// until discovery has had its time.
type first struct {
	mu   sync.Mutex
	told bool
}

// tell tells the module the list that the node begins with, unless it was told, and what has come from discovery.
func (f *first) tell(ctx context.Context, n *Node, more *engine.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.told {
		begin := n.known()
		if more != nil {
			begin, more = merged(begin, *more), nil
		}
		if err := n.engine.ApplyUpdate(ctx, begin); err != nil {
			return err
		}
		f.told = true
	}
	if more == nil {
		return nil
	}
	return n.engine.ApplyUpdate(ctx, *more)
}

// merged is a list with changes made to it.
func merged(list, changes engine.Update) engine.Update {
	if changes.Complete || changes.Failed {
		return changes
	}
	changes.Complete = true
	for _, b := range list.Endpoints {
		if !slices.ContainsFunc(changes.Endpoints, func(c engine.Endpoint) bool { return c.ID == b.ID }) {
			changes.Endpoints = append(changes.Endpoints, b)
		}
	}
	return changes
}

// hear takes what discovery writes.
func (n *Node) hear(ctx context.Context, w engine.Update) error {
	if err := n.first.tell(ctx, n, &w); err != nil {
		return err
	}
	n.heard.Store(true)
	return nil
}

// ready says that the node can serve: it knows a server in service, from discovery itself if that answers.
func (n *Node) ready() bool {
	return n.heard.Load() && n.engine.HasUsableServer() && n.life.Load().Ready()
}

// step tells the lifecycle of an event.
func (n *Node) step(e lifecycle.Event) lifecycle.Machine {
	for {
		old := n.life.Load()
		next := old.Step(n.clock.Now(), e, min(n.rules.Load().longest, n.most)+killSpare, n.followed())
		if n.life.CompareAndSwap(old, &next) {
			return next
		}
	}
}

// drain stops serving without losing a request. A listener closed at once would reset the
// connections that the front still deals out, and idle ones closed at once would cross requests. Callers
// use the connections they have while these stay open, and may have no other node to go to: they are served
// for as long as each answer comes before SIGKILL can.
func (n *Node) drain(server *http.Server) {
	n.log.Info("leaving")
	life := n.step(lifecycle.Terminate)
	if len(n.cfg.Features.FaultInjections) > 0 { // an event that changes nothing would still be one more than before
		n.engine.BeginShutdown()
	}
	if n.followed() {
		n.handOff(life)
	}
	time.Sleep(life.StopsAt(n.clock.Now()))
	n.in.shutRests()
	ctx, cancel := context.WithTimeout(context.Background(), n.rules.Load().longest+20*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Warn("connections left open", "err", err) // none of them is owed an answer any more
		server.Close()
	}
}

// handOff leaves new clients to the heir and waits until those of this process have left. Kept connections end with
// their next answer, those at rest as late as may be: none crosses a request of its client's that way but the last.
func (n *Node) handOff(life lifecycle.Machine) {
	n.in.retire()
	n.sweepAfter(life)
	for n.in.count() > 0 && n.clock.Now() < life.HardDeadline() {
		time.Sleep(goneTime)
	}
}

// whole marks the list that a node starts with as complete.
func whole(l discoveryapi.List) discoveryapi.List {
	l.Complete = true
	return l
}
