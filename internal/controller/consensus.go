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

// Raft settings.
const (
	// commitInterval is how long an otherwise idle leader waits before it sends followers the commit index. Followers
	// apply a version, and send it to their nodes, only after they have received that index.
	commitInterval = 50 * time.Millisecond
	// appendBatch is the maximum number of log entries in one message. Each entry may be as large as
	// configapi.MaxDocumentBytes.
	appendBatch = 8
	// trailingLogs is the number of entries that stay in the log after a snapshot, for followers that lag: sending
	// these entries is cheaper than sending a snapshot of all services.
	trailingLogs = 256
	// snapshotEntries is the number of log entries after which raft takes a snapshot on its own, apart from
	// snapshotOnChange. It bounds the log that a restart has to replay.
	snapshotEntries = 128
	// snapshotInterval is how often raft checks snapshotEntries.
	snapshotInterval = 20 * time.Second
	// leaderChangeBuffer is how many leadership changes may be queued for runLeaderTasks, which also checks the
	// leadership periodically.
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
	// raftForCallbacks has the same value as raft, for shouldReplicateTo: the goroutines of raft may call it before
	// startConsensus has set raft. It is nil until then.
	raftForCallbacks atomic.Pointer[raft.Raft]
	// readyTerm is the last term in which this controller, as the leader, has applied all entries committed before that
	// term. It is 0 if there is none.
	readyTerm     atomic.Uint64
	leaderChanges <-chan bool
	publishSlot   chan struct{} // held by the publish request that is being proposed
}

// bootstrapMode says whether raft begins a new cluster on the disk.
type bootstrapMode bool

const (
	bootstrapNone bootstrapMode = false // the disk has a log, or the log is copied from the leader
	bootstrapNew  bootstrapMode = true  // the disk is empty; see decideEmptyDiskStart
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
			return nil, &ConsensusError{"creating a new cluster failed", err}
		}
	}
	server, err := raft.NewRaft(options, newFSM(views), d.logs, d.bolt, d.snapshots, transport)
	if err != nil {
		_ = transport.Close()
		return nil, &ConsensusError{"starting raft failed", err}
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

// bootstrapConfiguration returns the raft configuration of a new cluster. It is the same at each member.
func bootstrapConfiguration(config Config) raft.Configuration {
	var servers []raft.Server
	for _, member := range config.Members {
		servers = append(servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(member.Name), Address: configurationAddress(member)})
	}
	return raft.Configuration{Servers: servers}
}

// configurationAddress returns the address of a controller in the raft configuration, which is part of the log: its
// name. Network addresses are in the settings of each controller. They may differ between controllers, for example
// where a proxy connects two of them; the log must not.
func configurationAddress(member Member) raft.ServerAddress { return raft.ServerAddress(member.Name) }

// serverIDSeparator separates the controller's name from a random suffix in the server ID of a replaced disk.
const serverIDSeparator = "/"

// serverIDSuffixLength is the length of that suffix: long enough that no two replaced disks get the same one.
const serverIDSuffixLength = 12

// controllerName returns the name of the controller that a raft server ID belongs to.
func controllerName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), serverIDSeparator)
	return name
}

// replacementServerID returns a new random raft server ID for a controller whose disk was lost or is an old copy.
func replacementServerID(name string) string {
	return name + serverIDSeparator + randomText()[:serverIDSuffixLength]
}

// shouldReplicateTo reports whether this controller is the leader in a term and a server is a member of its cluster.
// Failed attempts to send log entries to the server are retried only then.
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

// raftServers returns the servers in the latest raft configuration.
func raftServers(raftServer *raft.Raft) ([]raft.Server, error) {
	future := raftServer.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// ServerAddr returns the address of a raft server from the settings. Its error is an UnknownControllerError.
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
