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
	headerTimeout = 5 * time.Second  // for a request's header
	bodyTimeout   = 10 * time.Second // for a request's body
	replyTimeout  = 10 * time.Second // for an answer that is not a watch
	idleTimeout   = 60 * time.Second // of a connection without a request
	writeTimeout  = 3 * time.Second  // of one write to a watch: a node that takes none is dropped
	maxHeader     = 16 << 10         // bytes

	// extraConnections are those beside the nodes' watches and acknowledgements: operators, other controllers.
	extraConnections = 256
	// movesPerSecond is how many sessions a controller hands on to others, at most.
	movesPerSecond = 20
	// monitorInterval is how often a controller looks whether it is in touch with the leader.
	monitorInterval = 50 * time.Millisecond
	// patience is how long an empty controller waits for all others to answer, before it begins a cluster with a
	// majority of them.
	patience = 3 * time.Second
	// waitNotice is how often a controller that can't take part yet says so.
	waitNotice = 10 * time.Second
	// drainTimeout is how long a controller that ends waits for its nodes to move.
	drainTimeout = 2 * time.Second
)

// Controller is a running controller.
type Controller struct {
	config  Config
	log     *slog.Logger
	process string // drawn at random, to tell two processes on one disk apart
	hub     *hub
	nodes   *nodeTable
	peers   *peers

	disk     *disk
	listener net.Listener
	raftPort net.Listener
	server   *http.Server

	consensus atomic.Pointer[consensus]
	joined    atomic.Pointer[membership]
	tasks     sync.WaitGroup
}

// membership is how a controller takes part, for its reports.
type membership struct {
	phase    phase
	server   string
	start    uint64
	founders map[string]string
}

// New opens a controller's folder and its addresses.
func New(config Config, log *slog.Logger) (*Controller, error) {
	c := &Controller{config: config, log: log.With("controller", config.Self.Name), process: randomText(), hub: newHub(), peers: newPeers(config)}
	movesPerPoll := int(movesPerSecond * pollInterval / time.Second)
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
	if err := c.setFirstPhase(); err != nil {
		c.closeAll()
		return nil, err
	}
	c.server = &http.Server{Handler: c.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)}
	return c, nil
}

func (c *Controller) listen() error {
	options := net.ListenConfig{Control: controlSocket}
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
	c.raftPort = raftPort
	return nil
}

// setFirstPhase says how the disk takes part, as far as the disk can tell.
func (c *Controller) setFirstPhase() error {
	used, err := c.disk.hasState()
	if err != nil {
		return &FolderError{c.config.Folder, "empty the folder, and the controller copies the state from the others", err}
	}
	switch server := c.disk.identity.Server; {
	case used:
		c.join(phaseMember, nil)
	case server != "" && server != c.config.Self.Name:
		c.join(phaseJoining, nil)
	default:
		c.join(phaseEmpty, nil)
	}
	return nil
}

// closeAll gives back what New has opened.
func (c *Controller) closeAll() {
	_ = c.listener.Close()
	_ = c.raftPort.Close()
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
		if err := c.takePart(work); err != nil {
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
		running.handOver()
	}
	c.nodes.drain(time.Now())
	c.awaitSessions()
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
		_ = c.raftPort.Close()
	}
	if err := c.disk.close(); err != nil {
		c.log.Warn("the log was not closed as it should be", "err", err)
	}
	c.peers.client.CloseIdleConnections()
	c.log.Info("ended")
}

