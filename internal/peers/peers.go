// Package peers connects the nodes of an installation. The memberlist library (SWIM with the Lifeguard extensions) detects
// failures and spreads messages. This package passes the library's reports to package membership, which makes the decisions
// without any I/O, and broadcasts that package's announcements to the other nodes. No request waits for this package:
// consumers read the View of a Cluster.
package peers

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/membership"
)

// deadNodeReclaimTime is how long after a node's failure memberlist refuses its name to a node at another address. A
// replacement must be able to use the name immediately; 0 would mean never.
const deadNodeReclaimTime = time.Millisecond

// Config describes a node and how it reaches its peers.
type Config struct {
	Name, Site       string
	Tree             membership.Tree
	Listen           string            // HOST:PORT, for packets and streams
	Seeds            []string          // HOST:PORT of nodes to join through
	KeyFile          string            // see ReadKeys
	Label            string            // of the installation; messages with another label are dropped
	AddressOverrides map[string]string // by the peer's address: the address to dial instead
	StartStore       StartStore
	Limits           membership.Limits // zero: membership.DefaultLimits
}

// StartStore stores the start number of a node.
type StartStore interface {
	// Next returns the stored number plus one, or 1 if none is stored, and stores it without waiting for the disk.
	Next() (uint64, error)
	// Save stores a number that was raised by a refutation.
	Save(start uint64) error
}

// Settings of memberlist's failure detector (SWIM). Shorter times detect a failure sooner, but cause more traffic, and live
// nodes are declared failed while a machine is busy.
const (
	probeInterval       = 250 * time.Millisecond // between two probes of a node
	probeTimeout        = 150 * time.Millisecond // wait for an answer before other nodes are asked to probe
	gossipInterval      = 100 * time.Millisecond // between two rounds of messages
	suspicionMultiplier = 4                      // a suspicion lasts at least suspicionMultiplier * log10(nodes) * probeInterval
	pushPullInterval    = 5 * time.Second        // between two exchanges of the complete state, which make up for lost messages
	gossipToDead        = 10 * time.Second       // how long messages are still sent to a failed node, so that it can refute
	joinTimeout         = 2 * time.Second        // for one exchange over TCP
)

// Intervals and bounds of this package itself.
const (
	reconcileInterval    = 100 * time.Millisecond // between two calls of reconcile, if no event triggers one earlier
	retransmitMultiplier = 3                      // each node sends a message retransmitMultiplier * log10(nodes) times
	maxQueued            = 2048                   // messages waiting to be sent
	maxReconnects        = 64                     // reconnect attempts waiting in the queue
)

// JoinError means that a node can't listen for its peers. Its text says what to change.
type JoinError struct {
	Listen string
	Err    error
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("peers: can't listen on %s: %v: choose an address of this machine that is free for TCP and UDP", e.Listen, e.Err)
}

// Unwrap returns why the node can't listen.
func (e *JoinError) Unwrap() error { return e.Err }

// Cluster is a node's membership in its installation, from Join to Close. Its methods may be called from any goroutine.
type Cluster struct {
	cfg       Config
	log       *slog.Logger
	started   time.Time
	transport *transport
	detector  *memberlist.Memberlist
	keyring   *memberlist.Keyring
	liveCount atomic.Int64 // number of entries in live, readable without mu

	mu           sync.Mutex
	members      *membership.Members
	live         map[string]liveNode               // by name: nodes that the failure detector considers alive, without this node
	reported     map[string]membership.Incarnation // by name: incarnations last reported to package membership as alive
	addresses    map[string]string                 // by name: last known address
	left         map[membership.Incarnation]bool   // incarnations that have announced that they leave
	lastSequence map[membership.Incarnation]uint64 // sequence number of the last message received
	sequence     uint64                            // of the last message sent
	queue        memberlist.TransmitLimitedQueue
	leaving      bool // the leave message is queued: no later message may replace it
	malformed    malformedCount
	changed      chan struct{} // closed and replaced at each change of the view

	reconcileNow chan struct{}
	reconnects   chan string // addresses of failed members to connect to
	stop         context.CancelFunc
	tasks        sync.WaitGroup
}

