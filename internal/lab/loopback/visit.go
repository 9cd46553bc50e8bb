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

// maxWorkFactor is the largest factor on the work that a request may ask for: more is no request of the lab.
const maxWorkFactor = 1e6

// statusDied stands for the answer of a process that died under the request.
const statusDied = 0

// brokenAnswer is the first half of an answer.
const brokenAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"box\":"

// visit is one request at a server.
type visit struct {
	id         string
	client     string // the number of the client's request
	node       string // that sent it
	class      int
	attempt    int
	deadline   time.Duration
	workFactor float64
	ownWork    time.Duration
	calls      int
	job        model.Job
	done       chan struct{} // receives at the end of each stage
}

// newVisit reads what a request says of itself. One that a person sends may lack most of it.
func (b *server) newVisit(r *http.Request, firstOnConnection bool) *visit {
	query := r.URL.Query()
	v := &visit{id: r.Header.Get("X-Call-Id"), client: query.Get("root"), node: query.Get("node"), workFactor: 1, done: make(chan struct{}, 1)}
	for i, c := range b.world.scenario.Classes {
		if c.Name == r.Header.Get("X-Call-Class") {
			v.class = i
		}
	}
	if f, err := strconv.ParseFloat(query.Get("work"), 64); err == nil && f > 0 && f < maxWorkFactor {
		v.workFactor = f
	}
	left := b.world.scenario.Classes[v.class].Deadline
	if microseconds, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Budget"), "u"), 10, 64); err == nil {
		left = time.Duration(microseconds) * time.Microsecond
	}
	v.deadline = b.world.now() + left
	b.drawWork(v, firstOnConnection)
	return v
}

// drawWork draws the work and the calls of a visit.
func (b *server) drawWork(v *visit, firstOnConnection bool) {
	factor := v.workFactor * b.world.workFactor(v.class)
	v.ownWork = time.Duration(factor * b.tier.Work * float64(b.world.scenario.Classes[v.class].Work))
	v.job.Work = v.ownWork
	if b.node != nil {
		v.calls = int(b.tier.Calls)
		if b.world.randomFloat() < b.tier.Calls-float64(v.calls) {
			v.calls++
		}
	}
	if v.calls > 0 {
		v.job.Work /= 2
	}
	if firstOnConnection {
		v.job.Work += b.model.Kind.HandshakeWork
	}
	v.job.Owner = v
}

// serveRequest serves one request. closed is closed when the node closes the connection. It returns false if the connection
// is over.
func (b *server) serveRequest(k *connection, r *http.Request, first bool, closed, died chan struct{}) bool {
	if reconnected := b.disconnected(); reconnected != nil {
		holdUntilReconnected(k, reconnected, died)
		return false
	}
	if r.Header.Get("X-Call-Id") == "" {
		return writeResponse(k, http.StatusNotFound, nil, "no X-Call-Id\n")
	}
	v := b.newVisit(r, first)
	v.attempt = b.world.observations.attemptArrived(b.world.now(), v.node, v.id, b.model.ID, v.client, v.ownWork)
	finished := make(chan struct{})
	b.world.goOwned(func() { b.watchCancellation(v, closed, finished) })
	status, overloaded := b.runVisit(v, closed, died)
	close(finished)
	canceled := isClosed(closed)
	if reconnected := b.disconnected(); reconnected != nil && status != statusDied {
		holdUntilReconnected(k, reconnected, died)
		return false
	}
	b.world.observations.workDone(v.job.WorkDone, canceled || status == statusDied)
	b.world.observations.attemptEnded(b.world.now(), v.node, v.id, v.attempt, outcomeOf(status))
	if overloaded {
		b.world.crashServer(b, false)
		b.world.afterDelay(model.OverloadDowntime, func() { b.world.bootServer(b) })
	}
	return b.respond(k, v, status)
}

// watchCancellation reports a visit whose node closes the connection. The server may work on for long after that.
func (b *server) watchCancellation(v *visit, closed, finished chan struct{}) {
	select {
	case <-closed:
		b.world.observations.attemptEnded(b.world.now(), v.node, v.id, v.attempt, balancer.TimedOut)
		b.record(v, blackbox.Event{Kind: blackbox.AttemptCanceled})
	case <-finished:
	}
}

// outcomeOf is the outcome of an attempt that is answered with a status.
func outcomeOf(status int) balancer.Outcome {
	switch status {
	case statusDied:
		return balancer.ConnectionLost
	case http.StatusOK:
		return balancer.Success
	case http.StatusServiceUnavailable:
		return balancer.Overloaded
	}
	return balancer.Failure
}

