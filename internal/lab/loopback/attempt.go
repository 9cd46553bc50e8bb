package loopback

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// maxWorkFactor limits the factor on the work in a request. The lab's clients send smaller factors.
const maxWorkFactor = 1e6

// statusServerDied is the status of an attempt that got no response because the server process ended.
const statusServerDied = 0

// truncatedResponse is a response whose body ends early.
const truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"box\":"

// attempt is one attempt of a request at a server.
type attempt struct {
	id            string
	client        string // number of the client's request
	node          string // incarnation that sent the attempt
	class         int
	number        int
	deadline      time.Duration
	workFactor    float64
	ownWork       time.Duration
	nextTierCalls int
	job           model.Job
	done          chan struct{} // receives a value at the end of each stage of the work
}

// newAttempt creates an attempt from a request. A parameter that is missing or invalid, as in a request sent by hand,
// gets a default value.
func (s *server) newAttempt(r *http.Request, firstOnConnection bool) *attempt {
	query := r.URL.Query()
	a := &attempt{id: r.Header.Get("X-Call-Id"), client: query.Get("root"), node: query.Get("node"), workFactor: 1, done: make(chan struct{}, 1)}
	for i, c := range s.world.scenario.Classes {
		if c.Name == r.Header.Get("X-Call-Class") {
			a.class = i
		}
	}
	if f, err := strconv.ParseFloat(query.Get("work"), 64); err == nil && f > 0 && f < maxWorkFactor {
		a.workFactor = f
	}
	left := s.world.scenario.Classes[a.class].Deadline
	if microseconds, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64); err == nil {
		left = time.Duration(microseconds) * time.Microsecond
	}
	a.deadline = s.world.now() + left
	s.drawWork(a, firstOnConnection)
	return a
}

// drawWork draws the work of an attempt and the number of its calls to the next tier.
func (s *server) drawWork(a *attempt, firstOnConnection bool) {
	factor := a.workFactor * s.world.workFactor(a.class)
	a.ownWork = time.Duration(factor * s.tier.Work * float64(s.world.scenario.Classes[a.class].Work))
	a.job.Work = a.ownWork
	if s.node != nil {
		a.nextTierCalls = int(s.tier.Calls)
		if s.world.randomFloat() < s.tier.Calls-float64(a.nextTierCalls) {
			a.nextTierCalls++
		}
	}
	if a.nextTierCalls > 0 {
		a.job.Work /= 2
	}
	if firstOnConnection {
		a.job.Work += s.model.Kind.HandshakeWork
	}
	a.job.Owner = a
}

// serveRequest serves one request. closed is closed when the node closes the connection. serveRequest returns false if
// the connection must not be used again.
func (s *server) serveRequest(conn *connection, r *http.Request, first bool, closed, died chan struct{}) bool {
	if reconnected := s.disconnected(); reconnected != nil {
		holdUntilReconnected(conn, reconnected, died)
		return false
	}
	if r.Header.Get("X-Call-Id") == "" {
		return writeResponse(conn, http.StatusNotFound, nil, "no X-Call-Id\n")
	}
	a := s.newAttempt(r, first)
	a.number = s.world.observations.attemptArrived(s.world.now(), a.node, a.id, s.model.ID, a.client, a.ownWork)
	finished := make(chan struct{})
	s.world.spawn(func() { s.watchCancellation(a, closed, finished) })
	status, overloaded := s.runAttempt(a, closed, died)
	close(finished)
	canceled := isClosed(closed)
	if reconnected := s.disconnected(); reconnected != nil && status != statusServerDied {
		holdUntilReconnected(conn, reconnected, died)
		return false
	}
	s.world.observations.workDone(a.job.WorkDone, canceled || status == statusServerDied)
	s.world.observations.attemptEnded(s.world.now(), a.node, a.id, a.number, outcomeOf(status))
	if overloaded {
		s.world.crashServer(s, false)
		s.world.afterDelay(model.OverloadDowntime, func() { s.world.bootServer(s) })
	}
	return s.respond(conn, a, status)
}

// watchCancellation records that an attempt was canceled if the node closes the connection before the attempt has
// finished. It does so at once, because the server may continue to work on the attempt for a long time.
func (s *server) watchCancellation(a *attempt, closed, finished chan struct{}) {
	select {
	case <-closed:
		s.world.observations.attemptEnded(s.world.now(), a.node, a.id, a.number, balancer.TimedOut)
		s.record(a, blackbox.Event{Kind: blackbox.AttemptCanceled})
	case <-finished:
	}
}

// outcomeOf returns the outcome of an attempt that ended with a status.
func outcomeOf(status int) balancer.Outcome {
	switch status {
	case statusServerDied:
		return balancer.ConnectionLost
	case http.StatusOK:
		return balancer.Success
	case http.StatusServiceUnavailable:
		return balancer.Overloaded
	}
	return balancer.Failure
}

