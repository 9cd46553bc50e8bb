package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	headerTimeout  = 5 * time.Second  // for a request's header
	bodyTimeout    = 10 * time.Second // for a request's body
	replyTimeout   = 10 * time.Second // for an answer that is not a watch
	idleTimeout    = 60 * time.Second // of a connection without a request
	writeTimeout   = 3 * time.Second  // of one write to a watch: a node that takes none is dropped
	maxHeaderBytes = 16 << 10         // bytes

	// extraConnections are those beside the nodes' watches and acknowledgements: operators, other controllers.
	extraConnections = 256
	// migrationsPerSecond is how many sessions a controller hands on to others, at most.
	migrationsPerSecond = 20
	// monitorInterval is how often a controller looks whether it is in touch with the leader.
	monitorInterval = 50 * time.Millisecond
	// bootstrapWait is how long an empty controller waits for all others to answer, before it begins a cluster with a
	// majority of them.
	bootstrapWait = 3 * time.Second
	// waitLogInterval is how often a controller that can't take part yet says so.
	waitLogInterval = 10 * time.Second
	// drainTimeout is how long a controller that ends waits for its nodes to move.
	drainTimeout = 2 * time.Second
)

// Controller is a running controller.
type Controller struct {
	config    Config
	log       *slog.Logger
	processID string // drawn at random, to tell two processes on one disk apart
	views     *viewStore
	nodes     *nodeTable
	peers     *peerReports

	disk         *disk
	listener     net.Listener
	raftListener net.Listener
	server       *http.Server

	consensus     atomic.Pointer[consensus]
	participation atomic.Pointer[participation]
	tasks         sync.WaitGroup
}

// participation is how a controller takes part, for its reports.
type participation struct {
	phase    phase
	serverID string
	start    uint64
	founders map[string]string
}

// New opens a controller's folder and its addresses.
func New(config Config, log *slog.Logger) (*Controller, error) {
	c := &Controller{config: config, log: log.With("controller", config.Self.Name), processID: randomText(), views: newViewStore(), peers: newPeerReports(config)}
	movesPerPoll := int(migrationsPerSecond * pollInterval / time.Second)
	c.nodes = newNodeTable(configversion.NewPlacement(config.Self.Endpoint(), config.MaxSessions, movesPerPoll))
	d, err := openDisk(config.Folder, config.Self.Name)
	if err != nil {
		return nil, err
	}
	c.disk = d
	if err := c.listen(); err != nil {
		_ = d.close()
		return nil, err
	}
	if err := c.initParticipation(); err != nil {
		c.releaseResources()
		return nil, err
	}
	c.server = &http.Server{Handler: c.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)}
	return c, nil
}

func (c *Controller) listen() error {
	options := net.ListenConfig{Control: setSocketOptions}
	listener, err := options.Listen(context.Background(), "tcp", c.config.Self.Listen)
	if err != nil {
		return &ListenError{c.config.Self.Listen, err}
	}
	raftPort, err := net.Listen("tcp", c.config.Self.Raft)
	if err != nil {
		_ = listener.Close()
		return &ListenError{c.config.Self.Raft, err}
	}
	c.listener = netutil.LimitListener(listener, 2*c.config.MaxSessions+extraConnections)
	c.raftListener = raftPort
	return nil
}

// initParticipation says how the disk takes part, as far as the disk can tell.
func (c *Controller) initParticipation() error {
	used, err := c.disk.hasState()
	if err != nil {
		return &FolderError{c.config.Folder, "empty the folder, and the controller copies the state from the others", err}
	}
	switch server := c.disk.identity.ServerID; {
	case used:
		c.setParticipation(phaseMember, nil)
	case server != "" && server != c.config.Self.Name:
		c.setParticipation(phaseJoining, nil)
	default:
		c.setParticipation(phaseEmpty, nil)
	}
	return nil
}

// releaseResources gives back what New has opened.
func (c *Controller) releaseResources() {
	_ = c.listener.Close()
	_ = c.raftListener.Close()
	_ = c.disk.close()
}

