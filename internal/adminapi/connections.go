package adminapi

import (
	"context"
	"net"
	"slices"
	"sync"
)

// MaxConnections is how many connections are open at once. With the listener that is what the package costs in descriptors.
const MaxConnections = 16

// limitedListener accepts at most MaxConnections. When all are taken, the oldest connection that has not brought a complete
// request is closed for the next one. Without that, whoever opens connections and sends nothing keeps operators out.
// Connections with a request are never closed: they end by themselves, within effectTimeout and responseTimeout.
type limitedListener struct {
	net.Listener
	slots chan struct{} // holds a value for each open connection

	mu         sync.Mutex
	incomplete []*conn // without a complete request, the oldest first
}

func newLimitedListener(ln net.Listener) *limitedListener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, MaxConnections)}
}

// Accept waits for a connection, and for its place among the open ones.
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
	l.mu.Unlock() // Close takes the lock
	if oldest != nil {
		oldest.Close()
	}
}

// removeIncomplete notes that a connection has brought a request, or is closed.
func (l *limitedListener) removeIncomplete(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete = slices.DeleteFunc(l.incomplete, func(other *conn) bool { return other == c })
}

// conn is a connection that gives its place back once it is closed.
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

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn is the context of a connection's requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markRequestReceived notes that the connection of a request's context has brought it.
func markRequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.removeIncomplete(c)
	}
}
