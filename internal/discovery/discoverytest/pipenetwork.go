package discoverytest

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
)

// PipeNetwork is a network without sockets, for tests that use the virtual time of testing/synctest. It is a
// net.Listener.
type PipeNetwork struct {
	conns chan net.Conn
	done  chan struct{} // closed by Close
	close func()        // closes done, once
}

// NewPipeNetwork returns a network without connections.
func NewPipeNetwork() *PipeNetwork {
	p := &PipeNetwork{conns: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

// Accept waits for a connection or for Close.
func (p *PipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Open connections stay open.
func (p *PipeNetwork) Close() error {
	p.close()
	return nil
}

// Addr returns an empty address, which only completes the net.Listener interface.
func (p *PipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the goroutine that calls Accept, whatever the address.
func (p *PipeNetwork) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done: // http.Transport may keep dialing after its caller has returned
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dial opens a connection; it has the type of http.Transport's field DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// ServePipe serves a handler in a testing/synctest bubble until the test ends, and returns a function that connects to
// it.
func ServePipe(t testing.TB, h http.Handler) Dial {
	t.Helper()
	p := NewPipeNetwork()
	server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(p)
	}()
	t.Cleanup(func() {
		p.Close()
		server.Close()
		<-done
	})
	return p.Dial
}
