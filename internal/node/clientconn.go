package node

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/internal/requesthead"
)

// clientConn is a connection from a client. Its states are those of clientListener.
//
// Reads pass through three layers: readAhead (the socket, and what was read beyond the open request), head (framing; no
// read goes beyond a request), and Read (the state of the connection).
type clientConn struct {
	net.Conn
	listener     *clientListener
	idleElement  *list.Element // in listener.idleConns; nil: a request is open
	idleSince    time.Time
	readClosedAt time.Time     // no request may begin on it since then; zero: one may
	readEnded    bool          // and its reader has taken note: nothing is read any more
	lingers      bool          // its sending side is closed first, and the rest after halfCloseTimeout
	closedSignal chan struct{} // closed by Close
	tags         metrics.Tags  // of its last request
	closed       bool

	// Used by the reading goroutine only; readAhead has a lock of its own.
	acceptedAt time.Time
	head       *requesthead.Reader // reads from readAhead
	readAhead  *readAheadBuffer
}

// Read marks the connection as active with the first byte of a request: net/http reports the state only after the whole
// head, and a connection closed in between would lose a request that was begun.
//
// What a read is for follows from the state of the request alone. While a request is open of which everything has come,
// net/http reads only to notice that the client leaves. Any other read is for a head or a body, and ends by its deadline.
//
// A connection that is to be closed is closed by its reader, or left unread: so no byte of a request is read from it and
// the request not served.
func (c *clientConn) Read(b []byte) (int, error) {
	watching := c.head.Complete() && c.listener.requestOpen(c)
	c.readAhead.beginRead(watching)
	if !c.holdsBytes() && c.listener.endReading(c) {
		return 0, c.endByReader()
	}
	if !watching && c.head.HeadBegun() {
		c.readAhead.limitHead(requestHeadTimeout)
	}
	n, err := c.head.Read(b)
	for watching && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readAhead.outlivesDeadline() {
		n, err = c.head.Read(b)
	}
	if !c.head.HeadBegun() {
		c.readAhead.endHead()
	}
	c.readAhead.setBytesBehind(c.head.Buffered())
	switch {
	case n > 0 && !c.listener.markActive(c):
		return 0, io.EOF
	case n == 0 && err != nil && !c.holdsBytes() && c.listener.endReading(c):
		return 0, c.endByReader()
	case watching && n > 0:
		c.readAhead.httpReadByte()
	}
	return n, err
}

// holdsBytes reports whether bytes of a request have been read from the connection that is not open yet.
func (c *clientConn) holdsBytes() bool {
	return c.head.HeadBegun() || c.head.Buffered() || c.readAhead.buffered()
}

// endByReader closes the sending side of a connection that lingers, and waits for the rest. It returns io.EOF, by which
// net/http closes the connection. A request that comes now stays unread in the kernel, which resets the connection: its
// client knows that it may send it again.
func (c *clientConn) endByReader() error {
	if c.lingers {
		c.CloseWrite()
		select {
		case <-c.closedSignal:
		case <-time.After(halfCloseTimeout):
		}
	}
	return io.EOF
}

// SetReadDeadline sets net/http's deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.readAhead.setReadDeadline(t) }

// CloseWrite closes the sending side. net/http also calls it where it leaves something unread.
func (c *clientConn) CloseWrite() error {
	nc := c.Conn
	if identified, ok := nc.(*identifiedConn); ok {
		nc = identified.Conn
	}
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its slot back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.removeIdle(c)
	if !c.closed {
		c.closed = true
		close(c.closedSignal)
		c.listener.metrics.Add(c.tags, metrics.OpenConnections, -1)
		c.listener.openConns--
		c.listener.signalSlot()
	}
	return err
}

// setTags counts the connection under the tags of its last request.
func (c *clientConn) setTags(tags metrics.Tags) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed || c.tags == tags {
		return
	}
	c.listener.metrics.Add(c.tags, metrics.OpenConnections, -1)
	c.listener.metrics.Add(tags, metrics.OpenConnections, 1)
	c.tags = tags
}

// newClientConn wraps a connection that was just accepted.
func newClientConn(nc net.Conn, listener *clientListener) *clientConn {
	readAhead := newReadAheadBuffer(nc)
	return &clientConn{Conn: nc, listener: listener, acceptedAt: time.Now(), closedSignal: make(chan struct{}), readAhead: readAhead,
		head: requesthead.NewReader(readAhead)}
}

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// withConn lets requests find their connection. The context ends for all requests on it when the client has gone.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*clientConn); ok {
		ctx, c.readAhead.clientGone = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil in tests that use none.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}
