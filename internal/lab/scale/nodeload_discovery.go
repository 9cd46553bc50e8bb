package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// WatchServer is a stand-in for discovery that serves one list to one node and counts the bytes. Package loopback
// also has a stand-in, which needs simulated servers and a checker. This one has a low cost compared with the measured
// node, and uses the same format.
type WatchServer struct {
	listener *segmentListener
	server   *http.Server
	serving  sync.WaitGroup

	mu      sync.Mutex
	version int64
	hosts   []loopback.Endpoint
	changed []int64       // by host: the version of its last change
	updated chan struct{} // closed at the next change
}

// NewWatchServer serves the given list of servers as version 1. The caller must call Close.
func NewWatchServer(hosts []loopback.Endpoint) (*WatchServer, error) {
	ln, err := link.Listen(0, link.ForDiscovery)
	if err != nil {
		return nil, fmt.Errorf("scale: stand-in for discovery: %w", err)
	}
	s := &WatchServer{listener: newSegmentListener(ln), version: 1, hosts: slices.Clone(hosts),
		changed: slices.Repeat([]int64{1}, len(hosts)), updated: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", s.serve)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s.serving.Go(func() { _ = s.server.Serve(s.listener) }) // returns an error after Close, which is expected
	return s, nil
}

// Addr returns the address that serves the list.
func (s *WatchServer) Addr() string { return s.listener.Addr().String() }

// Traffic returns the traffic of the list's connections so far.
func (s *WatchServer) Traffic() Traffic { return s.listener.Traffic() }

// Close ends all watches.
func (s *WatchServer) Close() error {
	err := s.server.Close()
	s.serving.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CompleteList returns the current list.
func (s *WatchServer) CompleteList() loopback.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loopback.EndpointList{Seq: s.version, Complete: true, Endpoints: slices.Clone(s.hosts)}
}

// SetHealth changes one server's health and increments the list's version.
func (s *WatchServer) SetHealth(index int, health string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.hosts[index].Health, s.changed[index] = health, s.version
	close(s.updated)
	s.updated = make(chan struct{})
}

// Change applies one of a series of changes, numbered from 0. Even numbers take a server out of service, odd numbers put
// the same server back, and each pair moves on to the next server in the list.
func (s *WatchServer) Change(number int) {
	health := terminating
	if number%2 == 1 {
		health = inService
	}
	s.SetHealth(number/2%len(s.hosts), health)
}

// changesSince returns the changes after a version, or the complete list if the version is 0 or unknown.
func (s *WatchServer) changesSince(version int64) listUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.version {
		version = 0
	}
	list := loopback.EndpointList{Seq: s.version, Complete: version == 0, Endpoints: []loopback.Endpoint{}}
	for i, host := range s.hosts {
		if s.changed[i] > version {
			list.Endpoints = append(list.Endpoints, host)
		}
	}
	return listUpdate{list: list, version: s.version, updated: s.updated}
}

// serve answers a request for the complete list or for a watch.
func (s *WatchServer) serve(w http.ResponseWriter, r *http.Request) { serveList(w, r, s.changesSince) }

// completeListBytes returns the length of the complete list in the form in which it is served.
func completeListBytes(s *WatchServer) (int, error) {
	text, err := json.Marshal(s.CompleteList())
	return len(text) + len("\n"), err
}
