package node

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

const (
	// idleTimeoutDivisor makes the idle timeout of a connection half of the time after which servers close idle
	// connections. The node has to close first: otherwise it could send a request while the server closes the
	// connection.
	idleTimeoutDivisor = 2

	// upstreamReadBuffer is the size in bytes of the buffer with which a response is read.
	upstreamReadBuffer = 4 << 10
)

// errNoDescriptor means that the pool has reached its connection limit and that no connection is idle. The fault is the
// node's, not the server's.
var errNoDescriptor = errors.New("no file descriptor is available for another server connection")

// connPool manages the connections to servers and sends one request at a time on each. It implements engine.Sender.
//
// It is used instead of http.Transport, which sends a request again when a reused connection breaks: that could run a
// non-idempotent request twice.
//
// A connection is in one of these states, guarded by connPool.mu:
//
//	connecting   counted in dialing; there is no upstreamConn yet
//	in use       by one attempt, from acquireOrDial until release or close; requestPending is true from beginRequest until
//	             endRequest
//	idle         in idle and idleByTarget, from release until acquireIdle
//	closed       no longer in conns. The pool closes a connection when it breaks, when it has been idle for idleTimeout,
//	             when another target needs its descriptor, when its server gets no new requests, and in closeAll.
//
// Each connection has one reading goroutine, readLoop, which also reads while the connection is idle. The attempt's
// goroutine writes.
type connPool struct {
	clock           engine.Clock
	bufferLimit     int                             // largest response that is buffered completely, in bytes
	maxIdle         int                             // limit of idle connections
	attemptEnded    func(engine.Result)             // receives the result of each attempt
	forwardResponse func(*engine.Attempt, any) bool // forwards a streamed response; false: no client waits for it
	goroutines      sync.WaitGroup                  // of attempts, and the readLoop of each connection

	log   *slog.Logger
	count func(metrics.Counter)

	mu             sync.Mutex
	dialer         net.Dialer
	idleTimeout    time.Duration
	maxConns       int // limit of open and connecting connections
	conns          map[*upstreamConn]bool
	dialing        int                                // number of connections being established
	idle           *list.List                         // of *upstreamConn, longest idle first
	idleByTarget   map[*engine.Target][]*upstreamConn // longest idle first
	histories      map[*engine.Target]*targetHistory
	lastConnNumber uint64 // upstreamConn.number of the newest connection
}

func newConnPool(clock engine.Clock, cfg Config, maxConns int, attemptEnded func(engine.Result),
	forwardResponse func(*engine.Attempt, any) bool) *connPool {
	p := &connPool{clock: clock, dialer: net.Dialer{KeepAlive: -1},
		bufferLimit: maxBuffered, maxIdle: maxConns, maxConns: maxConns,
		attemptEnded: attemptEnded, forwardResponse: forwardResponse,
		log: slog.New(slog.DiscardHandler), count: func(metrics.Counter) {},
		conns: map[*upstreamConn]bool{}, idle: list.New(), idleByTarget: map[*engine.Target][]*upstreamConn{},
		histories: map[*engine.Target]*targetHistory{}}
	p.applyConfig(cfg)
	return p
}

// applyConfig replaces the connection settings. An open connection keeps its previous idle timeout until it next
// becomes idle.
func (p *connPool) applyConfig(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.idleTimeout = cfg.connectTimeout, cfg.upstreamIdleTimeout/idleTimeoutDivisor
}

// setMaxConns sets the limit of open and connecting connections. Connections beyond it stay open until they are idle and another
// one is needed.
func (p *connPool) setMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
}

// closeIdleAbove closes idle connections, the longest idle first, while more than maxConns connections are open or connecting.
func (p *connPool) closeIdleAbove(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns)+p.dialing > maxConns && p.idle.Len() > 0 {
		p.closeLocked(p.idle.Front().Value.(*upstreamConn), closedForDescriptor)
	}
}

// openConns returns the number of open and connecting connections.
func (p *connPool) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// Start runs an attempt in a new goroutine, which reports the attempt's result.
func (p *connPool) Start(att *engine.Attempt) {
	p.goroutines.Go(func() { p.attemptEnded(p.runAttempt(att)) })
}

// Retire closes the idle connections to a server that gets no new requests.
func (p *connPool) Retire(target *engine.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idleByTarget[target]) > 0 {
		p.closeLocked(mostRecentlyUsed(p.idleByTarget[target]), closedForRetiredServer)
	}
	delete(p.idleByTarget, target)
	delete(p.histories, target)
}