// Join starts to listen for peers and to connect to the seeds. It returns without waiting for them: the View shows which
// nodes have been found.
func Join(cfg Config, logger *slog.Logger) (*Cluster, error) {
	host, port, err := splitListen(cfg.Listen)
	if err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, err
	}
	if err := tryListen(cfg.Listen); err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	if cfg.Limits == (membership.Limits{}) {
		cfg.Limits = membership.DefaultLimits()
	}
	local := newIncarnation(cfg, logger)
	members, err := membership.New(local, cfg.Site, cfg.Tree, cfg.Limits, local.Nonce)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	c := &Cluster{
		cfg:          cfg,
		log:          logger,
		started:      time.Now(),
		members:      members,
		live:         map[string]liveNode{},
		reported:     map[string]membership.Incarnation{},
		addresses:    map[string]string{},
		left:         map[membership.Incarnation]bool{},
		lastSequence: map[membership.Incarnation]uint64{},
		changed:      make(chan struct{}),
		reconcileNow: make(chan struct{}, 1),
		reconnects:   make(chan string, maxReconnects),
	}
	c.queue = memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMultiplier, NumNodes: c.nodeCount}
	if err := c.startDetector(host, port, keys); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.tasks.Go(func() { c.run(ctx) })
	c.tasks.Go(func() { c.connect(ctx) })
	return c, nil
}

func splitListen(listen string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(listen)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// tryListen returns an error if the address can't be listened on. memberlist's own error does not tell whether the address
// is in use.
func tryListen(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return listener.Close()
}

// newIncarnation returns a new incarnation of the local node. If the stored start number can't be read, the incarnation may
// have a stale one. Peers that know a higher number then make the node raise its own.
func newIncarnation(cfg Config, logger *slog.Logger) membership.Incarnation {
	start, err := cfg.StartStore.Next()
	if err != nil {
		logger.Warn("start number not known; peers correct it if it is stale", "start", start, "err", err)
	}
	var nonce [8]byte
	rand.Read(nonce[:])
	return membership.Incarnation{Name: cfg.Name, Start: start, Nonce: binary.LittleEndian.Uint64(nonce[:])}
}

// startDetector starts memberlist.
func (c *Cluster) startDetector(host string, port int, keys [][]byte) error {
	quiet := log.New(io.Discard, "", 0) // the View has what an operator needs to know
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: quiet})
	if err != nil {
		return &JoinError{c.cfg.Listen, err}
	}
	c.transport = &transport{NetTransport: network, overrides: c.cfg.AddressOverrides}
	if c.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		network.Shutdown()
		return &KeyError{c.cfg.KeyFile, err}
	}
	if port == 0 {
		port = network.GetAutoBindPort()
	}
	lib := memberlist.DefaultLANConfig()
	lib.Name = c.cfg.Name
	lib.Label = c.cfg.Label
	lib.Transport = c.transport
	lib.Keyring = c.keyring
	lib.Logger = quiet
	lib.BindAddr = host
	lib.BindPort = port
	lib.AdvertiseAddr = host
	lib.AdvertisePort = port
	lib.ProbeInterval = probeInterval
	lib.ProbeTimeout = probeTimeout
	lib.GossipInterval = gossipInterval
	lib.SuspicionMult = suspicionMultiplier
	lib.PushPullInterval = pushPullInterval
	lib.GossipToTheDeadTime = gossipToDead
	lib.TCPTimeout = joinTimeout
	lib.DeadNodeReclaimTime = deadNodeReclaimTime
	lib.Delegate = delegate{c}
	lib.Events = eventDelegate{c}
	lib.Conflict = conflictDelegate{c}
	if c.detector, err = memberlist.Create(lib); err != nil {
		network.Shutdown()
		return &JoinError{c.cfg.Listen, err}
	}
	return nil
}

// Addr returns the address on which this node listens for its peers.
func (c *Cluster) Addr() string { return c.detector.LocalNode().Address() }

// Leave announces that this node leaves, so that the other nodes do not suspect it. It waits at most half of the given time
// until the announcement is sent, and then at most the given time until memberlist has left. After an error, the other nodes
// may declare this node failed.
func (c *Cluster) Leave(within time.Duration) error {
	sent := c.enqueueLeaveMessage()
	select { // the message is sent with the next rounds of gossip
	case <-sent:
	case <-time.After(within / 2):
	}
	if err := c.detector.Leave(within); err != nil {
		return fmt.Errorf("peers: leaving was not confirmed, other nodes may declare this node failed: %w", err)
	}
	return nil
}

// Close ends the membership without announcing it.
func (c *Cluster) Close() {
	c.stop()
	c.detector.Shutdown()
	c.tasks.Wait()
}
