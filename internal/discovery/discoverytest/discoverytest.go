// Package discoverytest has stand-ins of discovery for the tests of those that watch it, as net/http/httptest has of
// servers. Only tests import it.
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

// CompleteList is a whole list of one server, as discovery writes it.
const CompleteList = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

// Agent is a discovery that answers from a script.
type Agent struct {
	Calls    chan string   // "watch FROM" or "list", of each call that came
	Lines    chan string   // each is written to the watch that takes it
	EndWatch chan struct{} // ends the watch that takes it

	whole string
}

// NewAgent makes an Agent that answers a call for the whole list with whole.
func NewAgent(whole string) *Agent {
	return &Agent{whole: whole, Calls: make(chan string, 100), Lines: make(chan string), EndWatch: make(chan struct{})}
}

// ServeHTTP answers one call.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		a.Calls <- "list"
		fmt.Fprintln(w, a.whole)
		return
	}
	a.Calls <- "watch " + r.URL.Query().Get("from")
	w.(http.Flusher).Flush()
	for {
		select {
		case l := <-a.Lines:
			fmt.Fprintln(w, l)
			w.(http.Flusher).Flush()
		case <-a.EndWatch:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// WantCall waits for the next call and fails the test if it is another one than wanted.
func (a *Agent) WantCall(t testing.TB, want string) {
	t.Helper()
	if got := <-a.Calls; got != want {
		t.Fatalf("discovery was asked for %q, want %q", got, want)
	}
}

// Serve serves a handler on loopback until the test ends, and returns its address.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// Pipes is a network without sockets, for tests whose time is not the machine's. It is a net.Listener.
type Pipes struct {
	conns chan net.Conn
	done  chan struct{}
	close func()
}

// NewPipes makes a network on which nobody calls yet.
func NewPipes() *Pipes {
	p := &Pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

// Accept waits for a call, until Close.
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

// Addr is nobody's address.
func (p *Pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Dial calls whoever accepts here, whatever the address.
func (p *Pipes) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-p.done: // http.Transport may go on dialing after its caller has left
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dial is the form of a way to a server, as in http.Transport.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pipe serves a handler in a bubble of testing/synctest until the test ends, and returns the way there.
func Pipe(t testing.TB, h http.Handler) Dial {
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
