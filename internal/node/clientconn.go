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

// headChunk is the size in bytes of one read of a head. Of pipelined requests, at most so much is read together with a request,
// and has to be kept until the request is answered.
const headChunk = 1 << 10

// clientConn is a connection from a client. The comment on clientListener describes its states.
//
// A read passes through three layers: readAhead reads the socket and buffers bytes that follow the open request; head
// follows the framing, so that no read crosses the end of a request; and Read tracks the state of the connection.
type clientConn struct {
	net.Conn
	listener             *clientListener
	idleElement          *list.Element // in listener.idleConns; nil: a request is open
	idleSince            time.Time
	readCloseRequestedAt time.Time     // when the listener asked the reader to close it; zero: it has not
	readClosed           bool          // the connection is about to be closed: nothing more is read
	halfCloseFirst       bool          // close the sending side first, and the rest after halfCloseTimeout
	closedSignal         chan struct{} // closed by Close
	tags                 metrics.Tags  // of its last request
	closed               bool

	// Used only by the goroutine that reads the connection, except readAhead, which has its own lock.
	acceptedAt time.Time
	head       *requesthead.Reader // reads from readAhead
	readAhead  *readAheadBuffer

	headMemory memoryReservation // for the head of the open request

	receiveBufferRaised bool // by clientPresence; used by the goroutine that reads a body

	writeLimit       *writeLimit // of the streamed response that is being written; nil: none is
	hasWriteDeadline bool        // net/http has set a write deadline; used only by the goroutine that serves the connection
}

// Read marks the connection as active on the first byte of a request. net/http reports StateActive only after the complete
// head; a connection closed in between would lose a request that was partly read.
//
// The purpose of a read follows only from the state of the request. While a completely received request is open, a read is
// net/http's background read, which detects that the client leaves. Any other read is for a head or a body and has a
// deadline.
//
// When the listener asks for a close, the reader closes the connection without reading any more from it, unless it already
// has bytes of a request. So no request is read and then left without a response.
func (c *clientConn) Read(b []byte) (int, error) {
	backgroundRead := c.head.Complete() && c.listener.requestOpen(c)
	c.readAhead.beginRead(backgroundRead)
	if !c.hasPendingInput() && c.listener.confirmReadClose(c) {
		return 0, c.closeFromReader()
	}
	if !backgroundRead && c.head.HeadBegun() {
		c.readAhead.startHeadDeadline(requestHeadTimeout)
	}
	if c.head.ReadingHead() {
		b = b[:min(len(b), headChunk)]
	}
	n, err := c.head.Read(b)
	for backgroundRead && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readAhead.clearExpiredDeadline() {
		n, err = c.head.Read(b)
	}
	if !c.head.HeadBegun() {
		c.readAhead.clearHeadDeadline()
	}
	c.readAhead.setHasPipelinedBytes(c.head.Buffered())
	size := c.head.HeadSize()
	switch {
	case n > 0 && !backgroundRead && !c.headMemory.raiseTo(headMemory(size.Bytes, size.Lines)):
		return 0, c.rejectHead(size)
	case n > 0 && !c.listener.markActive(c):
		c.listener.log.Info("input discarded: its connection was closed while it was read", "client", c.remoteAddr(), "bytes", n)
		return 0, io.EOF
	case n == 0 && err != nil && !c.hasPendingInput() && c.listener.confirmReadClose(c):
		return 0, c.closeFromReader()
	case backgroundRead && n > 0:
		c.readAhead.markHTTPHasByte()
	}
	return n, err
}

// remoteAddr returns the address of the other end of the connection for the log, without waiting for a PROXY header.
func (c *clientConn) remoteAddr() net.Addr {
	if identified, ok := c.Conn.(*identifiedConn); ok {
		return identified.Conn.RemoteAddr()
	}
	return c.Conn.RemoteAddr()
}

// hasPendingInput reports whether bytes have been read that belong to a request which is not open yet.
func (c *clientConn) hasPendingInput() bool {
	return c.head.HeadBegun() || c.head.Buffered() || c.readAhead.hasBuffered()
}

// closeFromReader returns io.EOF, on which net/http closes the connection. If halfCloseFirst is set, it first closes the
// sending side and waits for halfCloseTimeout. A request that arrives now stays unread in the kernel, which resets the
// connection, so that the client knows that it may send the request again.
func (c *clientConn) closeFromReader() error {
	if c.halfCloseFirst {
		c.CloseWrite()
		select {
		case <-c.closedSignal:
		case <-time.After(halfCloseTimeout):
		}
	}
	return io.EOF
}

// headRejection is the response to a head for which the node has no memory.
const headRejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectHead rejects a request whose head needs more memory than is left, and returns io.EOF, on which net/http closes the
// connection. net/http has not got the end of the head, so the request can't have run.
func (c *clientConn) rejectHead(size requesthead.Size) error {
	c.listener.log.Warn("request rejected: no memory for its head", "client", c.remoteAddr(), "bytes", size.Bytes, "lines", size.Lines)
	c.Write([]byte(headRejection)) // an error is ignored: the connection is closed
	c.CloseWrite()
	c.readAhead.discardUntilEnd(halfCloseTimeout) // a close with unread bytes would reset the connection and destroy the response
	return io.EOF
}

// SetReadDeadline sets the read deadline of net/http.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.readAhead.setReadDeadline(t) }

// SetWriteDeadline sets the write deadline of net/http, or removes it if t is zero. A streamed response has a limit of its own.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	if c.writeLimit != nil {
		return nil
	}
	c.hasWriteDeadline = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// Write writes within the write deadline. net/http sets none for what it writes itself, such as the rejection of a
// malformed head, nor for short responses: these get responseWriteTimeout, because a peer that reads nothing would
// otherwise keep its slot indefinitely.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.writeLimit != nil {
		return c.writeStream(b)
	}
	if !c.hasWriteDeadline {
		c.Conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side. net/http also calls it when it leaves input unread.
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

// Close closes the connection. The first call releases its slot.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.removeIdle(c)
	c.headMemory.release(true)
	c.listener.inputWatcher.remove(c.readAhead)
	if !c.closed {
		c.closed = true
		close(c.closedSignal)
		c.listener.metrics.Add(c.tags, metrics.OpenConnections, -1)
		c.listener.openConns--
		c.listener.signalSlotFreed()
	}
	return err
}

// setTags moves the connection, in the metric of open connections, to the tags of its latest request.
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

// newClientConn wraps a newly accepted connection.
func newClientConn(nc net.Conn, listener *clientListener) *clientConn {
	readAhead := newReadAheadBuffer(nc)
	readAhead.watcher = listener.inputWatcher
	return &clientConn{Conn: nc, listener: listener, acceptedAt: time.Now(), closedSignal: make(chan struct{}),
		readAhead: readAhead, head: requesthead.NewReader(readAhead), headMemory: memoryReservation{pool: listener.headMemory}}
}

// connKey is the context key for the connection on which a request arrived.
type connKey struct{}

// withConn returns a context from which requests can retrieve their connection. When the client has gone, it is canceled for
// all requests on the connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*clientConn); ok {
		ctx, c.readAhead.clientGone = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request. It is nil in tests without a connection.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// connEndReason says for the log how a connection has ended. It is nil in tests without a connection.
func connEndReason(c *clientConn) string {
	if c == nil {
		return "none"
	}
	if c.listener.isClosed(c) {
		return "closed by the node"
	}
	return c.readAhead.endReason()
}
