package scale

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// segmentHeaderBytes is what a TCP segment on loopback or an Ethernet carries beside its payload: 20 bytes of IPv4, 20 of TCP,
// 12 of timestamps.
const segmentHeaderBytes = 52

// SessionTraffic counts what connections of sessions have carried.
type SessionTraffic struct {
	BytesIn     int64 `json:"bytes_in"`  // payload
	BytesOut    int64 `json:"bytes_out"` // payload
	SegmentsIn  int64 `json:"segments_in"`
	SegmentsOut int64 `json:"segments_out"`
	Dials       int64 `json:"dials"`   // connections that came up
	Watches     int64 `json:"watches"` // watches asked for
}

// OnWire is the payload of both directions with the headers of all segments, in bytes.
func (t SessionTraffic) OnWire() int64 {
	return t.BytesIn + t.BytesOut + segmentHeaderBytes*(t.SegmentsIn+t.SegmentsOut)
}

// Plus adds two counts.
func (t SessionTraffic) Plus(o SessionTraffic) SessionTraffic {
	return SessionTraffic{t.BytesIn + o.BytesIn, t.BytesOut + o.BytesOut, t.SegmentsIn + o.SegmentsIn, t.SegmentsOut + o.SegmentsOut,
		t.Dials + o.Dials, t.Watches + o.Watches}
}

// Minus is what was counted since an earlier count.
func (t SessionTraffic) Minus(o SessionTraffic) SessionTraffic {
	return SessionTraffic{t.BytesIn - o.BytesIn, t.BytesOut - o.BytesOut, t.SegmentsIn - o.SegmentsIn, t.SegmentsOut - o.SegmentsOut,
		t.Dials - o.Dials, t.Watches - o.Watches}
}

// Network dials for hollow nodes: it counts traffic, tells of each watch that is opened, and puts addresses out of
// reach. Out of reach, connections that are up carry nothing and no new one comes up, until the address is back.
type Network struct {
	opened func(address string, at time.Time) // called when a watch is asked for

	mu      sync.Mutex
	cut     map[string]bool
	changed chan struct{} // closed when cut changes
	up      map[*meteredConn]bool
	ended   SessionTraffic // of connections that are closed
}

// NewNetwork returns a network without faults. Opened is called for each watch, from the goroutine that asks for it.
func NewNetwork(opened func(address string, at time.Time)) *Network {
	return &Network{opened: opened, cut: map[string]bool{}, changed: make(chan struct{}), up: map[*meteredConn]bool{}}
}

// Cut puts the addresses out of reach and all others in reach.
func (n *Network) Cut(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
	for _, address := range addresses {
		n.cut[address] = true
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state says whether an address is out of reach, and gives what is closed when that may have changed.
func (n *Network) state(address string) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[address], n.changed
}

// reach waits until an address is in reach. False: ended was closed before.
func (n *Network) reach(address string, ended <-chan struct{}) bool {
	for {
		cut, changed := n.state(address)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// DialContext opens a counted connection.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !n.reach(address, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.Cause(ctx)}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: conn, network: n, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended.Dials++
	n.up[metered] = true
	return metered, nil
}

// Traffic is the count of all connections so far.
func (n *Network) Traffic() SessionTraffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.ended
	for conn := range n.up {
		total = total.Plus(conn.traffic())
	}
	return total
}

// meteredConn is one connection of a Network.
type meteredConn struct {
	net.Conn
	network *Network
	address string

	in, out, watches atomic.Int64

	once   sync.Once
	closed chan struct{}
}

// watchRequest is how the request for a watch begins.
var watchRequest = []byte("GET /v1/config?")

// Read holds back what arrives while the address is out of reach.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.network.reach(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	c.in.Add(int64(n))
	return n, err
}

// Write waits while the address is out of reach.
func (c *meteredConn) Write(b []byte) (int, error) {
	if !c.network.reach(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	if bytes.HasPrefix(b, watchRequest) {
		c.watches.Add(1)
		c.network.opened(c.address, time.Now())
	}
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// Close ends the connection and keeps its count.
func (c *meteredConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.network.ended = c.network.ended.Plus(c.traffic())
		delete(c.network.up, c)
	})
	return c.Conn.Close()
}

func (c *meteredConn) traffic() SessionTraffic {
	t := SessionTraffic{BytesIn: c.in.Load(), BytesOut: c.out.Load(), Watches: c.watches.Load()}
	t.SegmentsIn, t.SegmentsOut = segments(c.Conn)
	return t
}

// segments asks the system how many TCP segments a connection has received and sent.
func segments(conn net.Conn) (in, out int64) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) { // a connection that is closed has been counted
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			in, out = int64(info.Segs_in), int64(info.Segs_out)
		}
	})
	return in, out
}