// Run serves until ctx ends, and then ends in stages: the leadership goes to another controller, the nodes move, the log
// is closed.
func (c *Controller) Run(ctx context.Context) error {
	c.log.Info("serving", "listen", c.config.Self.Listen, "raft", c.config.Self.Raft, "folder", c.config.Folder,
		"region", c.config.Self.Region, "zone", c.config.Self.Zone, "max_sessions", c.config.MaxSessions)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	c.tasks.Go(func() {
		if err := c.server.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	c.tasks.Go(func() { c.pollPeers(work) })
	c.tasks.Go(func() {
		if err := c.runConsensus(work); err != nil {
			failed <- err
		}
	})
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	c.shutdown(stop)
	return err
}

// shutdown ends the controller in stages.
func (c *Controller) shutdown(stop context.CancelFunc) {
	if running := c.consensus.Load(); running != nil {
		running.transferLeadership()
	}
	c.nodes.drain(time.Now())
	c.waitForSessions()
	c.nodes.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		_ = c.server.Close()
	}
	stop()
	c.tasks.Wait()
	if running := c.consensus.Load(); running != nil {
		running.close()
	} else {
		_ = c.raftListener.Close()
	}
	if err := c.disk.close(); err != nil {
		c.log.Warn("the log was not closed as it should be", "err", err)
	}
	c.peers.client.CloseIdleConnections()
	c.log.Info("ended")
}

// waitForSessions waits a bounded time for the nodes to move.
func (c *Controller) waitForSessions() {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for rest := drainTimeout; rest > 0 && c.nodes.sessions() > 0; rest -= monitorInterval {
		<-tick.C
	}
}

// pollPeers reads the others' reports again and again, and acts on them.
func (c *Controller) pollPeers(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		c.peers.poll(ctx, c.participation.Load().serverID)
		now := time.Now()
		moved := c.nodes.setPeers(c.peers.loads(now, c.views.load().current), now)
		if moved > 0 {
			c.log.Info("sessions asked to move to controllers with fewer", "moved", moved, "sessions", c.nodes.sessions())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// runConsensus finds out how this controller takes part in the cluster, runs raft, and watches over it.
func (c *Controller) runConsensus(ctx context.Context) error {
	running, err := c.startRaft(ctx)
	if err != nil || running == nil {
		return err
	}
	c.tasks.Go(func() { running.snapshotOnChange(ctx.Done()) })
	c.tasks.Go(func() { c.runLeader(ctx, running) })
	c.monitor(ctx, running)
	return nil
}

// startRaft starts raft in the way that the disk allows. It returns nil when the controller ends before.
func (c *Controller) startRaft(ctx context.Context) (*consensus, error) {
	switch c.participation.Load().phase {
	case phaseMember:
		return c.resumeFromDisk(ctx)
	case phaseJoining:
		return c.launchConsensus(phaseJoining, false, nil)
	}
	return c.startWithEmptyDisk(ctx)
}

// startWithEmptyDisk waits until it is clear how an empty disk takes part.
func (c *Controller) startWithEmptyDisk(ctx context.Context) (*consensus, error) {
	began := time.Now()
	decision := startUndecided
	var reports map[string]memberReport
	err := c.waitUntil(ctx, "the folder is empty, and a majority of the controllers must answer before a cluster can begin", func() bool {
		reports = c.peers.valid(time.Now())
		decision = decideEmptyDiskStart(c.config, c.processID, reports, time.Since(began) < bootstrapWait)
		return decision != startUndecided
	})
	switch {
	case err != nil:
		return nil, nil
	case decision == startJoin:
		c.log.Info("the folder is empty, and others have a log: this controller joins with a new server ID and copies it")
		if err := c.disk.setServerID(replacementServerID(c.config.Self.Name)); err != nil {
			return nil, err
		}
		return c.launchConsensus(phaseJoining, false, nil)
	}
	c.log.Info("beginning a new cluster", "members", len(c.config.Members), "empty", len(emptyMembers(c.config, c.processID, reports)))
	if err := c.disk.setServerID(c.config.Self.Name); err != nil {
		return nil, err
	}
	return c.launchConsensus(phaseMember, true, emptyMembers(c.config, c.processID, reports))
}

// launchConsensus starts raft, open to the others at once.
func (c *Controller) launchConsensus(p phase, bootstrap bool, founders map[string]string) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftListener, c.views, c.log, bootstrap)
	if err != nil {
		return nil, err
	}
	running.stream.enabled.Store(true)
	c.consensus.Store(running)
	c.setParticipation(p, founders)
	return running, nil
}

func (c *Controller) setParticipation(p phase, founders map[string]string) {
	c.participation.Store(&participation{phase: p, serverID: c.disk.identity.ServerID, start: c.disk.identity.Start, founders: founders})
}

// resumeFromDisk starts raft on a disk that has a log. It serves what it has at once, and takes part once a majority of the
// controllers have answered and none of them knows of a later start: the disk could be an old copy.
func (c *Controller) resumeFromDisk(ctx context.Context) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftListener, c.views, c.log, false)
	if err != nil {
		return nil, err
	}
	c.consensus.Store(running)
	judgement := diskUndecided
	err = c.waitUntil(ctx, "a majority of the controllers must answer before this one takes part; it serves what it has", func() bool {
		judgement = judgeDisk(c.config, c.disk.identity, c.processID, c.peers.valid(time.Now()))
		return judgement != diskUndecided
	})
	switch {
	case err != nil:
		return nil, nil
	case judgement == diskStale:
		return c.replaceOldDisk(running)
	}
	running.stream.enabled.Store(true)
	return running, nil
}

