// Package node runs the balancer as a daemon. It accepts HTTP requests from clients, passes them to the engine, sends
// attempts to servers, watches discovery, serves the admin API and hands over to a successor process.
//
// Files by subject:
//
//   - node.go, serve.go, shutdown.go: the Node, its startup and its shutdown
//   - initiallist.go: the first endpoint list
//   - config.go, configcompat.go, override.go, reload.go, classtable.go: the configuration, and changes to it at run time
//   - ingress.go, request.go, headers.go, response.go, requestmetrics.go: requests from clients and their responses
//   - clientlistener.go, clientconn.go, accesscontrol.go, readahead.go, inputwatcher.go, inputdiscard.go: client
//     connections
//   - requestbody.go, streamedsend.go, responsestream.go, slowresponse.go: bodies that are too large or too slow to be buffered
//   - memory.go: how the memory is divided among them
//   - connpool.go, connreuse.go, suspicion.go, closereason.go, upstreamconn.go, attempt.go: connections to servers, and
//     the attempts sent on them
//   - admin.go: the admin API
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

// Limits on file descriptors. A process without a free descriptor can neither accept a client nor connect to a server, so
// each kind of use is bounded.
const (
	reservedDescriptors    = 32   // for the listener, discovery, logs and the runtime
	defaultDescriptorLimit = 1024 // used when the platform sets no limit

	// minDescriptorLimit is the lowest limit with which a node starts. A lower one leaves too few descriptors after the
	// reserved ones.
	minDescriptorLimit = 4 * reservedDescriptors

	// clientDescriptorShare / descriptorShares is the fraction of the unreserved descriptors that client connections may
	// use. The rest is for connections to servers. Clients get the larger part because an idle client connection needs no
	// connection to a server.
	clientDescriptorShare = 5
	descriptorShares      = 8 // denominator of clientDescriptorShare
)

// Node is one balancer process.
//
// New opens no files or connections. Run owns all goroutines and connections, and returns when they have ended.
type Node struct {
	cfg            Config // the configuration at startup
	log            *slog.Logger
	clock          engine.Clock
	engine         *engine.Engine
	pool           *connPool
	discovery      *discovery.Source
	accessList     *balancer.AccessList // nil: every client is admitted
	stderr         io.Writer            // receives metrics and captures
	maxClientConns int                  // limit on concurrent client connections
	memory         int                  // for heads, bodies and responses, in bytes; 0: no limit
	clientListener *clientListener      // set by serve

	lifecycle          atomic.Pointer[lifecycle.Machine] // only transition replaces it
	maxCountedDeadline time.Duration                     // the constant of this name; lower in tests
	idleClosers        sync.WaitGroup                    // goroutines of startIdleCloser
	stopped            chan struct{}                     // closed when clients are no longer served

	// initialListSettled is set when the first endpoint list has been received from discovery or from the previous process,
	// or when the wait for discovery has timed out.
	initialListSettled atomic.Bool
	initialList        initialList
	otherProcess       otherProcess
	sharedLimits       sharedLimits
	fullLimits         processLimits     // of this process while no other process of the node runs
	inheritedEndpoints []engine.Endpoint // handed over by the previous process; nil: none

	// LimitMemory, if not nil, limits the memory of this process, in bytes. It is called when the process begins to share the limit of
	// the node with another one, and again as the other's usage changes. Set it before Run.
	LimitMemory func(bytes int64)
	// PeersView returns what this node knows about its peers, for the admin API. It is nil if the node has no peers. Set it
	// before Run.
	PeersView func() any
	// ReloadKeys rereads the keys that the peers use. It is called on SIGHUP, and nil if there are no keys. Set it before
	// Run.
	ReloadKeys func() error

	reloadMu sync.Mutex // guards current; held while settings are applied
	current  Config     // the configuration in force

	classes          atomic.Pointer[classTable]        // the classes of the settings in force
	balancerSettings atomic.Pointer[balancer.Settings] // the settings in force; written with reloadMu held
}

// New creates a node from its configuration, without opening files or connections. It returns an error if the balancer
// does not accept the settings.
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
	n.otherProcess.abandonedRuns = make(chan string, maxQueuedRuns)
	n.engine.OnAbandonedRun = n.otherProcess.queueAbandonedRun
	n.engine.Violations.OnViolation = func(invariants.Rule) { n.engine.Metrics.Count(metrics.Tags(0), metrics.Violations) }

	available := cfg.Sockets - cfg.reservedDescriptors()
	n.maxClientConns = available * clientDescriptorShare / descriptorShares
	maxUpstreamConns := available - n.maxClientConns
	if cfg.MemoryMB > 0 {
		n.memory = variableMemory(cfg.MemoryMB<<20, cfg.Sockets)
		n.maxClientConns = maxConnections(cfg.MemoryMB<<20, cfg.Sockets, n.maxClientConns)
	}
	n.fullLimits = processLimits{memory: int64(cfg.MemoryMB) << 20, clientConns: n.maxClientConns, upstreamConns: maxUpstreamConns}
	n.pool = newConnPool(n.clock, cfg, maxUpstreamConns, n.engine.AttemptEnded, n.engine.ForwardResponse)
	n.pool.bufferLimit = bufferLimit(n.memory, responseMemoryDivisor, maxUpstreamConns)
	n.pool.maxIdle = maxIdleUpstreamConns(n.memory, maxUpstreamConns)
	n.pool.log = logger
	n.pool.count = func(c metrics.Counter) { n.engine.Metrics.Count(metrics.Tags(0), c) }
	n.discovery = discovery.New(discovery.Config{Addr: cfg.Discovery, Polled: cfg.Settings.PollDiscovery,
		MaxPollInterval: cfg.Settings.MaxPollInterval, Pollers: cfg.Settings.Replicas, Version: cfg.BootstrapList.Version},
		logger, n.applyDiscoveryUpdate)
	n.discovery.RenewLease = n.engine.RenewLease
	n.engine.Sender, n.engine.Subscribe = n.pool, n.discovery.RequestPoll
	return n, nil
}

// reservedDescriptors returns the number of descriptors that are used neither for clients nor for servers.
func (c Config) reservedDescriptors() int {
	if c.AdminAddress == "" {
		return reservedDescriptors
	}
	return reservedDescriptors + adminapi.MaxConnections + 1 // 1 for the admin listener
}

// DumpCapture requests that the capture write the records that it holds in memory to standard error. It does nothing if
// capturing is off, or while an earlier request is pending.
func (n *Node) DumpCapture() { n.engine.DumpCapture() }

// ready reports whether load balancers should send clients to this node: it is in service, its initial endpoint list is
// settled, and it knows a usable server.
func (n *Node) ready() bool {
	return n.initialListSettled.Load() && n.engine.HasUsableServer() && n.lifecycle.Load().TakesNewClients()
}
