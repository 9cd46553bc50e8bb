// Package discoverytest has stand-ins for discovery, as net/http/httptest has for servers: an agent that answers from a
// script, and a network without sockets for tests within a bubble of testing/synctest. Only tests import it.
package discoverytest

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// CompleteList is a complete list of one endpoint, as discovery writes it.
const CompleteList = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

// Agent is a discovery that answers from a script.
type Agent struct {
	Calls    chan string   // of each poll that came, "watch FROM" or "list"
	Lines    chan string   // each is written to the one watch that takes it
	EndWatch chan struct{} // ends the one watch that takes it

	completeList string
}

// maxCalls is how many polls may come before the test looks at them.
const maxCalls = 100

// NewAgent makes an Agent that answers a poll without a watch with the complete list.
func NewAgent(completeList string) *Agent {
	return &Agent{completeList: completeList, Calls: make(chan string, maxCalls), Lines: make(chan string), EndWatch: make(chan struct{})}
}

// ServeHTTP answers one poll. A watch brings what Lines has, until EndWatch or the client ends it.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		a.Calls <- "list"
		fmt.Fprintln(w, a.completeList)
		return
	}
	a.Calls <- "watch " + r.URL.Query().Get("from")
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-a.Lines:
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		case <-a.EndWatch:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// WantCall waits for the next poll, and fails the test if it is not as wanted, in the form of Calls.
func (a *Agent) WantCall(t testing.TB, want string) {
	t.Helper()
	if got := <-a.Calls; got != want {
		t.Fatalf("discovery was polled for %q, want %q", got, want)
	}
}

// Serve serves a handler on loopback until the test ends, and returns its address.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// Pipes is a network without sockets, for tests with the virtual time of testing/synctest. It is a net.Listener.
type Pipes struct {
	conns chan net.Conn
	done  chan struct{} // closed by Close
	close func()        // closes done, once
}

// NewPipes makes a network without connections.
func NewPipes() *Pipes {
	p := &Pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

// Accept waits for a connection, until Close.
func (p *Pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections that are open stay so.
func (p *Pipes) Close() error {
	p.close()
	return nil
}

// Addr is an address without meaning.
func (p *Pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to whoever accepts here, whatever the address.
func (p *Pipes) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
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

// Pipe serves a handler within a bubble of testing/synctest until the test ends, and returns how to dial it.
func Pipe(t testing.TB, h http.Handler) Dial {
	t.Helper()
	p := NewPipes()
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
