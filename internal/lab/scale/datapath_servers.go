package scale

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// Paths of a call. It is answered once it has passed all services of a chain.
const (
	directPath = "/direct" // from each server to one of the next service, without a node
	nodePath   = "/node"   // from each server through the node of the next service
)

// answer is the body of a call's answer.
const answer = "{\"ok\":true}\n"

// Service is a stand-in for one service of a chain: some addresses whose servers answer at once, or when the next
// service has answered. One handler serves all addresses, so that many servers cost no more than one.
type Service struct {
	name        string
	hosts       []loopback.Endpoint
	servers     []*http.Server
	serving     sync.WaitGroup
	client      *http.Client
	next        *Service      // nil: the last of the chain
	nextNode    func() string // address of the node in front of next
	directCalls atomic.Uint64
	received    []atomic.Int64 // calls, by server
	attempts    atomic.Int64   // calls that came from a node
}

// NewService begins to serve at so many addresses. Close must follow.
func NewService(name string, servers int) (*Service, error) {
	s := &Service{name: name, client: newClient(), received: make([]atomic.Int64, servers)}
	for i := range servers {
		if err := s.listen(i); err != nil {
			return nil, errors.Join(fmt.Errorf("scale: service %s: %w", name, err), s.Close())
		}
	}
	return s, nil
}

// listen opens the address of one server.
func (s *Service) listen(index int) error {
	ln, err := link.Listen(0, link.ForServer)
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		s.received[index].Add(1)
		s.serve(w, r)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	s.hosts = append(s.hosts, loopback.NewEndpoint(fmt.Sprintf("%s-%d", s.name, index), "plain", ln.Addr().String(), index))
	s.serving.Go(func() { _ = server.Serve(ln) }) // ends with Close, which is no error
	return nil
}

// Hosts is the list of the service's servers.
func (s *Service) Hosts() []loopback.Endpoint { return s.hosts }

// Received counts the calls that have reached one of the servers.
func (s *Service) Received(server int) int64 { return s.received[server].Load() }

// Attempts counts the calls that a node has sent.
func (s *Service) Attempts() int64 { return s.attempts.Load() }

// SetNext has this service call another one, through a node for calls on nodePath.
func (s *Service) SetNext(next *Service, node func() string) { s.next, s.nextNode = next, node }

// DirectURL is the address of the next call without a node; the servers take turns.
func (s *Service) DirectURL() string {
	number := s.directCalls.Add(1)
	return "http://" + s.hosts[number%uint64(len(s.hosts))].Dial + directPath
}

// serve answers a call, after the next service has if there is one.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == nodePath {
		s.attempts.Add(1)
	}
	if s.next != nil {
		if err := s.forward(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, answer) // a client that is gone reads nothing
}

// forward makes the call at the next service, with or without a node as it has come.
func (s *Service) forward(r *http.Request) error {
	url := s.next.DirectURL()
	if r.URL.Path == nodePath {
		url = "http://" + s.nextNode() + nodePath
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, url, nil)
	if err != nil {
		return err
	}
	request.Header = r.Header.Clone()
	return roundTrip(s.client, request)
}

// Close ends all servers and their connections.
func (s *Service) Close() error {
	var all error
	for _, server := range s.servers {
		all = errors.Join(all, server.Close())
	}
	s.client.CloseIdleConnections()
	s.serving.Wait()
	return all
}
