package soak

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// timestampingListener accepts connections that note when bytes were read last. A handler may come to run much later than that on a
// busy machine.
type timestampingListener struct {
	net.Listener
	recorder *recorder
}

// Accept waits for a connection.
func (l timestampingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timestampingConn{Conn: c, recorder: l.recorder}, nil
}

// timestampingConn notes the time of its last read that brought something, on the run's clock.
type timestampingConn struct {
	net.Conn
	recorder *recorder
	lastRead atomic.Int64
	trailer  answerTrailer
}

func (c *timestampingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(c.recorder.now()))
	}
	return n, err
}

// connContextKey is the context key of the clockConn that a request came on.
type connContextKey struct{}

// withConn lets requests find their connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// lastRead is when bytes of a request were read last. Until its body is read, these are of its head.
func lastRead(r *http.Request) time.Duration {
	return time.Duration(connOf(r).lastRead.Load())
}

// connOf is the connection that a request came on.
func connOf(r *http.Request) *timestampingConn {
	return r.Context().Value(connContextKey{}).(*timestampingConn)
}
