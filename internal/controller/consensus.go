package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// commitInterval is how often a leader tells followers up to where the log is committed, when nothing else does.
	commitInterval = 50 * time.Millisecond
	// appendBatch is the number of log entries in one message; each may have configapi.MaxDocumentBytes bytes.
	appendBatch = 8
	// trailingLogs is the number of entries that stay in the log behind a snapshot, for followers that lag.
	trailingLogs = 256
	// snapshotEntries is the number of entries after which raft takes a snapshot by itself.
	snapshotEntries  = 128
	snapshotInterval = 20 * time.Second

	// leaderContactTimeout is how long ago a follower may have heard the leader to call itself current.
	leaderContactTimeout = time.Second
	// enqueueTimeout is how long a command waits for the leader's loop to take it.
	enqueueTimeout = time.Second
	// commitTimeout is how long a publish waits for a quorum, before its result is called unknown.
	commitTimeout = 5 * time.Second
	// changeTimeout is how long a change of the cluster's members may take.
	changeTimeout = 5 * time.Second
)

// consensus is a running raft server.
type consensus struct {
	config Config
	log    *slog.Logger
	views  *viewStore
	disk   *disk
	stream *raftStream
	raft   *raft.Raft
	// started is raft, too, for its own goroutines, which run before raft is set.
	started atomic.Pointer[raft.Raft]
	// readyTerm is the term in which this controller leads and has applied all that was committed before; 0: none.
	readyTerm   atomic.Uint64
	leaderCh    <-chan bool
	publishSlot chan struct{} // a place for one publish at a time
}

// bootstrapConfiguration is the raft configuration with which a new cluster begins, the same at each of its members.
func bootstrapConfiguration(config Config) raft.Configuration {
	var servers []raft.Server
	for _, member := range config.Members {
		servers = append(servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(member.Name), Address: logAddress(member)})
	}
	return raft.Configuration{Servers: servers}
}

// logAddress is a controller's address in the log: its name. Where it is reached is in each controller's settings, which
// may differ, as where a proxy stands between two of them; what is in the log must not.
func logAddress(member Member) raft.ServerAddress { return raft.ServerAddress(member.Name) }

// controllerOf is the name of the controller that has a raft server ID.
func controllerOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// replacementServerID draws the raft server ID of a controller whose disk was lost.
func replacementServerID(name string) string { return name + "/" + randomText()[:12] }

// startConsensus starts raft on a disk whose server ID is chosen. bootstrap: the disk begins a new cluster.
func startConsensus(config Config, d *disk, listener net.Listener, h *viewStore, log *slog.Logger, bootstrap bool) (*consensus, error) {
	c := &consensus{config: config, log: log, views: h, disk: d, publishSlot: make(chan struct{}, 1)}
	c.stream = newRaftStream(listener, config.Self.Name, d.identity.ServerID, func() configapi.Cluster { return h.load().state.Cluster })
	logger := raftLogger(log)
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: c.stream, MaxPool: raftIdleConnections, Timeout: raftMessageTimeout,
		Logger: logger, ServerAddressProvider: c})
	transport := &retryingTransport{NetworkTransport: network, shouldRetry: c.replicatesTo, closing: c.stream.closing}
	options := raftOptions(config, d.identity.ServerID)
	options.Logger = logger
	changes := make(chan bool, 16)
	options.NotifyCh = changes
	c.leaderCh = changes
	if bootstrap {
		if err := raft.BootstrapCluster(options, d.logs, d.bolt, d.snapshots, transport, bootstrapConfiguration(config)); err != nil {
			_ = transport.Close()
			return nil, fmt.Errorf("controller: a new cluster can't begin: %w", err)
		}
	}
	server, err := raft.NewRaft(options, newFSM(h), d.logs, d.bolt, d.snapshots, transport)
	if err != nil {
		_ = transport.Close()
		return nil, fmt.Errorf("controller: raft can't start: %w", err)
	}
	c.raft = server
	c.started.Store(server)
	return c, nil
}

// replicatesTo says whether this server leads in a term and a server is a member of its cluster.
func (c *consensus) replicatesTo(server raft.ServerID, term uint64) bool {
	running := c.started.Load()
	if running == nil || running.State() != raft.Leader || running.CurrentTerm() != term {
		return false
	}
	configuration := running.GetConfiguration()
	if configuration.Error() != nil {
		return false
	}
	return slices.ContainsFunc(configuration.Configuration().Servers, func(member raft.Server) bool { return member.ID == server })
}

func raftOptions(config Config, server string) *raft.Config {
	options := raft.DefaultConfig()
	options.LocalID = raft.ServerID(server)
	options.HeartbeatTimeout = config.ElectionTimeout
	options.ElectionTimeout = config.ElectionTimeout
	options.LeaderLeaseTimeout = config.LeaderLease
	options.CommitTimeout = commitInterval
	options.MaxAppendEntries = appendBatch
	options.TrailingLogs = trailingLogs
	options.SnapshotThreshold = snapshotEntries
	options.SnapshotInterval = snapshotInterval
	options.ShutdownOnRemove = false
	options.NoLegacyTelemetry = true
	return options
}

// ServerAddr finds the address of a raft server in the settings.
func (c *consensus) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	member, ok := c.config.member(controllerOf(id))
	if !ok {
		return "", fmt.Errorf("no controller %s in the settings", controllerOf(id))
	}
	return serverAddress(member.Raft, string(id)), nil
}

// leader is the controller that leads, as far as this one knows.
func (c *consensus) leader() (Member, bool) {
	_, id := c.raft.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return c.config.member(controllerOf(id))
}

