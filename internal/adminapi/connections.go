package adminapi

import (
	"context"
	"net"
	"slices"
	"sync"
)

// MaxConnections is the maximum number of open connections. The package uses that many descriptors, and one for the
// listener.
const MaxConnections = 16

// limitedListener limits the number of open connections to MaxConnections. At the limit, it closes the oldest connection
// that has not delivered a complete request, to accept a new one. Otherwise, somebody who opens connections and sends
// nothing would lock operators out. It never closes connections that have delivered a request: these end on their own,
// after at most callTimeout and responseTimeout.
type limitedListener struct {
	net.Listener
	slots chan struct{} // contains one value for each open connection

	mu         sync.Mutex
	incomplete []*conn // connections without a complete request, oldest first
}

func newLimitedListener(ln net.Listener) *limitedListener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, MaxConnections)}
}

// Accept waits for a connection and, at the limit, until another connection is closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.slots <- struct{}{}:
	default:
		l.closeOldestIncomplete()
		l.slots <- struct{}{}
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete = append(l.incomplete, c)
	return c, nil
}

// closeOldestIncomplete closes the oldest connection without a complete request, if there is one.
func (l *limitedListener) closeOldestIncomplete() {
	l.mu.Lock()
	var oldest *conn
	if len(l.incomplete) > 0 {
		oldest = l.incomplete[0]
	}
	l.mu.Unlock() // Close acquires the lock
	if oldest != nil {
		oldest.Close()
	}
}

// removeIncomplete removes a connection that has delivered a complete request, or that is closed, from l.incomplete.
func (l *limitedListener) removeIncomplete(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete = slices.DeleteFunc(l.incomplete, func(other *conn) bool { return other == c })
}

// conn is a connection that releases its slot of the listener when it is closed.
type conn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection. It may be called more than once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.removeIncomplete(c)
		<-c.listener.slots
	})
	return err
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context for the requests of a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markRequestReceived marks the connection in a request's context as one that has delivered a complete request.
func markRequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.removeIncomplete(c)
	}
}
