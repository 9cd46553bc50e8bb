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
	reservedDescriptors    = 32                      // descriptors for the listener, discovery, logs and the runtime
	defaultDescriptorLimit = 1024                    // sockets where no limit is set
	killMargin             = 700 * time.Millisecond  // SIGKILL comes so long after the longest deadline at the earliest,
	maxCountedDeadline     = 3 * time.Second         // of which no more than this counts
	initialListWait        = time.Second             // how long to wait for discovery's word before the known list must do,
	maxInitialListWait     = 2500 * time.Millisecond // or where what it has counts at once, unless it is away
	idleCloseInterval      = 50 * time.Millisecond   // while clients are sent away
)

// Node is one balancer on real sockets.
type Node struct {
	cfg                Config
	log                *slog.Logger
	clock              engine.Clock
	engine             *engine.Engine
	pool               *connPool
	discovery          *discovery.Source
	accessList         *balancer.AccessList // nil: everybody is let in
	stderr             io.Writer            // of figures and capture
	maxClientConns     int                  // connections from callers at once
	hasEndpointList    atomic.Bool          // discovery has spoken, or had its time
	initialList        initialList          // the list that the node begins with
	lifecycle          atomic.Pointer[lifecycle.Machine]
	classes            atomic.Pointer[classTable] // what the front knows of the classes
	clients            *clientListener
	maxCountedDeadline time.Duration // killMost, less in tests
	idleClosers        sync.WaitGroup
	stopped            chan struct{}

	peer               peerProcess
	inheritedEndpoints []engine.Endpoint // the servers, where another process handed them over

	// PeersView, if it is there, is asked by operators for what this node knows of its peers, and Reread at SIGHUP; both are
	// set before Run.
	PeersView  func() any
	ReloadKeys func() error

	reloadMu sync.Mutex // over what follows
	current  Config     // as it was read last; cfg is that of the start

	balancerSettings atomic.Pointer[balancer.Settings] // the module's; written with reloads held
}

// New wires a node. It opens nothing yet.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	set, err := cfg.balancerSettings()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	bal, err := balancer.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultDescriptorLimit
	}
	n := &Node{cfg: cfg, current: cfg, accessList: set.AccessList, log: logger, clock: engine.NewClock(), maxCountedDeadline: maxCountedDeadline, stderr: asyncwriter.Stderr,
		stopped: make(chan struct{})}
	n.lifecycle.Store(&lifecycle.Machine{})
	n.balancerSettings.Store(&set)
	n.classes.Store(newClassTable(set, nil, 0))
	spare := reservedDescriptors
	if cfg.AdminAddress != "" {
		spare += adminapi.MaxConnections + 1
	}
	n.engine = engine.New(engine.Options{Clock: n.clock, Log: logger, Balancer: bal, Guard: invariants.NewGuard(logger)})
	n.engine.Guard.Counted = func(invariants.Rule) { n.engine.Metrics.Count(metrics.Tags(0), metrics.Violations) }
	n.maxClientConns = (cfg.Sockets - spare) * 5 / 8
	n.pool = newConnPool(n.clock, cfg, cfg.Sockets-spare-n.maxClientConns, n.engine.AttemptEnded, n.engine.PassResponse)
	n.discovery = discovery.New(discovery.Config{Addr: cfg.Discovery, Polled: cfg.Settings.PollDiscovery, MaxPollInterval: cfg.Settings.MaxPollInterval,
		Pollers: cfg.Settings.Replicas, Version: cfg.BootstrapList.Seq}, logger, n.applyDiscoveryUpdate)
	n.discovery.RenewLease = n.engine.RenewLease
	n.engine.Sender, n.engine.Subscribe = n.pool, n.discovery.Subscribe
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
	n.startFeatures()
	own(n.engine.Run)
	watching, stopWatching := context.WithCancel(context.Background())
	if n.cfg.Settings.PollDiscovery || n.inheritedEndpoints != nil {
		n.initialList.apply(watching, n, nil) // neither has ended
	}
	own(func() { n.discovery.Run(watching) })
	begin := func() {
		n.initialList.apply(watching, n, nil)
		n.hasEndpointList.Store(true)
	}
	defer time.AfterFunc(initialListWait, func() {
		if n.cfg.Settings.PollDiscovery || n.discovery.Unavailable() {
			begin()
		}
	}).Stop()
	defer time.AfterFunc(maxInitialListWait, begin).Stop()

	in := newClientListener(ln, n.maxClientConns, n.engine.Metrics)
	n.clients = in
	if a := n.cfg.Features.AccessList; a != nil {
		in.access = &accessControl{accessList: n.accessList, proxyHeaderTimeout: a.ProxyTimeout, log: n.log}
	}
	lastFigures := n.startMetrics()
	server := &http.Server{
		Handler: &ingressHandler{engine: n.engine, clock: n.clock, classes: n.classes.Load, ready: n.ready,
			bufferLimit:     bufferLimit(n.cfg.MemoryMB, requestBodyMemoryShare, n.maxClientConns),
			faultKeys:       faultinjection.NewKeys(n.cfg.Features.FaultInjections),
			metrics:         n.engine.Metrics,
			accessList:      n.accessList,
			guard:           n.engine.Guard,
			endsConnections: func() bool { return n.lifecycle.Load().EndsConnections(n.clock.Now()) },
			hardDeadline:    func() time.Duration { return n.lifecycle.Load().HardDeadline() }},
		ReadHeaderTimeout: requestHeadTimeout,
		ConnState:         in.connStateChanged,
		ConnContext:       withConn,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(in) }()
	if life := n.transition(lifecycle.Started); life.IsOutOfService() {
		n.closeIdleConnections(life)
	}
	parted := n.connectPeers(ln, own)
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
		n.shutDown(server)
		if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
			err = fmt.Errorf("serve: %w", serveErr)
		}
	}
	if operators != nil {
		operators.Close()
	}
	parted()
	close(n.stopped)
	n.idleClosers.Wait()
	stopWatching()
	n.pool.closeAll()
	n.engine.Stop()
	owned.Wait()
	lastFigures()
	n.engine.Capture.Close()
	n.log.Info("stopped")
	return err
}

