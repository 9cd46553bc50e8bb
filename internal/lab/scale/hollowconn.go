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

// segmentHeaderBytes is the estimated size of a TCP segment without its payload: 20 bytes of IPv4 header, 20 of TCP
// header and 12 of the timestamp option. Link-layer headers are not included.
const segmentHeaderBytes = 52

// SessionTraffic counts what the connections of hollow nodes' sessions have carried.
type SessionTraffic struct {
	BytesIn     int64 `json:"bytes_in"`  // payload
	BytesOut    int64 `json:"bytes_out"` // payload
	SegmentsIn  int64 `json:"segments_in"`
	SegmentsOut int64 `json:"segments_out"`
	Dials       int64 `json:"dials"`   // connections that were opened
	Watches     int64 `json:"watches"` // watches that were requested
}

// OnWire returns the estimated bytes in both directions: the payload and the headers of all segments.
func (t SessionTraffic) OnWire() int64 {
	return t.BytesIn + t.BytesOut + segmentHeaderBytes*(t.SegmentsIn+t.SegmentsOut)
}

// Plus returns the sum of two counts.
func (t SessionTraffic) Plus(o SessionTraffic) SessionTraffic {
	return SessionTraffic{t.BytesIn + o.BytesIn, t.BytesOut + o.BytesOut, t.SegmentsIn + o.SegmentsIn, t.SegmentsOut + o.SegmentsOut,
		t.Dials + o.Dials, t.Watches + o.Watches}
}

// Minus returns the traffic since an earlier count.
func (t SessionTraffic) Minus(o SessionTraffic) SessionTraffic {
	return SessionTraffic{t.BytesIn - o.BytesIn, t.BytesOut - o.BytesOut, t.SegmentsIn - o.SegmentsIn, t.SegmentsOut - o.SegmentsOut,
		t.Dials - o.Dials, t.Watches - o.Watches}
}

// Network opens the connections of hollow nodes. It counts traffic, reports each watch that is opened, and can make
// addresses unreachable. While an address is unreachable, open connections to it stall and dials to it wait.
type Network struct {
	onWatch func(address string, at time.Time) // called when a watch is requested

	mu            sync.Mutex
	unreachable   map[string]bool
	changed       chan struct{} // closed when unreachable changes
	open          map[*meteredConn]bool
	closedTraffic SessionTraffic // of connections that are closed
}

// NewNetwork returns a network without faults. onWatch is called for each watch, from the goroutine that requests it.
func NewNetwork(onWatch func(address string, at time.Time)) *Network {
	return &Network{onWatch: onWatch, unreachable: map[string]bool{}, changed: make(chan struct{}), open: map[*meteredConn]bool{}}
}

// SetUnreachable makes the addresses unreachable and all others reachable.
func (n *Network) SetUnreachable(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable = map[string]bool{}
	for _, address := range addresses {
		n.unreachable[address] = true
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// reachability reports whether an address is unreachable, and the channel that is closed when that may have changed.
func (n *Network) reachability(address string) (unreachable bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unreachable[address], n.changed
}

// awaitReachable waits until an address is reachable. It returns false if ended is closed first.
func (n *Network) awaitReachable(address string, ended <-chan struct{}) bool {
	for {
		unreachable, changed := n.reachability(address)
		if !unreachable {
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
	if !n.awaitReachable(address, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.Cause(ctx)}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: conn, network: n, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closedTraffic.Dials++
	n.open[metered] = true
	return metered, nil
}

// Traffic returns the traffic of all connections so far.
func (n *Network) Traffic() SessionTraffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.closedTraffic
	for conn := range n.open {
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

// watchRequest is the prefix of a request for a watch.
var watchRequest = []byte("GET /v1/config?")

// Read holds back received data while the address is unreachable.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.network.awaitReachable(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	c.in.Add(int64(n))
	return n, err
}

// Write waits while the address is unreachable.
func (c *meteredConn) Write(b []byte) (int, error) {
	if !c.network.awaitReachable(c.address, c.closed) {
		return 0, net.ErrClosed
	}
	if bytes.HasPrefix(b, watchRequest) {
		c.watches.Add(1)
		c.network.onWatch(c.address, time.Now())
	}
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// Close closes the connection and adds its traffic to that of the closed connections.
func (c *meteredConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.network.closedTraffic = c.network.closedTraffic.Plus(c.traffic())
		delete(c.network.open, c)
	})
	return c.Conn.Close()
}

func (c *meteredConn) traffic() SessionTraffic {
	t := SessionTraffic{BytesIn: c.in.Load(), BytesOut: c.out.Load(), Watches: c.watches.Load()}
	t.SegmentsIn, t.SegmentsOut = tcpSegments(c.Conn)
	return t
}

// tcpSegments returns the kernel's counts of the TCP segments that a connection has received and sent. Both are 0 after
// it is closed.
func tcpSegments(conn net.Conn) (in, out int64) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			in, out = int64(info.Segs_in), int64(info.Segs_out)
		}
	})
	return in, out
}
