package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Timing of a stand-in server.
const (
	maxServiceTime    = 20 * time.Millisecond  // maximum time to handle a request; uniformly distributed
	lateServiceTime   = 150 * time.Millisecond // replaces maxServiceTime during AnswerLateSecond, so that the real answer may arrive after a late second answer
	hangTime          = time.Minute            // time of a request at a server that hangs; longer than any deadline
	serverIdleTimeout = time.Second            // short enough that servers often close idle connections
	readHeaderTimeout = 5 * time.Second        // for all stand-ins
)

// server is a stand-in for a server to which the nodes forward requests.
type server struct {
	index    int
	recorder *recorder
	http     *http.Server
	addr     string
	faults   activeFaults
}

// newServer starts a server, which runs until its http.Close is called.
func newServer(index int, recorder *recorder) (*server, error) {
	listener, err := net.Listen("tcp", standInAddress()+":0")
	if err != nil {
		return nil, err
	}
	s := &server{index: index, recorder: recorder, addr: listener.Addr().String()}
	s.http = &http.Server{Handler: s, IdleTimeout: serverIdleTimeout, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn}
	go s.http.Serve(timestampingListener{listener, recorder}) // ends with Close
	return s, nil
}

// ServeHTTP records and answers a request, subject to the active faults.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := s.newAttempt(r)
	_, rejected := s.faults.hits(ServerReject)
	attempt.Executed = !rejected
	s.recorder.record(func(o *Observations) { o.Attempts = append(o.Attempts, attempt) })
	if err := s.readBody(r.Body); err != nil {
		s.recorder.record(func(*Observations) { attempt.Executed = false }) // a server starts with the last byte
		s.finish(attempt, r)
		return
	}
	if rejected {
		s.finish(attempt, r)
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.work(r)
	s.finish(attempt, r)
	if _, reset := s.faults.hits(ServerReset); reset {
		panic(http.ErrAbortHandler)
	}
	if _, fails := s.faults.hits(ServerError); fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.answer(w, r, attempt.ID)
}

// newAttempt returns the attempt that the headers of a request describe. The client sets the header that names the node.
func (s *server) newAttempt(r *http.Request) *Attempt {
	node, _ := strconv.Atoi(r.Header.Get(nodeHeader))
	budget, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64)
	return &Attempt{ID: r.Header.Get("X-Call-Id"), Node: node, Server: s.index, HeadRead: lastRead(r), At: s.recorder.now(),
		Budget: time.Duration(budget) * time.Microsecond}
}

// work waits for the service time of a request, or until its connection is closed.
func (s *server) work(r *http.Request) {
	serviceTime := rand.N(maxServiceTime)
	if _, late := s.faults.find(AnswerLateSecond); late {
		serviceTime = rand.N(lateServiceTime)
	}
	if _, hangs := s.faults.find(ServerHang); hangs {
		serviceTime = hangTime
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
	}
}

// finish records that the server is done with an attempt.
func (s *server) finish(a *Attempt, r *http.Request) {
	now := s.recorder.now()
	s.recorder.record(func(*Observations) { a.Finished, a.ConnectionLost = max(now, 1), r.Context().Err() != nil })
}
