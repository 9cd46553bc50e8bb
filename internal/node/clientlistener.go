package node

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
)

const (
	// minIdleBeforeEviction is how long a connection must have had no open request before it may be evicted to free its
	// slot. Clients send right after connecting, so a new connection's first request has arrived by then.
	minIdleBeforeEviction = 50 * time.Millisecond

	// halfCloseTimeout is how long the node waits for the client to close a connection whose sending side the node has
	// closed. Then the node closes the connection completely.
	halfCloseTimeout = 200 * time.Millisecond

	// signalOnlyWait is how long to wait for a slot when no connection is idle. It is so long that in practice the wait
	// ends only when slotFreed is signaled or the listener is closed.
	signalOnlyWait = time.Hour
)

// clientListener accepts client connections up to a number of slots. Each connection occupies a slot and uses one
// descriptor.
//
// It protects against descriptor exhaustion, since clients may keep connections open indefinitely, and some never send a
// request. When all slots are taken, the connection that has been idle longest is closed to free its slot. A request that
// arrives during that close is not read, so the client may safely send it again. Connections with an open request are
// never evicted: if all of them have one, new clients wait in the kernel's accept queue.
//
// A client connection has these states, guarded by clientListener.mu:
//
//	idle         no open request; the connection is in idleConns. New connections are idle (markIdle).
//	active       from the first byte of a request until its response is written (markActive).
//	read-closed  idle, and readCloseRequestedAt is set: the connection's reader is interrupted and should begin no further
//	             request. If the reader already has bytes of a request, the connection becomes active again. Otherwise
//	             the reader sets readClosed, which is final; so does whoever closes the connection in its place.
//	closed       clientConn.Close has released the slot.
//
// net/http owns and closes each connection. If its reader does not react to the request to close in time, closeIdle or
// acquireSlot closes it.
type clientListener struct {
	net.Listener
	metrics       *metrics.Reporter // nil: off
	access        *accessControl    // nil: every client is admitted
	slotFreed     chan struct{}     // signals that a slot may be free, or that a connection may be evicted
	closed        chan struct{}
	signalClosed  func()
	inputWatcher  *inputWatcher
	headMemory    *memoryPool // for the heads of requests; nil: no limit
	raisedBuffers *memoryPool // by which receive buffers are raised (clientPresence)
	log           *slog.Logger
	handedOver    atomic.Bool // a successor accepts now: the listener is closed, open connections are still served

	mu           sync.Mutex
	maxConns     int        // number of slots
	openConns    int        // slots taken, including the slot of a pending Accept
	idleConns    *list.List // of *clientConn, longest idle first
	shuttingDown bool       // connections that become idle are asked to close
}

func newClientListener(ln net.Listener, maxConns int, reporter *metrics.Reporter) *clientListener {
	closed := make(chan struct{})
	return &clientListener{Listener: ln, maxConns: maxConns, metrics: reporter, log: slog.New(slog.DiscardHandler), slotFreed: make(chan struct{}, 1), closed: closed, inputWatcher: newInputWatcher(), raisedBuffers: &memoryPool{bytes: raisedBufferMemory},
		signalClosed: sync.OnceFunc(func() { close(closed) }), idleConns: list.New()}
}

// Accept waits for a slot and then for a connection. It returns net.ErrClosed after Close.
func (l *clientListener) Accept() (net.Conn, error) {
	if err := l.waitForSlot(); err != nil {
		return nil, err
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.mu.Lock()
		l.openConns--
		l.mu.Unlock()
		if l.handedOver.Load() {
			<-l.closed
		}
		return nil, err
	}
	if l.access != nil {
		nc = l.access.identify(nc)
	}
	c := newClientConn(nc, l)
	l.metrics.Add(c.tags, metrics.OpenConnections, 1)
	l.markIdle(c)
	return c, nil
}

// waitForSlot takes a slot for the next connection and waits for it if necessary. It returns net.ErrClosed after Close.
func (l *clientListener) waitForSlot() error {
	for {
		wait, ok := l.acquireSlot()
		if ok {
			return nil
		}
		retry := time.NewTimer(wait)
		select {
		case <-l.slotFreed:
		case <-retry.C:
		case <-l.closed:
		}
		retry.Stop()
		select {
		case <-l.closed:
			return net.ErrClosed
		default:
		}
	}
}

// acquireSlot takes a free slot. If there is none, it returns how long to wait before the next call. It also asks the reader
// of the connection that has been idle longest to close it, once that connection has been idle for minIdleBeforeEviction. If
// the reader has not closed it after the same time again, acquireSlot closes the connection.
func (l *clientListener) acquireSlot() (wait time.Duration, ok bool) {
	l.mu.Lock()
	if l.openConns < l.maxConns {
		l.openConns++
		l.mu.Unlock()
		return 0, true
	}
	longestIdle := l.idleConns.Front()
	if longestIdle == nil {
		l.mu.Unlock()
		return signalOnlyWait, false
	}
	c := longestIdle.Value.(*clientConn)
	wait = minIdleBeforeEviction - time.Since(c.idleSince)
	if wait <= 0 && c.readCloseRequestedAt.IsZero() {
		l.requestReadClose(c, false)
	}
	if !c.readCloseRequestedAt.IsZero() {
		wait = minIdleBeforeEviction - time.Since(c.readCloseRequestedAt)
	}
	overdue := wait <= 0
	if overdue {
		l.endReading(c)
	}
	l.mu.Unlock()
	if overdue {
		l.closeOverdue(c)
	}
	return max(wait, 0), false
}

