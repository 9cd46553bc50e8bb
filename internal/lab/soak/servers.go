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
	workTime    = 20 * time.Millisecond // of a request at a server, at most
	serverIdle  = time.Second           // a server closes a connection that rests for so long
	neverEnding = time.Minute           // what a server that hangs takes
)

// server is a stand-in for a server of the tier behind the nodes.
type server struct {
	index  int
	rec    *record
	http   *http.Server
	addr   string
	faults faults
}

// faults are those that are on at present.
type faults struct {
	mu sync.Mutex
	on []Fault
}

func (f *faults) begin(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = append(f.on, fault)
}

func (f *faults) end(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.on {
		if o == fault {
			f.on = append(f.on[:i:i], f.on[i+1:]...)
			return
		}
	}
}

// meets says whether a fault of a kind is on and meets what comes now.
func (f *faults) meets(kind Kind) (found Fault, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.on {
		if o.Kind == kind {
			return o, rand.Float64() < o.Share
		}
	}
	return Fault{}, false
}

// is says whether a fault of a kind is on.
func (f *faults) is(kind Kind) (Fault, bool) {
	found, _ := f.meets(kind)
	return found, found.Kind == kind
}

func newServer(index int, rec *record) (*server, error) {
	ln, err := net.Listen("tcp", standInAddress()+":0")
	if err != nil {
		return nil, err
	}
	s := &server{index: index, rec: rec, addr: ln.Addr().String()}
	s.http = &http.Server{Handler: s, IdleTimeout: serverIdle, ReadHeaderTimeout: 5 * time.Second}
	go s.http.Serve(ln) // ends with Close
	return s, nil
}

// ServeHTTP answers a request, unless a fault meets it. The node that sends it is named by a header of the client's.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, _ := strconv.Atoi(r.Header.Get(nodeHeader))
	left, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64)
	a := &Arrival{ID: r.Header.Get("X-Call-Id"), Node: node, Server: s.index, At: s.rec.now(), Left: time.Duration(left) * time.Microsecond}
	_, rejected := s.faults.meets(Reject)
	a.Ran = !rejected
	s.rec.note(func(f *Facts) { f.Arrivals = append(f.Arrivals, a) })
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.over(a, r)
		return
	}
	if rejected {
		s.over(a, r)
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := rand.N(workTime)
	if _, hangs := s.faults.is(Hang); hangs {
		work = neverEnding
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.over(a, r)
	if _, reset := s.faults.meets(Reset); reset {
		panic(http.ErrAbortHandler)
	}
	if _, fails := s.faults.meets(Fail); fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "ok %s", a.ID)
}

// over notes that nothing of a request is left at the server.
func (s *server) over(a *Arrival, r *http.Request) {
	now := s.rec.now()
	s.rec.note(func(*Facts) { a.Over, a.Dropped = max(now, 1), r.Context().Err() != nil })
}