// closeAll closes all connections and waits until every attempt has ended. It is called when the client of each
// outstanding attempt already has its response or is gone.
func (p *connPool) closeAll() {
	p.mu.Lock()
	for c := range p.conns {
		p.closeLocked(c, closedForShutdown)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// acquireOrDial returns an idle connection to the target that may be reused (acquireIdle), or else a new one; fresh is
// true for a new one. The error is errNoDescriptor if the connection limit is reached, or the error of connecting.
func (p *connPool) acquireOrDial(att *engine.Attempt) (c *upstreamConn, fresh bool, err error) {
	deadline := p.clock.ToTime(att.Deadline)
	p.mu.Lock()
	if c, wait := p.acquireIdle(att, deadline); c != nil {
		p.mu.Unlock()
		p.waitForReuse(c, wait)
		return c, false, nil
	}
	dialer, err := p.reserveDial()
	p.mu.Unlock()
	if err != nil {
		return nil, false, err
	}
	dialer.Deadline = p.clock.ToTime(att.WriteDeadline())
	netConn, err := dialer.Dial("tcp", att.Target.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		return nil, false, err
	}
	c, err = p.addConn(netConn, att, deadline)
	return c, true, err
}

// reserveDial counts a new connection against the limit and returns the dialer for it. If the limit is reached, it first
// closes as many connections as necessary, those that have been idle longest, whatever their target. The caller holds
// p.mu.
func (p *connPool) reserveDial() (net.Dialer, error) {
	for len(p.conns)+p.dialing >= p.maxConns && p.idle.Len() > 0 {
		p.closeLocked(p.idle.Front().Value.(*upstreamConn), closedForDescriptor)
	}
	if len(p.conns)+p.dialing >= p.maxConns {
		return net.Dialer{}, errNoDescriptor
	}
	p.dialing++
	return p.dialer, nil
}

// addConn adds an established connection, which att uses, to the pool and starts its readLoop. If addConn returns an
// error, it has closed the connection. The caller holds p.mu.
func (p *connPool) addConn(netConn net.Conn, att *engine.Attempt, deadline time.Time) (*upstreamConn, error) {
	raw, err := netConn.(syscall.Conn).SyscallConn()
	if err != nil {
		netConn.Close()
		return nil, err
	}
	now := p.clock.Now()
	p.lastConnNumber++
	c := &upstreamConn{Conn: netConn, raw: raw, number: p.lastConnNumber, pool: p, target: att.Target, responses: make(chan *upstreamResponse, 1),
		deadline: deadline, requestDeadline: att.Call.Request.Deadline, connectedAt: now, releasedAt: now}
	p.conns[c] = true
	netConn.SetDeadline(deadline)
	p.goroutines.Go(c.readLoop)
	p.count(metrics.ConnectionsOpened)
	return c, nil
}

// beginRequest records that a request is about to be written. It returns false if nothing may be written: the
// connection has broken, holds unsolicited bytes, or may not be reused yet because its server has come under suspicion.
// It checks the connection itself, because on a busy machine the readLoop may not have run since the connection broke
// or the bytes arrived.
func (p *connPool) beginRequest(c *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.beginRequestLocked(c)
}

// beginRequestLocked is beginRequest for callers that hold p.mu.
func (p *connPool) beginRequestLocked(c *upstreamConn) bool {
	if c.closed {
		return false
	}
	switch err := c.peek(); {
	case err == nil:
		p.suspectServer(c)
		return false
	case !errors.Is(err, errNothingToRead):
		p.closeLocked(c, closedByServer)
		return false
	}
	if p.reusedTooSoon(c) {
		p.closeLocked(c, closedForSuspicion)
		p.count(metrics.ConnectionsAbandoned)
		return false
	}
	now := p.clock.Now()
	c.requestPending = true
	c.uses++
	c.idleBefore = now - c.releasedAt
	c.sentAt = now
	return true
}

// endRequest records that the response to a connection's request has been read, except for a part that is streamed. The
// readLoop calls endRequest before it delivers the response, because bytes that arrive after the response belong to no
// request.
func (p *connPool) endRequest(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.requestPending = false
	c.responseReceived = true
	c.responseReadAt = p.clock.Now()
}

// release makes a connection idle, so that the next attempt to the same target can use it, or closes it and returns the
// reason.
func (p *connPool) release(c *upstreamConn) closeReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.closed:
		return c.closeReason
	case c.target.Stopped():
		p.closeLocked(c, closedForRetiredServer)
		return c.closeReason
	}
	if c.responseReceived {
		c.responseReceived = false
		p.scheduleReuse(c)
	}
	c.deadline = time.Now().Add(p.idleTimeout)
	c.SetDeadline(c.deadline)
	c.idleElement = p.idle.PushBack(c)
	p.idleByTarget[c.target] = append(p.idleByTarget[c.target], c)
	for p.idle.Len() > p.maxIdle {
		p.closeLocked(p.idle.Front().Value.(*upstreamConn), closedForMemory)
	}
	return notClosed
}

// removeIdle removes a connection from the idle connections. The caller holds p.mu.
func (p *connPool) removeIdle(c *upstreamConn) {
	p.idle.Remove(c.idleElement)
	c.idleElement = nil
	idle := p.idleByTarget[c.target]
	i := slices.Index(idle, c)
	p.idleByTarget[c.target] = slices.Delete(idle, i, i+1)
}

func (p *connPool) close(c *upstreamConn, reason closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c, reason)
}

// closeLocked closes a connection. On a closed connection it does nothing: the first reason is kept. The caller holds
// p.mu.
func (p *connPool) closeLocked(c *upstreamConn, reason closeReason) {
	if c.closed {
		return
	}
	c.closed, c.closeReason = true, reason
	if c.idleElement != nil {
		p.removeIdle(c)
	}
	c.Close()
	delete(p.conns, c)
}

// mostRecentlyUsed returns the last of a target's idle connections, which are ordered by the time of their release.
func mostRecentlyUsed(conns []*upstreamConn) *upstreamConn { return conns[len(conns)-1] }
