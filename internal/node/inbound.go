package node

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
)

// restMin is how long a connection without an open request is left alone when places run short. A caller
// sends right after it has connected, so what it sent has come by then.
const restMin = 50 * time.Millisecond

// inbound accepts connections from callers within a number of places. Callers may keep connections for good
// and some never ask: when all places are taken, the connection that has longest been without a request gives
// up its own. A caller whose request crosses that close sends it once more.
type inbound struct {
	net.Listener
	most    int
	figures *metrics.Reporter // nil: off
	doors   *doors            // nil: nobody is judged
	changed chan struct{}     // a place may be free
	done    chan struct{}
	end     func()
	retired atomic.Bool // the listener is closed, and connections go on

	mu     sync.Mutex
	open   int
	rests  *list.List // of *inConn with no open request, the longest such first
	ending bool       // what comes to rest reads nothing more
}

// inConn is a connection from a caller.
type inConn struct {
	net.Conn
	in    *inbound
	place *list.Element // in in.rests; nil: a request is open
	since time.Time     // it rests
	shut  time.Time     // nothing more is read from it; zero: it is open
	asked bool          // a request has come on it
	tags  metrics.Tags  // of its last request
	gone  bool

	// The reader's own.
	accepted time.Time
	heads    heads
	ahead    *lookahead
}

func newInbound(ln net.Listener, most int, reporter *metrics.Reporter) *inbound {
	done := make(chan struct{})
	return &inbound{Listener: ln, most: most, figures: reporter, changed: make(chan struct{}, 1), done: done,
		end: sync.OnceFunc(func() { close(done) }), rests: list.New()}
}

func (in *inbound) Accept() (net.Conn, error) {
	for {
		wait, ok := in.takePlace()
		if ok {
			break
		}
		again := time.NewTimer(wait)
		select {
		case <-in.changed:
		case <-again.C:
		case <-in.done:
		}
		again.Stop()
		select {
		case <-in.done:
			return nil, net.ErrClosed
		default:
		}
	}
	nc, err := in.Listener.Accept()
	if err != nil {
		in.mu.Lock()
		in.open--
		in.mu.Unlock()
		if in.retired.Load() {
			<-in.done
		}
		return nil, err
	}
	if in.doors != nil {
		nc = in.doors.open(nc)
	}
	c := &inConn{Conn: nc, in: in, accepted: time.Now(), ahead: newLookahead(nc)}
	in.figures.Add(c.tags, metrics.OpenConnections, 1)
	in.rest(c)
	return c, nil
}

// Close ends Accept, also while it waits for a place.
func (in *inbound) Close() error {
	in.end()
	return in.Listener.Close()
}

// retire closes the listener, of which another process has a copy. Accept waits for Close.
func (in *inbound) retire() {
	in.retired.Store(true)
	in.Listener.Close()
}

// takePlace takes a free place or makes one. If it can't, it says when to try again.
func (in *inbound) takePlace() (wait time.Duration, ok bool) {
	in.mu.Lock()
	if in.open < in.most {
		in.open++
		in.mu.Unlock()
		return 0, true
	}
	first := in.rests.Front()
	if first == nil {
		in.mu.Unlock()
		return time.Hour, false
	}
	c := first.Value.(*inConn)
	if wait = restMin - time.Since(c.since); wait <= 0 && c.shut.IsZero() {
		c.shut = time.Now() // a request that crosses the close is unread
	}
	in.mu.Unlock()
	if wait <= 0 {
		c.Close()
	}
	return max(wait, 0), false
}

// rest notes that no request is open on a connection.
func (in *inbound) rest(c *inConn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.place == nil && !c.gone {
		c.since, c.place = time.Now(), in.rests.PushBack(c)
		if in.ending && c.asked {
			c.shut = c.since
		}
		in.signal()
	}
}

// ask notes that a request has begun to come. False: its connection is shut, and it counts as unread.
func (in *inbound) ask(c *inConn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !c.shut.IsZero() {
		return false
	}
	c.asked = true
	in.leave(c)
	return true
}