// endReading has the reader of an idle connection treat all bytes as unread, also those that it is just reading. From then on no
// request of the connection is served, so it may be closed. The caller holds l.mu.
func (l *clientListener) endReading(c *clientConn) { c.readClosed = true }

// closeOverdue closes a connection whose reader has not closed it in time. endReading was called before.
func (l *clientListener) closeOverdue(c *clientConn) {
	l.log.Info("idle connection closed: its reader did not close it in time", "client", c.remoteAddr())
	c.Close()
}

// Close closes the listener and ends Accept, even while it waits for a slot.
func (l *clientListener) Close() error {
	l.signalClosed()
	return l.Listener.Close()
}

// stopAccepting closes this process's copy of the listener; the successor accepts on its own copy. A pending Accept does not
// return until Close is called: an error from Accept would end net/http's server, and with it the connections that are still
// served.
func (l *clientListener) stopAccepting() {
	l.handedOver.Store(true)
	l.Listener.Close()
}

// setMaxConns sets the number of slots. Connections beyond it stay open until they are idle and a new client waits.
func (l *clientListener) setMaxConns(maxConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.signalSlotFreed()
}

// connCount returns the number of open connections.
func (l *clientListener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns
}

// connStateChanged implements http.Server.ConnState. net/http calls it in the goroutine that reads the connection.
func (l *clientListener) connStateChanged(nc net.Conn, state http.ConnState) {
	switch c := nc.(*clientConn); state {
	case http.StateIdle:
		c.headMemory.release(false)
		if !c.hasPendingInput() { // otherwise the next request has begun, and the connection must not be closed
			l.markIdle(c)
		}
	case http.StateActive:
		l.markActive(c)
	}
}

// markIdle records that no request is open on a connection.
func (l *clientListener) markIdle(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElement == nil && !c.closed {
		c.idleSince, c.idleElement = time.Now(), l.idleConns.PushBack(c)
		if l.shuttingDown {
			l.requestReadClose(c, false)
		}
		l.signalSlotFreed()
	}
}

// markActive records that bytes of a request were read. It returns false if the connection is closed or about to be closed: the
// bytes must not be used then. A read that had begun before the close may still return bytes.
func (l *clientListener) markActive(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.readClosed || c.closed {
		return false
	}
	if !c.readCloseRequestedAt.IsZero() { // the bytes arrived before the reader was interrupted
		c.readCloseRequestedAt = time.Time{}
		c.readAhead.setInterrupted(false)
	}
	l.removeIdle(c)
	return true
}

// requestReadClose asks the reader of an idle connection to close it without reading another request. The caller holds l.mu.
func (l *clientListener) requestReadClose(c *clientConn, halfCloseFirst bool) {
	c.readCloseRequestedAt, c.halfCloseFirst = time.Now(), halfCloseFirst
	c.readAhead.setInterrupted(true)
}

// confirmReadClose is called by the reader when it has no bytes of a request. It reports whether the connection has to be
// closed, that is, whether requestReadClose was called. If so, nothing more may be read from the connection.
func (l *clientListener) confirmReadClose(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.readCloseRequestedAt.IsZero() {
		return false
	}
	c.readClosed = true
	return true
}

// requestOpen reports whether a request is open on a connection.
func (l *clientListener) requestOpen(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.idleElement == nil
}

// isClosed reports whether this process has closed a connection.
func (l *clientListener) isClosed(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.closed
}

// removeIdle removes a connection from idleConns. The caller holds l.mu.
func (l *clientListener) removeIdle(c *clientConn) {
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// signalSlotFreed wakes an Accept that waits for a slot.
func (l *clientListener) signalSlotFreed() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// stopReadingIdleConns prevents reads from idle connections and from those that become idle later, because net/http is about
// to close them. A request that arrives during the close stays unread, so that its client may send it again. If it were
// read, it could be forwarded and its response lost.
func (l *clientListener) stopReadingIdleConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = true
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.readCloseRequestedAt.IsZero() {
			l.requestReadClose(c, false)
		}
	}
}

// closeIdle closes connections that have been idle for minIdle, in two steps: first the sending side and, after
// halfCloseTimeout, the rest. The first step tells the client not to send another request. A request that the client sent
// before that was either read and is answered, or was not read. In the second case the connection ends without a response,
// so the client knows that the request was not read. A close in one step could send a reset that destroys the preceding
// response. The reader of each connection performs both steps. A later call of closeIdle closes the connections whose
// readers have not done so within halfCloseTimeout.
func (l *clientListener) closeIdle(minIdle time.Duration) {
	now := time.Now()
	var overdue []*clientConn
	l.mu.Lock()
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*clientConn); {
		case !c.readCloseRequestedAt.IsZero() && now.Sub(c.readCloseRequestedAt) >= halfCloseTimeout:
			l.endReading(c)
			overdue = append(overdue, c)
		case c.readCloseRequestedAt.IsZero() && now.Sub(c.idleSince) >= minIdle:
			l.requestReadClose(c, true)
		}
	}
	l.mu.Unlock()
	for _, c := range overdue {
		l.closeOverdue(c)
	}
}
