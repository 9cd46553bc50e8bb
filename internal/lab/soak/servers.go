package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Times of a stand-in server.
const (
	maxServiceTime    = 20 * time.Millisecond  // of a request; uniformly drawn
	lateServiceTime   = 150 * time.Millisecond // maxServiceTime beside late second answers: a true answer behind one may be as late as that
	hangTime          = time.Minute            // of a request at a server that hangs: longer than any deadline
	serverIdleTimeout = time.Second            // short, so that idle connections are closed all the time
	readHeaderTimeout = 5 * time.Second        // of all stand-ins
)

// server is a stand-in for a server of the tier behind the nodes.
type server struct {
	index    int
	recorder *recorder
	http     *http.Server
	addr     string
	faults   activeFaults
}

// newServer starts a server. It ends with its http.Close.
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

// ServeHTTP answers a request as the active faults have it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := s.newAttempt(r)
	_, rejected := s.faults.hits(ServerReject)
	attempt.Executed = !rejected
	s.recorder.record(func(o *Observations) { o.Attempts = append(o.Attempts, attempt) })
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
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

// newAttempt is what a request says of itself. The node that sends it is named by a header that its client set.
func (s *server) newAttempt(r *http.Request) *Attempt {
	node, _ := strconv.Atoi(r.Header.Get(nodeHeader))
	budget, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64)
	return &Attempt{ID: r.Header.Get("X-Call-Id"), Node: node, Server: s.index, HeadRead: lastRead(r), At: s.recorder.now(),
		Budget: time.Duration(budget) * time.Microsecond}
}

// work takes the time of a request, or until its connection ends.
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

// finish records that nothing of an attempt is left at the server.
func (s *server) finish(a *Attempt, r *http.Request) {
	now := s.recorder.now()
	s.recorder.record(func(*Observations) { a.Finished, a.ConnectionLost = max(now, 1), r.Context().Err() != nil })
}
