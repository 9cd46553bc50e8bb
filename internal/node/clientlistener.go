package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
)

const (
	// minIdleBeforeEviction is how long a connection without an open request is left alone when slots run short. A client
	// sends right after it has connected, so what it sent has come by then.
	minIdleBeforeEviction = 50 * time.Millisecond

	// halfCloseTimeout is how long a connection whose sending side was closed waits for its client to close it too. Then the
	// node closes it completely.
	halfCloseTimeout = 200 * time.Millisecond

	// waitForSignal is the wait for a slot when no connection is idle: only the signal that one is free ends it.
	waitForSignal = time.Hour
)

// clientListener accepts client connections within a number of slots, each of which costs one descriptor.
//
// It guards against descriptor exhaustion: clients may keep connections for good, and some never send a request. When
// all slots are taken, the connection that has been idle longest is closed for the next one. A request that crosses that
// close is not read, so its client may safely send it again. Connections with an open request are never evicted: with
// all slots in use new clients wait in the kernel's queue.
//
// States of a client connection. clientListener.mu guards them:
//
//	idle         no open request; in idleConns. New connections begin here (markIdle).
//	active       from the first byte of a request until its response is written (markActive).
//	read-closed  idle, and no request may begin on it: readClosedAt is set. Its reader is interrupted. If it had bytes of a
//	             request by then, the connection is active again; else readEnded is set, and there is no way back.
//	closed       clientConn.Close has given its slot back.
//
// net/http owns each connection and closes it, but for those whose reader does not take note in time: closeIdle and acquireSlot
// close these.
type clientListener struct {
	net.Listener
	maxConns     int               // slots
	metrics      *metrics.Reporter // nil: off
	access       *accessControl    // nil: every client is admitted
	slotFreed    chan struct{}     // signals that a slot may be free, or a connection may be evicted
	closed       chan struct{}
	signalClosed func()
	handedOver   atomic.Bool // the listener is closed, and connections go on: a successor accepts

	mu           sync.Mutex
	openConns    int        // slots that are taken, also by an Accept under way
	idleConns    *list.List // of *clientConn, the one that has been idle longest first
	shuttingDown bool       // connections that become idle are read-closed
}

func newClientListener(ln net.Listener, maxConns int, reporter *metrics.Reporter) *clientListener {
	closed := make(chan struct{})
	return &clientListener{Listener: ln, maxConns: maxConns, metrics: reporter, slotFreed: make(chan struct{}, 1), closed: closed,
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

// waitForSlot returns when a slot is taken for the next connection, or net.ErrClosed after Close.
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

// acquireSlot takes a free slot. If there is none it has the connection closed that has been idle longest, provided that it
// has been so for minIdleBeforeEviction, and returns how long to wait before the next try.
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
		return waitForSignal, false
	}
	c := longestIdle.Value.(*clientConn)
	wait = minIdleBeforeEviction - time.Since(c.idleSince)
	if wait <= 0 && c.readClosedAt.IsZero() {
		l.closeReading(c, false)
	}
	if !c.readClosedAt.IsZero() {
		wait = minIdleBeforeEviction - time.Since(c.readClosedAt)
	}
	l.mu.Unlock()
	if wait <= 0 { // its reader has not closed it
		c.Close()
	}
	return max(wait, 0), false
}

// Close ends Accept, also while it waits for a slot.
func (l *clientListener) Close() error {
	l.signalClosed()
	return l.Listener.Close()
}

// stopAccepting closes the listener, of which the successor has a copy. Accept returns only after Close: an error from
// it would end net/http's server and with it the connections that are still served.
func (l *clientListener) stopAccepting() {
	l.handedOver.Store(true)
	l.Listener.Close()
}

// connCount is how many connections are open.
func (l *clientListener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns
}

// connStateChanged is told by net/http which state a connection has come to, by the goroutine that reads it.
func (l *clientListener) connStateChanged(nc net.Conn, state http.ConnState) {
	switch c := nc.(*clientConn); state {
	case http.StateIdle:
		if !c.holdsBytes() { // else the next request has begun, and the connection is not to be closed
			l.markIdle(c)
		}
	case http.StateActive:
		l.markActive(c)
	}
}

// markIdle notes that no request is open on a connection.
func (l *clientListener) markIdle(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElement == nil && !c.closed {
		c.idleSince, c.idleElement = time.Now(), l.idleConns.PushBack(c)
		if l.shuttingDown {
			l.closeReading(c, false)
		}
		l.signalSlot()
	}
}

// markActive notes that bytes of a request were read. It returns false where the connection's reader has ended.
func (l *clientListener) markActive(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.readEnded {
		return false
	}
	if !c.readClosedAt.IsZero() { // the bytes came before the reader was interrupted
		c.readClosedAt = time.Time{}
		c.readAhead.setInterrupted(false)
	}
	l.removeIdle(c)
	return true
}

// closeReading has no request begin on an idle connection any more, and its reader close it. The caller holds l.mu.
func (l *clientListener) closeReading(c *clientConn, lingers bool) {
	c.readClosedAt, c.lingers = time.Now(), lingers
	c.readAhead.setInterrupted(true)
}

// endReading is the reader's word that it has no bytes of a request. It returns true where the connection is to be closed.
func (l *clientListener) endReading(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.readClosedAt.IsZero() {
		return false
	}
	c.readEnded = true
	return true
}

// requestOpen reports whether a request is open on a connection.
func (l *clientListener) requestOpen(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.idleElement == nil
}

// removeIdle takes a connection out of idleConns. The caller holds l.mu.
func (l *clientListener) removeIdle(c *clientConn) {
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// signalSlot wakes an Accept that waits for a slot.
func (l *clientListener) signalSlot() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// stopReadingIdle has idle connections, and each that becomes idle from now on, read nothing more: net/http is about to close
// them, and a request that crosses the close is its client's to send again. Were it read, it could be forwarded and its
// response lost.
func (l *clientListener) stopReadingIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = true
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.readClosedAt.IsZero() {
			l.closeReading(c, false)
		}
	}
}

// closeIdle closes connections that have been idle for a time, in two steps: first the sending side, then, after
// halfCloseTimeout, the rest. The client sees the first step before it sends again. What it sent before was either read, and
// is answered, or was not, and the end without a response tells it so. A close in one step could send a reset that
// destroys the response before it. The reader of each connection takes both steps; the next call closes those whose reader
// did not.
func (l *clientListener) closeIdle(minIdle time.Duration) {
	now := time.Now()
	var overdue []*clientConn
	l.mu.Lock()
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*clientConn); {
		case !c.readClosedAt.IsZero() && now.Sub(c.readClosedAt) >= halfCloseTimeout:
			overdue = append(overdue, c)
		case c.readClosedAt.IsZero() && now.Sub(c.idleSince) >= minIdle:
			l.closeReading(c, true)
		}
	}
	l.mu.Unlock()
	for _, c := range overdue {
		c.Close()
	}
}
