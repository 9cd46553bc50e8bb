package scale

import (
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts the traffic of connections, as seen by the side that accepted them.
type Traffic struct {
	PayloadOut  int64 // bytes written
	PayloadIn   int64 // bytes read
	Segments    int64 // TCP segments in both directions, including acknowledgements, as the kernel counts them
	Connections int64
}

// Wire returns the estimated bytes on the wire in both directions: the payload and a header for each segment.
func (t Traffic) Wire() int64 { return t.PayloadOut + t.PayloadIn + t.Segments*segmentHeaderBytes }

// Since returns the traffic since an earlier count.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		PayloadOut:  t.PayloadOut - earlier.PayloadOut,
		PayloadIn:   t.PayloadIn - earlier.PayloadIn,
		Segments:    t.Segments - earlier.Segments,
		Connections: t.Connections - earlier.Connections,
	}
}

// segmentListener counts the traffic of the connections that it accepts.
type segmentListener struct {
	*net.TCPListener
	out, in, accepted atomic.Int64

	mu     sync.Mutex
	live   map[*segmentConn]bool
	closed int64 // segments of connections that are closed
}

func newSegmentListener(ln *net.TCPListener) *segmentListener {
	return &segmentListener{TCPListener: ln, live: map[*segmentConn]bool{}}
}

// Accept waits for the next connection and counts it.
func (l *segmentListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	counted := &segmentConn{TCPConn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live[counted] = true
	return counted, nil
}

// Traffic returns the total of all connections so far.
func (l *segmentListener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Traffic{PayloadOut: l.out.Load(), PayloadIn: l.in.Load(), Segments: l.closed, Connections: l.accepted.Load()}
	for conn := range l.live {
		sum.Segments += conn.segments()
	}
	return sum
}

// segmentConn is one accepted connection.
type segmentConn struct {
	*net.TCPConn
	listener *segmentListener
}

func (c *segmentConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *segmentConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// Close counts the connection's segments and then closes it.
func (c *segmentConn) Close() error {
	c.listener.mu.Lock()
	if c.listener.live[c] {
		c.listener.closed += c.segments()
		delete(c.listener.live, c)
	}
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// segments returns the kernel's count of a connection's segments in both directions, or 0 after it is closed.
func (c *segmentConn) segments() int64 {
	in, out := tcpSegments(c.TCPConn)
	return in + out
}