// respond writes the response, or what the server's faults leave of it. It returns false if the connection must not be
// used again.
func (s *server) respond(conn *connection, a *attempt, status int) bool {
	s.mu.Lock()
	truncatedShare := s.truncatedShare
	s.mu.Unlock()
	switch {
	case status == statusServerDied:
		s.record(a, blackbox.Event{Kind: blackbox.AttemptBroken})
		reset(conn.Conn)
		return false
	case status == http.StatusOK && truncatedShare > 0 && s.world.randomFloat() < truncatedShare:
		s.record(a, blackbox.Event{Kind: blackbox.AttemptBroken})
		fmt.Fprint(conn, truncatedResponse)
		return false
	case status == http.StatusServiceUnavailable:
		s.record(a, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: status, NeverRan: true})
		return writeResponse(conn, status, []string{"X-Rejected: 1"}, "full\n")
	}
	text := fmt.Sprintf("{\"box\":%q,\"class\":%q}\n", s.model.ID, s.world.scenario.Classes[a.class].Name)
	s.record(a, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: status, Body: text})
	return writeResponse(conn, status, nil, text)
}

// record adds an event of an attempt to the history.
func (s *server) record(a *attempt, e blackbox.Event) {
	e.At, e.Node, e.ID, e.Server = s.world.now(), a.node, a.id, s.model.ID
	s.world.observations.record(e)
}

// runAttempt processes an attempt and returns the status of its response, or statusServerDied if the server process
// ended. overloaded: the attempt has overloaded the server, which must crash.
func (s *server) runAttempt(a *attempt, closed, died chan struct{}) (status int, overloaded bool) {
	if status, overloaded, ok := s.beginAttempt(a, died); !ok {
		return status, overloaded
	}
	if !s.waitForStage(a, closed, died) {
		return statusServerDied, false
	}
	status = http.StatusOK
	for range a.nextTierCalls {
		if !s.node.callNextTier(a) {
			status = http.StatusInternalServerError
			break
		}
	}
	if a.nextTierCalls > 0 && status == http.StatusOK {
		s.locked(func() {
			s.model.Resume(s.world.now(), &a.job, a.ownWork/2)
			s.scheduleCompletion()
		})
		if !s.waitForStage(a, nil, died) {
			return statusServerDied, false
		}
	}
	s.locked(func() {
		s.model.Release(s.world.now(), &a.job)
		s.scheduleCompletion()
	})
	if isClosed(died) { // the calls failed because the server's node was killed with it
		return statusServerDied, false
	}
	if status == http.StatusOK && s.model.Kind.ErrorRate > 0 && s.world.randomFloat() < s.model.Kind.ErrorRate {
		status = http.StatusInternalServerError
	}
	return status, false
}

// beginAttempt asks the server to admit the attempt. If the server does not, ok is false and status is that of the
// response.
func (s *server) beginAttempt(a *attempt, died chan struct{}) (status int, overloaded, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.now()
	if isClosed(died) { // the attempt belongs to a process that has ended and must not occupy a slot of the next one
		return statusServerDied, false, false
	}
	if s.model.RecordArrival(now, a.ownWork) {
		s.world.observations.serverOverloaded(now, a.node, a.id, s.model.ID)
		return statusServerDied, true, false
	}
	if !s.model.Admit(now, &a.job) {
		return http.StatusServiceUnavailable, false, false
	}
	s.world.observations.attemptExecuted(now, a.node, a.id, s.model.ID)
	s.scheduleCompletion()
	return 0, false, true
}

// isClosed reports whether a channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForStage waits until the current stage of the work is done. It returns false if the server process ended, or if
// the attempt was canceled while it was queued.
func (s *server) waitForStage(a *attempt, closed, died chan struct{}) bool {
	for {
		select {
		case <-a.done:
			return true
		case <-died:
			return false
		case <-closed:
			closed = nil
			canceled := false
			s.locked(func() {
				canceled = s.model.CancelQueued(s.world.now(), &a.job)
				s.scheduleCompletion()
			})
			if canceled {
				return false
			}
		}
	}
}

// scheduleCompletion schedules the next completion. The caller holds mu.
func (s *server) scheduleCompletion() {
	at, ok := s.model.NextCompletion(s.world.now())
	if !ok {
		return
	}
	wait := at - s.world.now()
	if s.timer != nil {
		s.timer.Reset(wait)
		return
	}
	s.timer = time.AfterFunc(wait, s.complete)
}

// complete ends the stages of work that are done by now.
func (s *server) complete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.model.Completed(s.world.now()) {
		j.Owner.(*attempt).done <- struct{}{}
	}
	s.scheduleCompletion()
}