// awaitSessions waits a bounded time for the nodes to move.
func (c *Controller) awaitSessions() {
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
		c.peers.poll(ctx, c.joined.Load().server)
		now := time.Now()
		moved := c.nodes.setPeers(c.peers.loads(now, c.hub.view().current), now)
		if moved > 0 {
			c.log.Info("sessions asked to move to controllers with fewer", "moved", moved, "sessions", c.nodes.sessions())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// takePart finds out how this controller takes part in the cluster, runs raft, and watches over it.
func (c *Controller) takePart(ctx context.Context) error {
	running, err := c.startRaft(ctx)
	if err != nil || running == nil {
		return err
	}
	c.tasks.Go(func() { running.keepSnapshots(ctx.Done()) })
	c.tasks.Go(func() { c.lead(ctx, running) })
	c.monitor(ctx, running)
	return nil
}

// startRaft starts raft in the way that the disk allows. It returns nil when the controller ends before.
func (c *Controller) startRaft(ctx context.Context) (*consensus, error) {
	switch c.joined.Load().phase {
	case phaseMember:
		return c.resume(ctx)
	case phaseJoining:
		return c.begin(phaseJoining, false, nil)
	}
	return c.startEmpty(ctx)
}

// startEmpty waits until it is clear how an empty disk takes part.
func (c *Controller) startEmpty(ctx context.Context) (*consensus, error) {
	began := time.Now()
	decision := decideWait
	var reports map[string]memberReport
	err := c.await(ctx, "the folder is empty, and a majority of the controllers must answer before a cluster can begin", func() bool {
		reports = c.peers.fresh(time.Now())
		decision = decideStart(c.config, c.process, reports, time.Since(began) < patience)
		return decision != decideWait
	})
	switch {
	case err != nil:
		return nil, nil
	case decision == decideJoin:
		c.log.Info("the folder is empty, and others have a log: this controller joins with a new server ID and copies it")
		if err := c.disk.chooseServer(replacementServer(c.config.Self.Name)); err != nil {
			return nil, err
		}
		return c.begin(phaseJoining, false, nil)
	}
	c.log.Info("beginning a new cluster", "members", len(c.config.Members), "empty", len(founders(c.config, c.process, reports)))
	if err := c.disk.chooseServer(c.config.Self.Name); err != nil {
		return nil, err
	}
	return c.begin(phaseMember, true, founders(c.config, c.process, reports))
}

// begin starts raft, open to the others at once.
func (c *Controller) begin(p phase, bootstrap bool, founders map[string]string) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftPort, c.hub, c.log, bootstrap)
	if err != nil {
		return nil, err
	}
	running.stream.open.Store(true)
	c.consensus.Store(running)
	c.join(p, founders)
	return running, nil
}

func (c *Controller) join(p phase, founders map[string]string) {
	c.joined.Store(&membership{phase: p, server: c.disk.identity.Server, start: c.disk.identity.Start, founders: founders})
}

// resume starts raft on a disk that has a log. It serves what it has at once, and takes part once a majority of the
// controllers have answered and none of them knows of a later start: the disk could be an old copy.
func (c *Controller) resume(ctx context.Context) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftPort, c.hub, c.log, false)
	if err != nil {
		return nil, err
	}
	c.consensus.Store(running)
	judgement := judgeWait
	err = c.await(ctx, "a majority of the controllers must answer before this one takes part; it serves what it has", func() bool {
		judgement = judgeDisk(c.config, c.disk.identity, c.process, c.peers.fresh(time.Now()))
		return judgement != judgeWait
	})
	switch {
	case err != nil:
		return nil, nil
	case judgement == judgeOld:
		return c.replaceOldDisk(running)
	}
	running.stream.open.Store(true)
	return running, nil
}

// replaceOldDisk empties a disk that is an old copy: what it has voted for since is not known.
func (c *Controller) replaceOldDisk(running *consensus) (*consensus, error) {
	c.log.Warn("the folder is an old copy of this controller's disk: the others know of a later start; it is emptied, and the log copied from them")
	c.consensus.Store(nil)
	running.close()
	if err := c.disk.wipe(); err != nil {
		return nil, err
	}
	if err := c.disk.chooseServer(replacementServer(c.config.Self.Name)); err != nil {
		return nil, err
	}
	raftPort, err := net.Listen("tcp", c.config.Self.Raft)
	if err != nil {
		return nil, &ListenError{c.config.Self.Raft, err}
	}
	c.raftPort = raftPort
	return c.begin(phaseJoining, false, nil)
}

// await looks again and again until done, and says now and then what it waits for.
func (c *Controller) await(ctx context.Context, what string, done func() bool) error {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for notice := time.Duration(0); !done(); notice -= monitorInterval {
		if notice <= 0 {
			c.log.Info("waiting: " + what)
			notice = waitNotice
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
		if c.hub.setCurrent(running.current(time.Now())) {
			c.log.Info("in touch with the leader of a quorum", "current", c.hub.view().current, "version", c.hub.view().state.Version)
		}
		if joined := c.joined.Load(); joined.phase == phaseJoining && running.isVoter() {
			c.join(phaseMember, nil)
			c.log.Info("this controller is a member of the cluster again", "server", joined.server)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// lead does a leader's work while the controller is one.
func (c *Controller) lead(ctx context.Context, running *consensus) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if running.leads() && !running.isReady() {
			running.lead()
		}
		running.reconcile(c.peers.fresh(time.Now()), c.process)
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
	joined, now := c.joined.Load(), c.hub.view()
	r := memberReport{Phase: joined.phase, Server: joined.server, Start: joined.start, Process: c.process, Founders: joined.founders}
	r.Load = configapi.Load{Name: c.config.Self.Name, Cluster: now.state.Cluster, Sessions: c.nodes.sessions(), Current: now.current}
	if running := c.consensus.Load(); running != nil {
		r.Applied = running.raft.AppliedIndex()
	}
	if known, ok := now.state.Starts[server]; ok {
		r.Known = &known
	}
	return r
}

// status is what this controller tells operators.
func (c *Controller) status() configapi.ControllerStatus {
	now := c.hub.view()
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
