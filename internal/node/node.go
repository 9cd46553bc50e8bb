// Package node runs the balancer as a daemon: it takes requests from clients over HTTP, hands them to the engine, carries
// attempts to servers, watches discovery, answers operators and hands over to a successor process.
//
// By subject:
//
//   - node.go, serve.go, shutdown.go: the Node, its start, and its end
//   - initiallist.go: the endpoint list that the node begins with
//   - config.go, configcompat.go, override.go, reload.go, classtable.go: the configuration, and its changes while it runs
//   - ingress.go, request.go, headers.go, response.go, requestmetrics.go: requests from clients and their responses
//   - clientlistener.go, clientconn.go, accesscontrol.go, readahead.go: client connections
//   - requestbody.go, responsestream.go: bodies that are too large to be buffered
//   - connpool.go, connreuse.go, suspicion.go, closereason.go, upstreamconn.go, attempt.go: connections to servers and attempts on them
//   - admin.go: operators' calls
//   - handover.go, otherprocess.go: hot restart
package node

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/adminapi"
	"hookwalk.example/hookwalk/internal/asyncwriter"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

// Descriptors. A process that runs out of them can accept nobody and reach no server, so each use has a bound.
const (
	reservedDescriptors    = 32   // for the listener, discovery, logs and the runtime
	defaultDescriptorLimit = 1024 // where the platform sets no limit

	// minDescriptorLimit is the lowest limit with which a node starts: below it too little is left beside the reserve.
	minDescriptorLimit = 4 * reservedDescriptors

	// clientDescriptorShare of descriptorShares is the part of the descriptors that are not reserved which is for clients.
	// The rest is for servers. A client's connection may be idle, and then needs none to a server.
	clientDescriptorShare = 5
	descriptorShares      = 8 // see clientDescriptorShare
)

// Node is one balancer process.
//
// New opens nothing. Run owns all goroutines and connections, and returns when they have ended.
type Node struct {
	cfg            Config // that of the start
	log            *slog.Logger
	clock          engine.Clock
	engine         *engine.Engine
	pool           *connPool
	discovery      *discovery.Source
	accessList     *balancer.AccessList // nil: every client is admitted
	stderr         io.Writer            // takes metrics and captures
	maxClientConns int                  // at once
	clientListener *clientListener      // set by serve

	lifecycle          atomic.Pointer[lifecycle.Machine] // replaced by transition only
	maxCountedDeadline time.Duration                     // as the constant; less in tests
	idleClosers        sync.WaitGroup                    // goroutines of closeIdleConnections
	stopped            chan struct{}                     // closed when clients are no longer served

	initialListSettled atomic.Bool // from discovery or the process before, or discovery had its time
	initialList        initialList
	otherProcess       otherProcess
	inheritedEndpoints []engine.Endpoint // handed over by the process before; nil: none

	// PeersView returns what this node knows of its peers, for operators; nil: nothing. To be set before Run.
	PeersView func() any
	// ReloadKeys reads the peers' keys again, at SIGHUP; nil: there are none. To be set before Run.
	ReloadKeys func() error

	reloadMu sync.Mutex // over current; held while settings are applied
	current  Config     // the configuration in force

	classes          atomic.Pointer[classTable]        // of the settings in force
	balancerSettings atomic.Pointer[balancer.Settings] // in force; written with reloadMu held
}

// New wires a node. It opens nothing yet. The error says what in the settings the balancer does not accept.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	settings, err := cfg.balancerSettings()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	bal, err := balancer.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultDescriptorLimit
	}
	n := &Node{cfg: cfg, current: cfg, accessList: settings.AccessList, log: logger, clock: engine.NewClock(),
		maxCountedDeadline: maxCountedDeadline, stderr: asyncwriter.Stderr, stopped: make(chan struct{})}
	n.lifecycle.Store(&lifecycle.Machine{})
	n.balancerSettings.Store(&settings)
	n.classes.Store(newClassTable(settings, nil, 0))
	n.engine = engine.New(engine.Options{Clock: n.clock, Log: logger, Balancer: bal, Violations: invariants.NewRecorder(logger)})
	n.engine.Violations.OnViolation = func(invariants.Rule) { n.engine.Metrics.Count(metrics.Tags(0), metrics.Violations) }

	available := cfg.Sockets - cfg.reservedDescriptors()
	n.maxClientConns = available * clientDescriptorShare / descriptorShares
	n.pool = newConnPool(n.clock, cfg, available-n.maxClientConns, n.engine.AttemptEnded, n.engine.ForwardResponse)
	n.pool.log = logger
	n.pool.count = func(c metrics.Counter) { n.engine.Metrics.Count(metrics.Tags(0), c) }
	n.discovery = discovery.New(discovery.Config{Addr: cfg.Discovery, Polled: cfg.Settings.PollDiscovery,
		MaxPollInterval: cfg.Settings.MaxPollInterval, Pollers: cfg.Settings.Replicas, Version: cfg.BootstrapList.Version},
		logger, n.applyDiscoveryUpdate)
	n.discovery.RenewLease = n.engine.RenewLease
	n.engine.Sender, n.engine.Subscribe = n.pool, n.discovery.RequestPoll
	return n, nil
}

// reservedDescriptors is how many descriptors are neither for clients nor for servers.
func (c Config) reservedDescriptors() int {
	if c.AdminAddress == "" {
		return reservedDescriptors
	}
	return reservedDescriptors + adminapi.MaxConnections + 1 // and the admin listener
}

// DumpCapture has what the capture holds in memory written to standard error, if capturing is on. Calls while one
// waits to be carried out are dropped.
func (n *Node) DumpCapture() { n.engine.DumpCapture() }

// ready reports whether clients are to be sent here: the node knows a usable server, from discovery itself if that
// answers, and is in service.
func (n *Node) ready() bool {
	return n.initialListSettled.Load() && n.engine.HasUsableServer() && n.lifecycle.Load().TakesNewClients()
}