func (c *consensus) isLeader() bool { return c.raft.State() == raft.Leader }

// isCurrent says whether the controller is in touch with the leader of a quorum. A leader steps down by itself when its
// lease ends.
func (c *consensus) isCurrent(now time.Time) bool {
	if c.views.load().state.Cluster == "" {
		return false
	}
	if c.isLeader() {
		return true
	}
	_, known := c.leader()
	return known && now.Sub(c.raft.LastContact()) < leaderContactTimeout
}

// prepareLeadership prepares a leader that was just elected: it applies what was committed before, and gives a new cluster its
// identity.
func (c *consensus) prepareLeadership() {
	term := c.raft.CurrentTerm()
	if err := c.raft.Barrier(commitTimeout).Error(); err != nil {
		c.log.Warn("leadership lost again before the log was applied", "err", err)
		return
	}
	if c.views.load().state.Cluster == "" {
		identity := configapi.Cluster(randomText())
		if _, err := c.propose(command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{identity}}); err != nil {
			c.log.Warn("the new cluster has no identity yet", "err", err)
			return
		}
		c.log.Info("a new cluster has begun", "cluster", c.views.load().state.Cluster)
	}
	if c.isLeader() && c.raft.CurrentTerm() == term {
		c.readyTerm.Store(term)
		c.log.Info("leading", "term", term, "version", c.views.load().state.Version)
	}
}

// isReady says whether this controller leads and knows all that was committed before.
func (c *consensus) isReady() bool {
	term := c.readyTerm.Load()
	return term != 0 && c.isLeader() && c.raft.CurrentTerm() == term
}

// propose has a command written to the log by a quorum and applied here.
func (c *consensus) propose(proposal command) (commandResult, error) {
	text, err := json.Marshal(proposal)
	if err != nil {
		return commandResult{}, err
	}
	future := c.raft.Apply(text, enqueueTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	timer := time.NewTimer(commitTimeout)
	defer timer.Stop()
	select {
	case err = <-done:
	case <-timer.C:
		return commandResult{}, errCommitTimeout
	}
	if err != nil {
		return commandResult{}, err
	}
	result, ok := future.Response().(commandResult)
	if !ok {
		return commandResult{}, fmt.Errorf("controller: the log answered %T", future.Response())
	}
	return result, nil
}

// errCommitTimeout says that no quorum has answered yet.
var errCommitTimeout = errors.New("no quorum has written it yet")

// publish adds a version, or says why not. With ErrorOutcomeUnknown it may still come into force.
func (c *consensus) publish(publish publishCommand, done <-chan struct{}) (configapi.PublishReply, *configapi.Error) {
	select {
	case c.publishSlot <- struct{}{}:
		defer func() { <-c.publishSlot }()
	case <-done:
		return configapi.PublishReply{}, &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: "other publish requests take too long: nothing was taken, repeat it"}
	}
	if err := c.checkLeadership(); err != nil {
		return configapi.PublishReply{}, err
	}
	publish.TimeMS = time.Now().UnixMilli()
	now := c.views.load().state
	if reply, err := now.earlierReply(publish); reply.Version != 0 || err != nil {
		return reply, err
	}
	if err := now.checkRate(publish.TimeMS); err != nil {
		return configapi.PublishReply{}, err
	}
	result, err := c.propose(command{Kind: commandPublish, Publish: &publish})
	if err != nil {
		return configapi.PublishReply{}, c.publishError(err, publish.ID)
	}
	return result.Reply, result.Err
}

// checkLeadership says where to publish, if not here.
func (c *consensus) checkLeadership() *configapi.Error {
	switch leader, known := c.leader(); {
	case c.isReady():
		return nil
	case c.isLeader():
		return &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: "this controller was just elected and reads its log: nothing was taken, repeat it"}
	case known && leader.Name != c.config.Self.Name && time.Since(c.raft.LastContact()) < leaderContactTimeout:
		return &configapi.Error{Kind: configapi.ErrorNotLeader, Message: "the leader is controller " + leader.Name, Leader: leader.Listen}
	}
	return &configapi.Error{Kind: configapi.ErrorNoQuorum,
		Message: "no leader is known here: a majority of the controllers must run and reach each other; nothing was taken"}
}

// publishError tells what was certainly not taken from what may have been.
func (c *consensus) publishError(err error, id string) *configapi.Error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: fmt.Sprintf("%v: nothing was taken, repeat it", err)}
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("%v: the version may or may not come into force: repeat the request with the same ID, %s", err, id)}
}

// close stops raft and its listener.
func (c *consensus) close() {
	if err := c.raft.Shutdown().Error(); err != nil {
		c.log.Warn("raft did not stop as it should", "err", err)
	}
}

// transferLeadership gives the leadership to another controller, if this one leads and there is another.
func (c *consensus) transferLeadership() {
	if !c.isLeader() || len(c.config.Members) < 2 {
		return
	}
	if err := c.raft.LeadershipTransfer().Error(); err != nil {
		c.log.Warn("the leadership was not handed over; the others elect a leader", "err", err)
	}
}

// isVoter says whether this server is a voter, as far as it knows.
func (c *consensus) isVoter() bool {
	configuration := c.raft.GetConfiguration()
	if configuration.Error() != nil {
		return false
	}
	for _, server := range configuration.Configuration().Servers {
		if server.ID == raft.ServerID(c.disk.identity.ServerID) {
			return server.Suffrage == raft.Voter
		}
	}
	return false
}
