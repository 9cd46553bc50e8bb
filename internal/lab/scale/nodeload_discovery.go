package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// heartbeatEvery is the time between two empty lines on a watch, as discovery has it.
const heartbeatEvery = 2 * time.Second

// headerTimeout bounds the reading of a request's header at a stand-in.
const headerTimeout = 5 * time.Second

// Health of a server in a list, as discovery writes it.
const (
	inService   = "in_service"
	terminating = "terminating"
)

// WatchServer is a stand-in for discovery that serves one list to one node and counts the bytes. Package sockets has a
// stand-in too, which belongs to a whole world with model servers and an auditor; this one is light enough to measure
// beside, and writes the same form.
type WatchServer struct {
	listener *countingListener
	server   *http.Server
	serving  sync.WaitGroup

	mu      sync.Mutex
	version int64
	hosts   []loopback.Endpoint
	changed []int64       // by host: the version that changed it last
	news    chan struct{} // closed at the next change
}

// NewWatchServer serves a list of servers, all as they are given, as version 1. Close must follow.
func NewWatchServer(hosts []loopback.Endpoint) (*WatchServer, error) {
	ln, err := link.Listen(0, link.ForDiscovery)
	if err != nil {
		return nil, fmt.Errorf("scale: stand-in for discovery: %w", err)
	}
	s := &WatchServer{listener: newCountingListener(ln), version: 1, hosts: slices.Clone(hosts),
		changed: slices.Repeat([]int64{1}, len(hosts)), news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", s.serve)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s.serving.Go(func() { _ = s.server.Serve(s.listener) }) // ends with Close, which is no error
	return s, nil
}

// Addr is where the list is served.
func (s *WatchServer) Addr() string { return s.listener.Addr().String() }

// Traffic is what has gone over the list's connections so far.
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

// Whole is the whole list.
func (s *WatchServer) Whole() loopback.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loopback.EndpointList{Seq: s.version, Complete: true, Endpoints: slices.Clone(s.hosts)}
}

// SetHealth changes one server's state, which is one new version.
func (s *WatchServer) SetHealth(index int, health string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.hosts[index].Health, s.changed[index] = health, s.version
	close(s.news)
	s.news = make(chan struct{})
}

// Change makes the next of a series of changes, numbered from 0: a server is taken out of service, the next change puts
// it back, and so on through the list.
func (s *WatchServer) Change(number int) {
	health := terminating
	if number%2 == 1 {
		health = inService
	}
	s.SetHealth(number/2%len(s.hosts), health)
}

// since gives the changes after a version, and what is closed at the next change.
func (s *WatchServer) since(version int64) (loopback.EndpointList, <-chan struct{}) {
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
	return list, s.news
}

// serve answers a call for the whole list, or keeps a watch.
func (s *WatchServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(s.Whole()) // a caller that is gone reads nothing
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no number", http.StatusBadRequest)
		return
	}
	s.follow(w, r, from)
}

// follow writes the changes after a version, then every change as it comes, and empty lines between, until the caller
// goes.
func (s *WatchServer) follow(w http.ResponseWriter, r *http.Request, version int64) {
	encoder, flusher := json.NewEncoder(w), w.(http.Flusher)
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		list, news := s.since(version)
		if first || list.Seq > version {
			if encoder.Encode(list) != nil {
				return
			}
			flusher.Flush()
			version = list.Seq
		}
		select {
		case <-news:
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// wholeListBytes is the length of a whole list as it is served.
func wholeListBytes(s *WatchServer) (int, error) {
	text, err := json.Marshal(s.Whole())
	return len(text) + len("\n"), err
}
