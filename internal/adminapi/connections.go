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
	taken chan struct{} // holds a value for each open connection

	mu      sync.Mutex
	waiting []*conn // without a complete request, the oldest first
}

func newLimitedListener(ln net.Listener) *limitedListener {
	return &limitedListener{Listener: ln, taken: make(chan struct{}, MaxConnections)}
}

// Accept waits for a connection, and for its place among the open ones.
func (l *limitedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.taken <- struct{}{}:
	default:
		l.closeOldestWaiting()
		l.taken <- struct{}{}
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, c)
	return c, nil
}

// closeOldestWaiting closes the oldest connection without a complete request, if there is one.
func (l *limitedListener) closeOldestWaiting() {
	l.mu.Lock()
	var oldest *conn
	if len(l.waiting) > 0 {
		oldest = l.waiting[0]
	}
	l.mu.Unlock() // Close takes the lock
	if oldest != nil {
		oldest.Close()
	}
}

// stopWaiting notes that a connection has brought a request, or is closed.
func (l *limitedListener) stopWaiting(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(other *conn) bool { return other == c })
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
		c.listener.stopWaiting(c)
		<-c.listener.taken
	})
	return err
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn is the context of a connection's requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// noteRequest notes that the connection of a request's context has brought it.
func noteRequest(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.stopWaiting(c)
	}
}
