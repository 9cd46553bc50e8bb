package controller

import (
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Settings of raft, in its own terms.
const (
	// commitInterval is how soon a leader tells followers the commit index when it sends them nothing else: followers
	// apply a version, and send it to their nodes, only then.
	commitInterval = 50 * time.Millisecond
	// appendBatch is the number of log entries in one message; each may have configapi.MaxDocumentBytes.
	appendBatch = 8
	// trailingLogs is the number of entries that stay in the log behind a snapshot, for followers that lag: copying
	// them is cheaper than a snapshot of all services.
	trailingLogs = 256
	// snapshotEntries is the number of entries after which raft takes a snapshot by itself. It bounds the log that a
	// restart has to replay.
	snapshotEntries = 128
	// snapshotInterval is how often raft checks snapshotEntries.
	snapshotInterval = 20 * time.Second
	// leaderChangeBuffer is how many changes of the leadership may wait for runLeader, which also looks by itself.
	leaderChangeBuffer = 16
)

// consensus is a running raft server.
type consensus struct {
	config Config
	log    *slog.Logger
	views  *viewStore
	disk   *disk
	stream *raftStream
	raft   *raft.Raft
	// raftForCallbacks is raft once more, for replicatesTo: raft calls it from goroutines of its own, which run before
	// startConsensus has set raft. nil until then.
	raftForCallbacks atomic.Pointer[raft.Raft]
	// readyTerm is the term in which this controller leads and has applied all that was committed before; 0: none.
	readyTerm     atomic.Uint64
	leaderChanges <-chan bool
	publishSlot   chan struct{} // held by the publish request that is being proposed
}

// bootstrapMode is whether a disk begins a new cluster.
type bootstrapMode bool

const (
	bootstrapNone bootstrapMode = false // the disk has a log, or copies it from the leader
	bootstrapNew  bootstrapMode = true  // the disk is empty, and so is a majority of the others
)

// startConsensus starts raft on a disk whose server ID is set.
func startConsensus(config Config, d *disk, listener net.Listener, views *viewStore, log *slog.Logger, bootstrap bootstrapMode) (*consensus, error) {
	c := &consensus{config: config, log: log, views: views, disk: d, publishSlot: make(chan struct{}, 1)}
	cluster := func() configapi.Cluster { return views.load().state.Cluster }
	c.stream = newRaftStream(listener, config.Self.Name, d.identity.ServerID, cluster)
	logger := raftLogger(log)
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:                c.stream,
		MaxPool:               raftIdleConnections,
		Timeout:               raftMessageTimeout,
		Logger:                logger,
		ServerAddressProvider: c,
	})
	transport := &retryingTransport{NetworkTransport: network, shouldRetry: c.shouldReplicateTo, closing: c.stream.closing}
	leaderChanges := make(chan bool, leaderChangeBuffer)
	c.leaderChanges = leaderChanges
	options := newRaftConfig(config, d.identity.ServerID)
	options.Logger = logger
	options.NotifyCh = leaderChanges
	if bootstrap == bootstrapNew {
		if err := raft.BootstrapCluster(options, d.logs, d.bolt, d.snapshots, transport, bootstrapConfiguration(config)); err != nil {
			_ = transport.Close()
			return nil, &ConsensusError{"a new cluster can't begin", err}
		}
	}
	server, err := raft.NewRaft(options, newFSM(views), d.logs, d.bolt, d.snapshots, transport)
	if err != nil {
		_ = transport.Close()
		return nil, &ConsensusError{"raft can't start", err}
	}
	c.raft = server
	c.raftForCallbacks.Store(server)
	return c, nil
}

func newRaftConfig(config Config, serverID string) *raft.Config {
	options := raft.DefaultConfig()
	options.LocalID = raft.ServerID(serverID)
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

// bootstrapConfiguration is the raft configuration with which a new cluster begins, the same at each of its members.
func bootstrapConfiguration(config Config) raft.Configuration {
	var servers []raft.Server
	for _, member := range config.Members {
		servers = append(servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(member.Name), Address: configurationAddress(member)})
	}
	return raft.Configuration{Servers: servers}
}

// configurationAddress is a controller's address in the log: its name. Where it is reached is in each controller's settings,
// which may differ, as where a proxy stands between two of them; what is in the log must not.
func configurationAddress(member Member) raft.ServerAddress { return raft.ServerAddress(member.Name) }

// serverIDSeparator stands between the controller's name and a random text in the server ID of a replaced disk.
const serverIDSeparator = "/"

// serverIDSuffixLength is the length of that random text: long enough that no two replaced disks draw the same.
const serverIDSuffixLength = 12

// controllerName is the name of the controller that has a raft server ID.
func controllerName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), serverIDSeparator)
	return name
}

// replacementServerID draws the raft server ID of a controller whose disk was lost or is an old copy.
func replacementServerID(name string) string {
	return name + serverIDSeparator + randomText()[:serverIDSuffixLength]
}

// shouldReplicateTo reports whether this server leads in a term and a server is a member of its cluster: only then are log
// entries worth another attempt.
func (c *consensus) shouldReplicateTo(server raft.ServerID, term uint64) bool {
	raftServer := c.raftForCallbacks.Load()
	if raftServer == nil || raftServer.State() != raft.Leader || raftServer.CurrentTerm() != term {
		return false
	}
	servers, err := raftServers(raftServer)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(servers, func(member raft.Server) bool { return member.ID == server })
}

// raftServers are the servers of raft's newest configuration.
func raftServers(raftServer *raft.Raft) ([]raft.Server, error) {
	future := raftServer.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// ServerAddr finds the address of a raft server in the settings. Its error is an UnknownControllerError.
func (c *consensus) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	name := controllerName(id)
	member, ok := c.config.member(name)
	if !ok {
		return "", &UnknownControllerError{name}
	}
	return dialAddress(member.Raft, string(id)), nil
}

// isVoter reports whether this server is a voter, as far as it knows.
func (c *consensus) isVoter() bool {
	servers, err := raftServers(c.raft)
	if err != nil {
		return false
	}
	self := raft.ServerID(c.disk.identity.ServerID)
	return slices.ContainsFunc(servers, func(server raft.Server) bool {
		return server.ID == self && server.Suffrage == raft.Voter
	})
}

// close stops raft and closes its listener.
func (c *consensus) close() {
	if err := c.raft.Shutdown().Error(); err != nil {
		c.log.Warn("raft did not stop cleanly", "err", err)
	}
}
