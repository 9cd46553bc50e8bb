package soak

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// clockListener accepts connections that note when bytes were read last. A handler may come to run much later than that on a
// busy machine.
type clockListener struct {
	net.Listener
	recorder *recorder
}

// Accept waits for a connection.
func (l clockListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clockConn{Conn: c, recorder: l.recorder}, nil
}

// clockConn notes the time of its last read that brought something, on the run's clock.
type clockConn struct {
	net.Conn
	recorder *recorder
	lastRead atomic.Int64
	behind   behind
}

func (c *clockConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(c.recorder.now()))
	}
	return n, err
}

// clockConnKey is the context key of the clockConn that a request came on.
type clockConnKey struct{}

// withClockConn lets requests find their connection.
func withClockConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clockConnKey{}, c)
}

// lastRead is when bytes of a request were read last. Until its body is read, these are of its head.
func lastRead(r *http.Request) time.Duration {
	return time.Duration(clockConnOf(r).lastRead.Load())
}

// clockConnOf is the connection that a request came on.
func clockConnOf(r *http.Request) *clockConn { return r.Context().Value(clockConnKey{}).(*clockConn) }