// leave takes a connection from those that rest. The caller holds the lock.
func (in *inbound) leave(c *inConn) {
	if c.place != nil {
		in.rests.Remove(c.place)
		c.place = nil
	}
}

// newTime is how long the HTTP server leaves a connection alone that has asked nothing yet, when it shuts down.
const newTime = 5 * time.Second

// shutRests has every connection at rest, and each that comes to rest from now on, read nothing more: the HTTP server is
// about to close them, and a request that crosses the close is its client's to send again. One that has just come up is
// not closed, and may ask.
func (in *inbound) shutRests() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ending = true
	for e := in.rests.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*inConn); c.shut.IsZero() && (c.asked || time.Since(c.accepted) >= newTime) {
			c.shut = time.Now()
		}
	}
}

// shutTime is how long a connection that was shut waits for its client to close it too.
const shutTime = 200 * time.Millisecond

// sweep ends the connections that have rested for long. It ends the sending side first: a client sees that before it
// asks again, and what it has sent already was read, and is answered, or is not, and the client knows by the end
// without an answer. A close at once could reset the answer before it.
func (in *inbound) sweep(rest time.Duration) {
	now := time.Now()
	var shut, over []*inConn
	in.mu.Lock()
	for e := in.rests.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*inConn); {
		case !c.shut.IsZero() && now.Sub(c.shut) >= shutTime:
			over = append(over, c)
		case c.shut.IsZero() && now.Sub(c.since) >= rest:
			c.shut = now
			shut = append(shut, c)
		}
	}
	in.mu.Unlock()
	for _, c := range shut {
		c.CloseWrite()
	}
	for _, c := range over {
		c.Close()
	}
}

// CloseWrite ends the sending side. The HTTP server does so too where it leaves something unread.
func (c *inConn) CloseWrite() error {
	nc := c.Conn
	if k, ok := nc.(*knownConn); ok {
		nc = k.Conn
	}
	if t, ok := nc.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// count is how many connections are open.
func (in *inbound) count() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.open
}

// tag counts a connection under the tags of its last request.
func (c *inConn) tag(t metrics.Tags) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.gone || c.tags == t {
		return
	}
	c.in.figures.Add(c.tags, metrics.OpenConnections, -1)
	c.in.figures.Add(t, metrics.OpenConnections, 1)
	c.tags = t
}

func (in *inbound) signal() {
	select {
	case in.changed <- struct{}{}:
	default:
	}
}

// watch is told by the HTTP server what state a connection is in.
func (in *inbound) watch(nc net.Conn, s http.ConnState) {
	switch c := nc.(*inConn); s {
	case http.StateIdle:
		in.rest(c)
	case http.StateActive:
		in.ask(c)
	}
}

// Read sees the first byte of a request: the server's state changes only after its whole head.
func (c *inConn) Read(b []byte) (int, error) {
	c.ahead.stop()
	n, err := c.heads.read(c.ahead.Read, b)
	for n == 0 && len(b) == 1 && errors.Is(err, os.ErrDeadlineExceeded) && c.ahead.outlasts() {
		n, err = c.heads.read(c.ahead.Read, b)
	}
	if n > 0 && !c.in.ask(c) {
		return 0, io.EOF
	}
	if n == 1 && len(b) == 1 { // the HTTP server's look ahead while a request is open
		c.ahead.holds()
	}
	return n, err
}

// SetReadDeadline is the HTTP server's.
func (c *inConn) SetReadDeadline(t time.Time) error { return c.ahead.setReadDeadline(t) }

// Close gives the place back.
func (c *inConn) Close() error {
	err := c.Conn.Close()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.leave(c)
	if !c.gone {
		c.gone = true
		c.in.figures.Add(c.tags, metrics.OpenConnections, -1)
		c.in.open--
		c.in.signal()
	}
	return err
}
