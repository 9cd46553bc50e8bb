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

// PipeNetwork is a network without sockets, for tests with the virtual time of testing/synctest. It is a net.Listener.
type PipeNetwork struct {
	conns chan net.Conn
	done  chan struct{} // closed by Close
	close func()        // closes done, once
}

// NewPipeNetwork makes a network without connections.
func NewPipeNetwork() *PipeNetwork {
	p := &PipeNetwork{conns: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

// Accept waits for a connection, until Close.
func (p *PipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections that are open stay so.
func (p *PipeNetwork) Close() error {
	p.close()
	return nil
}

// Addr is an address without meaning.
func (p *PipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to whoever accepts here, whatever the address.
func (p *PipeNetwork) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done: // http.Transport may go on dialing after its caller has left
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dial opens a connection, as the field DialContext of http.Transport does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// ServePipe serves a handler within a bubble of testing/synctest until the test ends, and returns how to dial it.
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
