package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxServiceTime    = 20 * time.Millisecond // of a request at a server, at most
	serverIdleTimeout = time.Second           // a server closes a connection that rests for so long
	hangTime          = time.Minute           // what a server that hangs takes
)

// server is a stand-in for a server of the tier behind the nodes.
type server struct {
	index    int
	recorder *recorder
	http     *http.Server
	addr     string
	faults   activeFaults
}

// faults are those that are on at present.
type activeFaults struct {
	mu     sync.Mutex
	active []Fault
}

func (f *activeFaults) begin(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

func (f *activeFaults) end(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.active {
		if o == fault {
			f.active = append(f.active[:i:i], f.active[i+1:]...)
			return
		}
	}
}

// meets says whether a fault of a kind is on and meets what comes now.
func (f *activeFaults) hits(kind Kind) (found Fault, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.active {
		if o.Kind == kind {
			return o, rand.Float64() < o.Share
		}
	}
	return Fault{}, false
}

// is says whether a fault of a kind is on.
func (f *activeFaults) find(kind Kind) (Fault, bool) {
	found, _ := f.hits(kind)
	return found, found.Kind == kind
}

func newServer(index int, rec *recorder) (*server, error) {
	ln, err := net.Listen("tcp", standInAddress()+":0")
	if err != nil {
		return nil, err
	}
	s := &server{index: index, recorder: rec, addr: ln.Addr().String()}
	s.http = &http.Server{Handler: s, IdleTimeout: serverIdleTimeout, ReadHeaderTimeout: 5 * time.Second}
	go s.http.Serve(ln) // ends with Close
	return s, nil
}

// ServeHTTP answers a request, unless a fault meets it. The node that sends it is named by a header of the client's.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, _ := strconv.Atoi(r.Header.Get(nodeHeader))
	left, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64)
	a := &Attempt{ID: r.Header.Get("X-Call-Id"), Node: node, Server: s.index, At: s.recorder.now(), Budget: time.Duration(left) * time.Microsecond}
	_, rejected := s.faults.hits(ServerReject)
	a.Executed = !rejected
	s.recorder.record(func(f *Observations) { f.Attempts = append(f.Attempts, a) })
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.finish(a, r)
		return
	}
	if rejected {
		s.finish(a, r)
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := rand.N(maxServiceTime)
	if _, hangs := s.faults.find(ServerHang); hangs {
		work = hangTime
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.finish(a, r)
	if _, reset := s.faults.hits(ServerReset); reset {
		panic(http.ErrAbortHandler)
	}
	if _, fails := s.faults.hits(ServerError); fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "ok %s", a.ID)
}

// over notes that nothing of a request is left at the server.
func (s *server) finish(a *Attempt, r *http.Request) {
	now := s.recorder.now()
	s.recorder.record(func(*Observations) { a.Finished, a.ConnectionLost = max(now, 1), r.Context().Err() != nil })
}