// switchOn begins what the settings file has on and the engine takes part in.
func (n *Node) startFeatures() {
	if f := n.cfg.Features.Metrics; f != nil {
		n.engine.Metrics = metrics.New(*f, n.cfg.classNames(), n.cfg.tenants, n.stderr, n.log)
	}
	if c := n.cfg.Features.Capture; c != nil {
		n.engine.Capture = capture.New(*c, n.cfg.Name, n.engine.Balancer, n.currentSettings(), n.cfg.Seed, n.stderr, n.log)
	}
}

// DumpCapture has what the capture holds in memory written to standard error, where there is one. A wish that still
// waits is enough.
func (n *Node) DumpCapture() { n.engine.DumpCapture() }

// report writes figures, where they are on, until the function that it returns is called; that one sees to it
// that the last are written.
func (n *Node) startMetrics() (end func()) {
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
type initialList struct {
	mu      sync.Mutex
	applied bool
}

// tell tells the module the list that the node begins with, unless it was told, and what has come from discovery.
func (f *initialList) apply(ctx context.Context, n *Node, more *engine.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.applied {
		begin := n.bootstrapUpdate()
		if more != nil {
			begin, more = mergeUpdate(begin, *more), nil
		}
		if err := n.engine.ApplyUpdate(ctx, begin); err != nil {
			return err
		}
		f.applied = true
	}
	if more == nil {
		return nil
	}
	return n.engine.ApplyUpdate(ctx, *more)
}

// merged is a list with changes made to it.
func mergeUpdate(list, changes engine.Update) engine.Update {
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
func (n *Node) applyDiscoveryUpdate(ctx context.Context, w engine.Update) error {
	if err := n.initialList.apply(ctx, n, &w); err != nil {
		return err
	}
	n.hasEndpointList.Store(true)
	return nil
}

// ready says that the node can serve: it knows a server in service, from discovery itself if that answers.
func (n *Node) ready() bool {
	return n.hasEndpointList.Load() && n.engine.HasUsableServer() && n.lifecycle.Load().Ready()
}

// step tells the lifecycle of an event.
func (n *Node) transition(e lifecycle.Event) lifecycle.Machine {
	for {
		old := n.lifecycle.Load()
		next := old.Step(n.clock.Now(), e, min(n.classes.Load().maxDeadline, n.maxCountedDeadline)+killMargin, n.successorServing())
		if n.lifecycle.CompareAndSwap(old, &next) {
			return next
		}
	}
}

// drain stops serving without losing a request. A listener closed at once would reset the
// connections that the front still deals out, and idle ones closed at once would cross requests. Callers
// use the connections they have while these stay open, and may have no other node to go to: they are served
// for as long as each answer comes before SIGKILL can.
func (n *Node) shutDown(server *http.Server) {
	n.log.Info("leaving")
	life := n.transition(lifecycle.Terminate)
	if len(n.cfg.Features.FaultInjections) > 0 { // an event that changes nothing would still be one more than before
		n.engine.BeginShutdown()
	}
	if n.successorServing() {
		n.drainToSuccessor(life)
	}
	time.Sleep(life.StopsAt(n.clock.Now()))
	n.clients.stopReadingIdle()
	ctx, cancel := context.WithTimeout(context.Background(), n.classes.Load().maxDeadline+20*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Warn("connections left open", "err", err) // none of them is owed an answer any more
		server.Close()
	}
}

// handOff leaves new clients to the heir and waits until those of this process have left. Kept connections end with
// their next answer, those at rest as late as may be: none crosses a request of its client's that way but the last.
func (n *Node) drainToSuccessor(life lifecycle.Machine) {
	n.clients.stopAccepting()
	n.closeIdleConnections(life)
	for n.clients.connCount() > 0 && n.clock.Now() < life.HardDeadline() {
		time.Sleep(clientDrainPoll)
	}
}

// whole marks the list that a node starts with as complete.
func asComplete(l discoveryapi.List) discoveryapi.List {
	l.Complete = true
	return l
}
