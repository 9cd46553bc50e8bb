// Package adminapi serves the HTTP calls that operators make to a running node:
//
//	GET  /control/ready                    whether the process can serve clients; also "yes" while the node is out of
//	                                       service, unlike /ready on the clients' address
//	POST /control/out-of-service           put the node out of service: clients are sent away
//	POST /control/in-service               put the node back in service
//	POST /control/servers/SERVER/offline   disable a server: it gets no requests
//	POST /control/servers/SERVER/online    enable a server again
//	GET  /control/sites                    what the node knows about its peers, as JSON
//
// The response is "yes" with status 200 once the call has taken effect, or "no: REASON" with status 404 if something is
// unknown, or with status 503 if the call is not possible now. The package accesses the node through the interface Node.
//
// The package has its own listener and its own limit on connections (connections.go), so that operators can always connect,
// however many clients connect to the node or to this listener.
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
	// requestTimeout is the time in which a connection must deliver a complete request. Until then the connection occupies
	// one of MaxConnections.
	requestTimeout = 1500 * time.Millisecond
	// callTimeout is the time in which the node must carry out a call. An operator must get a response within 1 s; the
	// remaining time is for writing it.
	callTimeout = 900 * time.Millisecond
	// responseTimeout is the time in which the caller must read the response.
	responseTimeout = 2 * time.Second
	// maxHeaderBytes is sufficient for any valid call, and limits the memory that other requests can use.
	maxHeaderBytes = 8 << 10
	// closeTimeout is how long Close waits for open calls.
	closeTimeout = time.Second
)

// Node is the interface of a node for operators. A nil error means that the call has taken effect; after an error, nothing
// has changed.
type Node interface {
	// CheckReady returns why the process can't serve clients, or nil if it can. Being out of service is not an error.
	CheckReady() error
	// SetServerDisabled disables or enables a server. If the server is unknown, the error wraps balancer.ErrUnknownServer.
	SetServerDisabled(ctx context.Context, server string, disabled bool) error
	// SetInService puts the node in service or out of service.
	SetInService(ctx context.Context, inService bool) error
	// Peers returns what the node knows about its peers, as a value to encode as JSON, or nil if the node has no peers.
	Peers() any
}

// Server serves operators' calls on one listener.
type Server struct {
	node     Node
	log      *slog.Logger
	http     *http.Server
	listener *limitedListener
}

// New returns a Server for a listener. Run starts the Server, and Close closes the listener.
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

// Run serves calls until Close. It returns the error of the listener, or nil after Close.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Close closes the listener. It returns when all open calls are answered, or after closeTimeout.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// ServeHTTP serves one call.
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

// serveCall passes a call to the node and responds with the result. If the caller disconnects, the call still completes,
// because the caller wanted its effect.
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

// serveSites responds with what the node knows about its peers.
func (s *Server) serveSites(w http.ResponseWriter) {
	sites := s.node.Peers()
	if sites == nil {
		http.Error(w, "no: this node has no peers: its settings have no block peers", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(sites) // fails only if the caller has disconnected
}

// The path of a call about one server is serversPath SERVER / ACTION, with the server's ID escaped.
const (
	serversPath   = "/control/servers/"
	actionOffline = "offline" // disable the server
	actionOnline  = "online"  // enable the server
)

// route returns the HTTP method and the call for an escaped path. call is nil if the path is unknown.
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

// parseServerPath parses the escaped path of a call about one server.
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