// respond writes the answer, or what faults leave of it. It returns false if the connection is over.
func (b *server) respond(k *connection, v *visit, status int) bool {
	b.mu.Lock()
	brokenShare := b.brokenShare
	b.mu.Unlock()
	switch {
	case status == statusDied:
		b.record(v, blackbox.Event{Kind: blackbox.AttemptBroken})
		reset(k.Conn)
		return false
	case status == http.StatusOK && brokenShare > 0 && b.world.randomFloat() < brokenShare:
		b.record(v, blackbox.Event{Kind: blackbox.AttemptBroken})
		fmt.Fprint(k, brokenAnswer)
		return false
	case status == http.StatusServiceUnavailable:
		b.record(v, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: status, NeverRan: true})
		return writeResponse(k, status, []string{"X-Rejected: 1"}, "full\n")
	}
	text := fmt.Sprintf("{\"box\":%q,\"class\":%q}\n", b.model.ID, b.world.scenario.Classes[v.class].Name)
	b.record(v, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: status, Body: text})
	return writeResponse(k, status, nil, text)
}

// record records what a server does with a request.
func (b *server) record(v *visit, e blackbox.Event) {
	e.At, e.Node, e.ID, e.Server = b.world.now(), v.node, v.id, b.model.ID
	b.world.observations.record(e)
}

// runVisit takes a visit through the server and returns the status of its answer, statusDied if the process died under it.
func (b *server) runVisit(v *visit, closed, died chan struct{}) (status int, overloaded bool) {
	if status, overloaded, ok := b.beginVisit(v, died); !ok {
		return status, overloaded
	}
	if !b.waitForStage(v, closed, died) {
		return statusDied, false
	}
	status = http.StatusOK
	for range v.calls {
		if !b.node.callNextTier(v) {
			status = http.StatusInternalServerError
			break
		}
	}
	if v.calls > 0 && status == http.StatusOK {
		b.locked(func() {
			b.model.Resume(b.world.now(), &v.job, v.ownWork/2)
			b.scheduleCompletion()
		})
		if !b.waitForStage(v, nil, died) {
			return statusDied, false
		}
	}
	b.locked(func() {
		b.model.Release(b.world.now(), &v.job)
		b.scheduleCompletion()
	})
	if isClosed(died) { // the calls failed because the node died with its server
		return statusDied, false
	}
	if status == http.StatusOK && b.model.Kind.ErrorRate > 0 && b.world.randomFloat() < b.model.Kind.ErrorRate {
		status = http.StatusInternalServerError
	}
	return status, false
}

// beginVisit offers the visit to the server. If that does not accept it, ok is false, and status is that of the answer.
func (b *server) beginVisit(v *visit, died chan struct{}) (status int, overloaded, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.world.now()
	if isClosed(died) { // read by a process that has ended: the visit must not take a slot of the next one
		return statusDied, false, false
	}
	if b.model.RecordArrival(now, v.ownWork) {
		b.world.observations.serverOverloaded(now, v.node, v.id, b.model.ID)
		return statusDied, true, false
	}
	if !b.model.Admit(now, &v.job) {
		return http.StatusServiceUnavailable, false, false
	}
	b.world.observations.attemptExecuted(now, v.node, v.id, b.model.ID)
	b.scheduleCompletion()
	return 0, false, true
}

// isClosed says that a channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForStage waits until the present stage of the work is done. It returns false if the process died, or the visit was
// canceled while it waited in the queue.
func (b *server) waitForStage(v *visit, closed, died chan struct{}) bool {
	for {
		select {
		case <-v.done:
			return true
		case <-died:
			return false
		case <-closed:
			closed = nil
			canceled := false
			b.locked(func() {
				canceled = b.model.CancelQueued(b.world.now(), &v.job)
				b.scheduleCompletion()
			})
			if canceled {
				return false
			}
		}
	}
}

// scheduleCompletion schedules the next completion. The caller holds mu.
func (b *server) scheduleCompletion() {
	at, ok := b.model.NextCompletion(b.world.now())
	if !ok {
		return
	}
	wait := at - b.world.now()
	if b.timer != nil {
		b.timer.Reset(wait)
		return
	}
	b.timer = time.AfterFunc(wait, b.complete)
}

// complete ends the stages of work that are done by now.
func (b *server) complete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.model.Completed(b.world.now()) {
		j.Owner.(*visit).done <- struct{}{}
	}
	b.scheduleCompletion()
}
