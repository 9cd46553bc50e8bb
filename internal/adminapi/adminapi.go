// Package adminapi answers the calls that operators make to a running node: whether it takes clients, which servers are
// to be left alone, whether clients are to be sent away. It has a listener and places of its own, so that no crowd of
// clients keeps operators out, and knows the node by one small interface. What a call wants holds when it is answered.
package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

const (
	// MaxConnections is how many connections are held at once. With the listener that is what it costs of the descriptors.
	MaxConnections = 16
	wholeCall      = 1500 * time.Millisecond // for a connection to bring a whole call
	effect         = 900 * time.Millisecond  // for what a call wants to hold; an answer is owed within 1 s
	answer         = 2 * time.Second         // for whoever called to take the answer
	maxHead        = 8 << 10                 // bytes
	lastCalls      = time.Second             // for calls that are open when the node ends
)

// Node is what can be asked of a node. A nil error says that the effect holds; else nothing has changed.
type Node interface {
	CheckReady() error // why it does not
	SetServerDisabled(ctx context.Context, server string, out bool) error
	SetInService(ctx context.Context, in bool) error // in service or out of it
	Sites() any                                      // what it knows of its peers; nil: it has none
}

// Server answers calls on one listener.
type Server struct {
	node Node
	log  *slog.Logger
	http *http.Server
	in   *places
}

// New makes a Server for a listener; Run starts it.
func New(ln net.Listener, node Node, log *slog.Logger) *Server {
	s := &Server{node: node, log: log, in: &places{Listener: ln, free: make(chan struct{}, MaxConnections)}}
	s.http = &http.Server{Handler: s, ReadTimeout: wholeCall, WriteTimeout: wholeCall + answer, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Run answers calls until Close.
func (s *Server) Run() error {
	if err := s.http.Serve(s.in); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close ends the listener, lets calls that are open come to their answer and returns.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), lastCalls)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.in.whole(c)
	}
	if r.URL.EscapedPath() == "/control/sites" && r.Method == http.MethodGet {
		s.sites(w)
		return
	}
	method, act := s.route(r.URL.EscapedPath())
	switch {
	case act == nil:
		http.Error(w, "no such call", http.StatusNotFound)
		return
	case r.Method != method:
		w.Header().Set("Allow", method)
		http.Error(w, "the method of this call is "+method, http.StatusMethodNotAllowed)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), effect) // a caller that left wanted it all the same
	defer cancel()
	err := act(ctx)
	if method != http.MethodGet {
		s.log.Info("control", "call", r.URL.Path, "from", r.RemoteAddr, "err", err)
	}
	switch {
	case err == nil:
		fmt.Fprintln(w, "yes")
	case errors.Is(err, balancer.ErrUnknownServer):
		http.Error(w, "no: "+err.Error(), http.StatusNotFound)
	default:
		http.Error(w, "no: "+err.Error(), http.StatusServiceUnavailable)
	}
}

// sites answers what the node knows of its peers. It changes nothing.
func (s *Server) sites(w http.ResponseWriter) {
	v := s.node.Sites()
	if v == nil {
		http.Error(w, "no: this node has no peers: its settings have no block peers", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) // a caller that has left reads nothing
}

// route finds the call of a path. act is nil if there is none.
func (s *Server) route(path string) (method string, act func(context.Context) error) {
	switch path {
	case "/control/ready":
		return http.MethodGet, func(context.Context) error { return s.node.CheckReady() }
	case "/control/out-of-service":
		return http.MethodPost, func(ctx context.Context) error { return s.node.SetInService(ctx, false) }
	case "/control/in-service":
		return http.MethodPost, func(ctx context.Context) error { return s.node.SetInService(ctx, true) }
	}
	rest, ok := strings.CutPrefix(path, "/control/servers/")
	name, what, found := strings.Cut(rest, "/")
	id, err := url.PathUnescape(name)
	if !ok || !found || err != nil || id == "" || what != "offline" && what != "online" {
		return "", nil
	}
	return http.MethodPost, func(ctx context.Context) error { return s.node.SetServerDisabled(ctx, id, what == "offline") }
}

type connKey struct{}

// places accepts connections within a bound. When all places are taken the oldest connection that has not brought a
// whole call gives up its own.
type places struct {
	net.Listener
	free chan struct{} // holds one for each place that is taken

	mu   sync.Mutex
	open []*conn // without a whole call, the oldest first
}

type conn struct {
	net.Conn
	in   *places
	once sync.Once
}

func (p *places) Accept() (net.Conn, error) {
	nc, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, in: p}
	select {
	case p.free <- struct{}{}:
	default:
		p.makeRoom()
		p.free <- struct{}{} // calls that are whole end by themselves
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, c)
	return c, nil
}

// makeRoom closes the oldest connection without a whole call.
func (p *places) makeRoom() {
	p.mu.Lock()
	var oldest *conn
	if len(p.open) > 0 {
		oldest = p.open[0]
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// whole notes that a connection has brought a call, or is over.
func (p *places) whole(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.open {
		if o == c {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return
		}
	}
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.in.whole(c)
		<-c.in.free
	})
	return err
}
