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

// Paths of a call. A call is answered once it has passed all services of a chain.
const (
	directPath = "/direct" // from each server to one of the next service, without a node
	nodePath   = "/node"   // from each server through the node of the next service
)

// answer is the body of the response to a call.
const answer = "{\"ok\":true}\n"

// Service is a stand-in for one service of a chain. Its servers answer immediately or, if there is a next service, when
// that has answered. All servers share the code that serves a call, so that many servers cost no more than one.
type Service struct {
	name        string
	hosts       []loopback.Endpoint
	servers     []*http.Server
	serving     sync.WaitGroup
	client      *http.Client
	next        *Service      // nil in the last service of the chain
	nextNode    func() string // address of the node in front of next
	directCalls atomic.Uint64
	received    []atomic.Int64 // calls received, by server
	attempts    atomic.Int64   // calls received from a node
}

// NewService starts the given number of servers, each at its own address. The caller must call Close.
func NewService(name string, servers int) (*Service, error) {
	s := &Service{name: name, client: newClient(), received: make([]atomic.Int64, servers)}
	for i := range servers {
		if err := s.listen(i); err != nil {
			return nil, errors.Join(fmt.Errorf("scale: service %s: %w", name, err), s.Close())
		}
	}
	return s, nil
}

// listen starts one server at an address of its own.
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
	s.serving.Go(func() { _ = server.Serve(ln) }) // returns an error after Close, as intended
	return nil
}

// Hosts returns the service's servers.
func (s *Service) Hosts() []loopback.Endpoint { return s.hosts }

// Received returns the number of calls that one of the servers has received.
func (s *Service) Received(server int) int64 { return s.received[server].Load() }

// Attempts returns the number of calls that the service has received from a node.
func (s *Service) Attempts() int64 { return s.attempts.Load() }

// SetNext sets the service that this one calls. Calls on nodePath are sent through the node whose address node returns.
func (s *Service) SetNext(next *Service, node func() string) { s.next, s.nextNode = next, node }

// DirectURL returns the URL of the next call without a node. It selects the servers in turn.
func (s *Service) DirectURL() string {
	number := s.directCalls.Add(1)
	return "http://" + s.hosts[number%uint64(len(s.hosts))].Dial + directPath
}

// serve answers a call. If there is a next service, it calls that service first.
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
	_, _ = io.WriteString(w, answer) // fails only if the client has disconnected
}

// forward makes the call to the next service, through its node if the call was itself made through a node.
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

// Close stops all servers and closes their connections.
func (s *Service) Close() error {
	var all error
	for _, server := range s.servers {
		all = errors.Join(all, server.Close())
	}
	s.client.CloseIdleConnections()
	s.serving.Wait()
	return all
}
