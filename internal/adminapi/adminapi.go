// Package adminapi serves the HTTP calls that operators make to a running node:
//
//	GET  /control/ready                    whether the process is well; also yes while out of service, unlike /ready on the
//	                                       clients' address
//	POST /control/out-of-service           send the clients away
//	POST /control/in-service               take clients again
//	POST /control/servers/SERVER/offline   disable a server: no requests to it
//	POST /control/servers/SERVER/online    enable it again
//	GET  /control/sites                    what the node knows of its peers, as JSON
//
// An answer is "yes" with status 200 once the effect holds, or "no: REASON" with status 404 for something unknown and 503
// for what can't be done now. The node is known by one small interface.
//
// The package has a listener and a bound on connections of its own (connections.go), so that no number of clients, at the
// node or here, keeps an operator out.
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
	"time"

	"hookwalk.example/hookwalk/balancer"
)

const (
	// requestTimeout is the time within which a connection must bring a complete request: until then it takes one of
	// MaxConnections from operators.
	requestTimeout = 1500 * time.Millisecond
	// callTimeout is for the node to do what a call wants. An answer is owed within 1 s; the rest is for writing it.
	callTimeout = 900 * time.Millisecond
	// responseTimeout is for the caller to read the response.
	responseTimeout = 2 * time.Second
	// maxHeaderBytes is enough for any call of operators, and bounds the memory of the others.
	maxHeaderBytes = 8 << 10
	// closeTimeout is for calls that are open when the node ends.
	closeTimeout = time.Second
)

// Node is what operators can ask of a node. A nil error says that the effect holds; after another nothing has changed.
type Node interface {
	// CheckReady says why the process is not well; nil: it serves whoever comes, in service or not.
	CheckReady() error
	// SetServerDisabled disables or enables a server. The error wraps balancer.ErrUnknownServer for one that is not known.
	SetServerDisabled(ctx context.Context, server string, disabled bool) error
	// SetInService puts the node in service or out of it.
	SetInService(ctx context.Context, inService bool) error
	// Peers is what the node knows of its peers, for JSON; nil: it has none.
	Peers() any
}

// Server answers calls on one listener.
type Server struct {
	node     Node
	log      *slog.Logger
	http     *http.Server
	listener *limitedListener
}

// New makes a Server for a listener, which it closes; Run starts it.
func New(ln net.Listener, node Node, log *slog.Logger) *Server {
	s := &Server{node: node, log: log, listener: newLimitedListener(ln)}
	s.http = &http.Server{
		Handler:        s,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout + responseTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:    withConn,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Run answers calls until Close. The error is that of the listener; nil after Close.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close closes the listener, and returns once open calls are answered, or after closeTimeout.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markRequestReceived(r.Context())
	if r.URL.EscapedPath() == "/control/sites" && r.Method == http.MethodGet {
		s.serveSites(w)
		return
	}
	method, call := s.route(r.URL.EscapedPath())
	switch {
	case call == nil:
		http.Error(w, "no such call", http.StatusNotFound)
	case r.Method != method:
		w.Header().Set("Allow", method)
		http.Error(w, "the method of this call is "+method, http.StatusMethodNotAllowed)
	default:
		s.serveCall(w, r, call)
	}
}

// serveCall makes a call to the node and answers with what came of it. A caller that leaves meanwhile wanted the effect all
// the same, so the call is carried out without it.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), callTimeout)
	defer cancel()
	err := call(ctx)
	if r.Method != http.MethodGet {
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

// serveSites answers with what the node knows of its peers. It changes nothing.
func (s *Server) serveSites(w http.ResponseWriter) {
	sites := s.node.Peers()
	if sites == nil {
		http.Error(w, "no: this node has no peers: its settings have no block peers", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(sites) // an error is of a caller that has left
}

// The calls about one server have the path serversPath SERVER / ACTION, with the ID of the server escaped.
const (
	serversPath   = "/control/servers/" // before the ID
	actionOffline = "offline"           // disable the server
	actionOnline  = "online"            // enable it
)

// route finds the call of an escaped path, and its method. call is nil if there is none.
func (s *Server) route(path string) (method string, call func(context.Context) error) {
	switch path {
	case "/control/ready":
		return http.MethodGet, func(context.Context) error { return s.node.CheckReady() }
	case "/control/out-of-service":
		return http.MethodPost, func(ctx context.Context) error { return s.node.SetInService(ctx, false) }
	case "/control/in-service":
		return http.MethodPost, func(ctx context.Context) error { return s.node.SetInService(ctx, true) }
	}
	server, action, ok := parseServerPath(path)
	if !ok {
		return "", nil
	}
	return http.MethodPost, func(ctx context.Context) error {
		return s.node.SetServerDisabled(ctx, server, action == actionOffline)
	}
}

// parseServerPath reads the path of a call about one server.
func parseServerPath(path string) (server, action string, ok bool) {
	name, found := strings.CutPrefix(path, serversPath)
	if !found {
		return "", "", false
	}
	name, action, found = strings.Cut(name, "/")
	if !found || action != actionOffline && action != actionOnline {
		return "", "", false
	}
	server, err := url.PathUnescape(name)
	return server, action, err == nil && server != ""
}