// replaceOldDisk empties a disk that is an old copy: what it has voted for since is not known.
func (c *Controller) replaceOldDisk(running *consensus) (*consensus, error) {
	c.log.Warn("the folder is an old copy of this controller's disk: the others know of a later start; it is emptied, and the log copied from them")
	c.consensus.Store(nil)
	running.close()
	if err := c.disk.reset(); err != nil {
		return nil, err
	}
	if err := c.disk.setServerID(replacementServerID(c.config.Self.Name)); err != nil {
		return nil, err
	}
	raftPort, err := net.Listen("tcp", c.config.Self.Raft)
	if err != nil {
		return nil, &ListenError{c.config.Self.Raft, err}
	}
	c.raftListener = raftPort
	return c.launchConsensus(phaseJoining, false, nil)
}

// waitUntil looks again and again until done, and says now and then what it waits for.
func (c *Controller) waitUntil(ctx context.Context, what string, done func() bool) error {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for notice := time.Duration(0); !done(); notice -= monitorInterval {
		if notice <= 0 {
			c.log.Info("waiting: " + what)
			notice = waitLogInterval
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// monitor notes whether the controller is in touch with the leader, until ctx ends.
func (c *Controller) monitor(ctx context.Context, running *consensus) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		if c.views.setCurrent(running.isCurrent(time.Now())) {
			c.log.Info("in touch with the leader of a quorum", "current", c.views.load().current, "version", c.views.load().state.Version)
		}
		if joined := c.participation.Load(); joined.phase == phaseJoining && running.isVoter() {
			c.setParticipation(phaseMember, nil)
			c.log.Info("this controller is a member of the cluster again", "server", joined.serverID)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// prepareLeadership does a leader's work while the controller is one.
func (c *Controller) runLeader(ctx context.Context, running *consensus) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if running.isLeader() && !running.isReady() {
			running.prepareLeadership()
		}
		running.reconcile(c.peers.valid(time.Now()), c.processID)
		select {
		case <-tick.C:
		case <-running.leaderCh:
		case <-ctx.Done():
			return
		}
	}
}

// report is what this controller tells the others; server is the one whose last recorded start is asked for.
func (c *Controller) report(server string) memberReport {
	joined, now := c.participation.Load(), c.views.load()
	r := memberReport{Phase: joined.phase, ServerID: joined.serverID, Start: joined.start, ProcessID: c.processID, Founders: joined.founders}
	r.Load = configapi.Load{Name: c.config.Self.Name, Cluster: now.state.Cluster, Sessions: c.nodes.sessions(), Current: now.current}
	if running := c.consensus.Load(); running != nil {
		r.AppliedIndex = running.raft.AppliedIndex()
	}
	if known, ok := now.state.Starts[server]; ok {
		r.RecordedStart = &known
	}
	return r
}

// status is what this controller tells operators.
func (c *Controller) status() configapi.ControllerStatus {
	now := c.views.load()
	s := configapi.ControllerStatus{Name: c.config.Self.Name, Cluster: now.state.Cluster, Version: now.state.Version, Current: now.current,
		Sessions: c.nodes.sessions(), Nodes: c.nodes.list(time.Now()), Controllers: c.endpoints()}
	if running := c.consensus.Load(); running != nil {
		if leader, known := running.leader(); known {
			s.Leader = leader.Listen
		}
	}
	return s
}

func (c *Controller) endpoints() []configapi.Endpoint {
	var endpoints []configapi.Endpoint
	for _, member := range c.config.Members {
		endpoints = append(endpoints, member.Endpoint())
	}
	return endpoints
}

// String names the controller in logs.
func (c *Controller) String() string { return fmt.Sprintf("controller %s", c.config.Self.Name) }
