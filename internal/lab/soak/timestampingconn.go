package soak

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// timestampingListener accepts connections that record when they last read bytes. On a busy machine a handler may run much
// later than that.
type timestampingListener struct {
	net.Listener
	recorder *recorder
}

// Accept waits for a connection and wraps it in a timestampingConn.
func (l timestampingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timestampingConn{Conn: c, recorder: l.recorder}, nil
}

// timestampingConn records the time of the last read that returned bytes, on the clock of the run.
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

// connContextKey is the context key for the timestampingConn of a request.
type connContextKey struct{}

// withConn stores a connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// lastRead returns when bytes of a request were last read. Until the handler reads the body, these are bytes of the head.
func lastRead(r *http.Request) time.Duration {
	return time.Duration(connOf(r).lastRead.Load())
}

// connOf returns the connection on which a request arrived.
func connOf(r *http.Request) *timestampingConn {
	return r.Context().Value(connContextKey{}).(*timestampingConn)
}
