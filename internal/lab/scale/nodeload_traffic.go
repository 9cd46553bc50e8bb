package scale

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// headerBytes is the estimate of what one TCP segment adds on the wire: 20 bytes of IPv4 header, 20 of TCP header and
// 12 of the timestamp option. What the link layer adds is not in it.
const headerBytes = 52

// Traffic counts what has gone over connections, seen from the side that accepted them.
type Traffic struct {
	PayloadOut  int64 // bytes written
	PayloadIn   int64 // bytes read
	Segments    int64 // TCP segments both ways, acknowledgements among them, as the kernel counts them
	Connections int64
}

// Wire is the estimate of the bytes on the wire, both ways: the payload, and headers by the count of segments.
func (t Traffic) Wire() int64 { return t.PayloadOut + t.PayloadIn + t.Segments*headerBytes }

// Since is the traffic between an earlier moment and this one.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		PayloadOut:  t.PayloadOut - earlier.PayloadOut,
		PayloadIn:   t.PayloadIn - earlier.PayloadIn,
		Segments:    t.Segments - earlier.Segments,
		Connections: t.Connections - earlier.Connections,
	}
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	*net.TCPListener
	out, in, accepted atomic.Int64

	mu     sync.Mutex
	live   map[*countedConn]bool
	closed int64 // segments of connections that are closed
}

func newCountingListener(ln *net.TCPListener) *countingListener {
	return &countingListener{TCPListener: ln, live: map[*countedConn]bool{}}
}

// Accept waits for the next connection and counts it.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	counted := &countedConn{TCPConn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live[counted] = true
	return counted, nil
}

// Traffic is the sum over all connections so far.
func (l *countingListener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Traffic{PayloadOut: l.out.Load(), PayloadIn: l.in.Load(), Segments: l.closed, Connections: l.accepted.Load()}
	for conn := range l.live {
		sum.Segments += conn.segments()
	}
	return sum
}

// countedConn is one accepted connection.
type countedConn struct {
	*net.TCPConn
	listener *countingListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// Close closes the connection once its segments are counted.
func (c *countedConn) Close() error {
	c.listener.mu.Lock()
	if c.listener.live[c] {
		c.listener.closed += c.segments()
		delete(c.listener.live, c)
	}
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// segments is the kernel's count for a connection, both ways; 0 once it is closed.
func (c *countedConn) segments() (count int64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection, which has no count any more
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			count = int64(info.Segs_out) + int64(info.Segs_in)
		}
	})
	return count
}
