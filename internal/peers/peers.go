// Package peers connects the nodes of an installation. The memberlist library detects failures and spreads messages (SWIM
// with Lifeguard's extensions); this package passes what it reports to the pure package membership, and broadcasts that
// package's announcements to the other nodes. It decides nothing itself, and no request waits for it: consumers read a
// Cluster's View.
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

// deadNodeReclaimTime is how long memberlist keeps the name of a dead node from a node at another address. A node that is
// replaced must get its name back at once, and 0 would mean never.
const deadNodeReclaimTime = time.Millisecond

// Config describes a node and how it reaches its peers.
type Config struct {
	Name, Site       string
	Tree             membership.Tree
	Listen           string            // HOST:PORT, for packets and streams
	Seeds            []string          // HOST:PORT of nodes to join through
	KeyFile          string            // see ReadKeys
	Label            string            // of the installation: messages with another one are dropped
	AddressOverrides map[string]string // by peer's address: where it is dialed instead
	StartStore       StartStore
	Limits           membership.Limits // zero: membership.DefaultLimits
}

// StartStore keeps the start number of a node.
type StartStore interface {
	// Next returns the stored number plus one, or 1 without one, and stores it without waiting for the disk.
	Next() (uint64, error)
	// Save stores a number that a refutation raised.
	Save(start uint64) error
}

// Settings of memberlist's failure detector (SWIM). Shorter ones detect a failure sooner, cost more traffic, and call live
// nodes failed while a machine is busy.
const (
	probeInterval       = 250 * time.Millisecond // between two probes of a node
	probeTimeout        = 150 * time.Millisecond // for an answer, before others are asked to probe
	gossipInterval      = 100 * time.Millisecond // between two rounds of messages
	suspicionMultiplier = 4                      // a suspicion lasts at least this times log10 of the nodes times probeInterval
	pushPullInterval    = 5 * time.Second        // between two exchanges of the complete state, which make up for lost messages
	gossipToDead        = 10 * time.Second       // how long a failed node is still sent messages, so that it can refute
	joinTimeout         = 2 * time.Second        // of one exchange over TCP
)

// Intervals and bounds of this package's own work.
const (
	reconcileInterval    = 100 * time.Millisecond // between two steps of package membership without an event
	retransmitMultiplier = 3                      // a message is sent on this often, times log10 of the nodes
	maxQueued            = 2048                   // messages that wait to be sent
	maxReconnects        = 64                     // that wait in the queue
)

// JoinError says that a node could not listen for its peers; its text says what to change.
type JoinError struct {
	Listen string
	Err    error
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("peers: can't listen at %s: %v: name an address of this machine that nobody uses, for TCP and UDP", e.Listen, e.Err)
}
func (e *JoinError) Unwrap() error { return e.Err }

// Cluster is a node's membership in its installation, from Join to Close. Its methods may be called from any goroutine.
type Cluster struct {
	cfg       Config
	log       *slog.Logger
	started   time.Time
	transport *transport
	detector  *memberlist.Memberlist
	keyring   *memberlist.Keyring
	liveCount atomic.Int64 // of live

	mu           sync.Mutex
	members      *membership.Members
	live         map[string]liveNode               // by name, as the failure detector has them, without this node
	reported     map[string]membership.Incarnation // by name, as package membership was notified last
	addresses    map[string]string                 // by name, last known
	left         map[membership.Incarnation]bool   // that announced that they leave
	lastSequence map[membership.Incarnation]uint64 // of the messages received
	sequence     uint64                            // of the messages sent
	queue        memberlist.TransmitLimitedQueue
	leaving      bool // the farewell is queued: no message may replace it
	malformed    malformedCount
	changed      chan struct{} // closed and replaced at each change of the view

	reconcileNow chan struct{}
	reconnects   chan string // addresses
	stop         context.CancelFunc
	tasks        sync.WaitGroup
}

// Join begins to listen and to look for the seeds. It returns at once; the View shows who has been found.
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

// tryListen returns why an address can't be listened on. memberlist's own error does not say that one is in use.
func tryListen(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return listener.Close()
}

// newIncarnation returns a new incarnation of the local node. If its start number can't be read, it claims one that may be
// stale: peers that know a higher one make it refute that.
func newIncarnation(cfg Config, logger *slog.Logger) membership.Incarnation {
	start, err := cfg.StartStore.Next()
	if err != nil {
		logger.Warn("peers: the number of this start is not known", "err", err)
	}
	var nonce [8]byte
	rand.Read(nonce[:])
	return membership.Incarnation{Name: cfg.Name, Start: start, Nonce: binary.LittleEndian.Uint64(nonce[:])}
}

// startDetector starts memberlist.
func (c *Cluster) startDetector(host string, port int, keys [][]byte) error {
	quiet := log.New(io.Discard, "", 0) // what an operator needs of memberlist's log is in the view
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

// Addr is where this node listens for its peers.
func (c *Cluster) Addr() string { return c.detector.LocalNode().Address() }

// Leave announces that this node leaves, so that the others do not suspect it, and waits at most for the given time. After
// an error the others may call this node failed.
func (c *Cluster) Leave(within time.Duration) error {
	sent := c.enqueueLeaveMessage()
	select { // it is sent with the next rounds of gossip
	case <-sent:
	case <-time.After(within / 2):
	}
	if err := c.detector.Leave(within); err != nil {
		return fmt.Errorf("peers: the others may take this node for failed: %w", err)
	}
	return nil
}

// Close ends the membership without an announcement.
func (c *Cluster) Close() {
	c.stop()
	c.detector.Shutdown()
	c.tasks.Wait()
}
