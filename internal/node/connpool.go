package node

import (
	"bufio"
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
	// idleTimeoutDivisor sets the idle time of a connection to a server as a part of the time after which servers close
	// idle connections: the node is to close first, else a request could cross the server's close.
	idleTimeoutDivisor = 2

	// otherProcessShareDivisor leaves each of two processes of the node this part of the connections, while both run.
	otherProcessShareDivisor = 2

	// upstreamReadBuffer is the read buffer of a connection to a server, in bytes.
	upstreamReadBuffer = 4 << 10
)

// errNoDescriptor says that the node has all the connections that it may have, and none of them is idle. It is the node's
// own lack and says nothing of the server.
var errNoDescriptor = errors.New("no descriptor left for another connection")

// connPool keeps the connections to servers and sends one request at a time on each. It implements engine.Sender.
//
// It stands in place of http.Transport, which sends a request again by itself when a reused connection breaks: that could
// run a non-idempotent request twice.
//
// States of a connection. connPool.mu guards them:
//
//	connecting   counted in dialing; no upstreamConn yet
//	in use       of one attempt, from acquire until release or close; requestSent tells whether a request is on its way
//	idle         in idle and idleByTarget, from release until acquire
//	closed       no longer in conns. The pool closes it: when it breaks, when it has been idle for idleTimeout, when
//	             another target needs its descriptor, when its server gets nothing new, or at closeAll.
//
// Each connection has one goroutine that reads, also while it is idle: readLoop. The attempt's goroutine writes.
type connPool struct {
	clock        engine.Clock
	bufferLimit  int                             // of a response, in bytes
	fullMaxConns int                             // connections at once while this process is alone
	attemptEnded func(engine.Result)             // takes how an attempt ended
	passResponse func(*engine.Attempt, any) bool // takes a response that is streamed; false: nobody waits for it
	goroutines   sync.WaitGroup                  // attempts and readLoops

	log   *slog.Logger
	count func(metrics.Counter)

	mu           sync.Mutex
	dialer       net.Dialer
	idleTimeout  time.Duration
	maxConns     int // connections at once
	conns        map[*upstreamConn]bool
	dialing      int                                // connections that are coming up
	idle         *list.List                         // of *upstreamConn, the one that has been idle longest first
	idleByTarget map[*engine.Target][]*upstreamConn // the one that has been idle longest first
	histories    map[*engine.Target]*targetHistory
	lastNumber   uint64 // of a connection
}

func newConnPool(clock engine.Clock, cfg Config, maxConns int, attemptEnded func(engine.Result),
	passResponse func(*engine.Attempt, any) bool) *connPool {
	p := &connPool{clock: clock, dialer: net.Dialer{KeepAlive: -1},
		bufferLimit: bufferLimit(cfg.MemoryMB, responseMemoryDivisor, maxConns), maxConns: maxConns, fullMaxConns: maxConns,
		attemptEnded: attemptEnded, passResponse: passResponse,
		log: slog.New(slog.DiscardHandler), count: func(metrics.Counter) {},
		conns: map[*upstreamConn]bool{}, idle: list.New(), idleByTarget: map[*engine.Target][]*upstreamConn{},
		histories: map[*engine.Target]*targetHistory{}}
	p.applyConfig(cfg)
	return p
}

// applyConfig replaces the settings of connections. Those that are open keep theirs until their next use.
func (p *connPool) applyConfig(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.idleTimeout = cfg.connectTimeout, cfg.upstreamIdleTimeout/idleTimeoutDivisor
}

// shareWithOtherProcess leaves a part of the connections to another process of the node, or takes them back: the two
// share the platform's limit.
func (p *connPool) shareWithOtherProcess(sharing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConns = p.fullMaxConns; sharing {
		p.maxConns = p.fullMaxConns / otherProcessShareDivisor
	}
}

// Start runs an attempt in a goroutine of its own, which ends with the attempt's result.
func (p *connPool) Start(att *engine.Attempt) {
	p.goroutines.Go(func() { p.attemptEnded(p.runAttempt(att)) })
}

// Retire closes the idle connections to a server that gets nothing new.
func (p *connPool) Retire(target *engine.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idleByTarget[target]) > 0 {
		p.closeLocked(newest(p.idleByTarget[target]), closedForRetiredServer)
	}
	delete(p.idleByTarget, target)
	delete(p.histories, target)
}

// closeAll closes all connections and waits until every attempt has ended. Those that are still out belong to clients
// that have their response or are gone.
func (p *connPool) closeAll() {
	p.mu.Lock()
	for c := range p.conns {
		p.closeLocked(c, closedForShutdown)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// acquireOrDial returns an idle connection to the target that may be reused (acquireIdle), else a new one. It returns
// errNoDescriptor if there may be no further connection, else the error of connecting.
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
	dialer.Deadline = deadline
	nc, err := dialer.Dial("tcp", att.Target.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		return nil, false, err
	}
	c, err = p.addConn(nc, att, deadline)
	return c, true, err
}

// reserveDial reserves a place for a connection that is to come up, and returns the dialer for it. If there is none, the
// connections that have been idle longest make room, whatever their target. The caller holds p.mu.
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

// addConn adds a connection that has come up, in use, and starts its readLoop. The error is the system's, which has closed
// the connection. The caller holds p.mu.
func (p *connPool) addConn(nc net.Conn, att *engine.Attempt, deadline time.Time) (*upstreamConn, error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	now := p.clock.Now()
	p.lastNumber++
	c := &upstreamConn{Conn: nc, raw: raw, number: p.lastNumber, pool: p, target: att.Target, responses: make(chan *upstreamResponse, 1),
		deadline: deadline, requestDeadline: att.Call.Request.Deadline, connectedAt: now, releasedAt: now}
	c.reader = bufio.NewReaderSize(c, upstreamReadBuffer)
	p.conns[c] = true
	nc.SetDeadline(deadline)
	p.goroutines.Go(c.readLoop)
	p.count(metrics.ConnectionsOpened)
	return c, nil
}

// markRequestSent notes that a request is about to be written. It looks at the connection once more, and returns false if it
// has broken, or brought bytes that nobody asked for: then nothing must be written. A node may have been held up, and the
// readLoop not have come to run, since they came.
func (p *connPool) markRequestSent(c *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.markRequestSentLocked(c)
}

// markRequestSentLocked is markRequestSent for those who hold p.mu.
func (p *connPool) markRequestSentLocked(c *upstreamConn) bool {
	if c.closed {
		return false
	}
	switch err := c.look(); {
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
	c.requestSent = true
	c.uses++
	c.idleBefore = now - c.releasedAt
	c.sentAt = now
	return true
}

// endRequest notes that the response to a connection's request has begun, and as much of it been read as is buffered. Its
// readLoop calls it before it hands on the response: what comes from then on belongs to no request.
func (p *connPool) endRequest(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.requestSent = false
	c.hasAnswered = true
	c.answeredAt = p.clock.Now()
}

// release makes a connection idle, for the next attempt to the same target, or closes it and returns why.
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
	if c.hasAnswered {
		c.hasAnswered = false
		p.scheduleReuse(c)
	}
	c.deadline = time.Now().Add(p.idleTimeout)
	c.SetDeadline(c.deadline)
	c.idleElement = p.idle.PushBack(c)
	p.idleByTarget[c.target] = append(p.idleByTarget[c.target], c)
	return notClosed
}

// removeIdle takes a connection out of the idle ones. The caller holds p.mu.
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

// closeLocked closes a connection, once; only the first reason counts. The caller holds p.mu.
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

func newest(conns []*upstreamConn) *upstreamConn { return conns[len(conns)-1] }
