package loopback

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// What sockets add to time limits: a server sees the end of a connection, and a client its answer, a moment after they
// happened, the more so where the whole world shares a few cores.
const (
	socketSlack    = 100 * time.Millisecond // on answers
	observationLag = 100 * time.Millisecond // of servers
)

// observations brings what many goroutines see to one checker, one score and one history, in one order.
type observations struct {
	mu                sync.Mutex
	checker           *checker.Checker
	score             *score.Score
	attemptsByRequest map[string]int     // of clients
	attemptsByCall    map[callKey]int    // of nodes
	recorder          *blackbox.Recorder // nil: nothing is recorded
}

// callKey is a request at a node's incarnation.
type callKey struct{ node, id string }

func newObservations(s *scenario.Scenario) *observations {
	tolerant := *s
	tolerant.Rules.Slack += socketSlack
	o := &observations{checker: checker.New(&tolerant), score: score.New(s), attemptsByRequest: map[string]int{}, attemptsByCall: map[callKey]int{}}
	o.checker.ObservationLag = observationLag
	return o
}

func (o *observations) locked(do func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do()
}

// record records an event, under the lock that keeps the order.
func (o *observations) record(e blackbox.Event) { o.locked(func() { o.recorder.Record(e) }) }

// connectionOpened is a connection that has come up at a server.
func (o *observations) connectionOpened(now time.Duration, server string) {
	o.locked(func() {
		o.score.Handshakes++
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionOpened, Server: server})
	})
}

// discoveryCalled is a call to discovery.
func (o *observations) discoveryCalled(now time.Duration, node string) {
	o.record(blackbox.Event{At: now, Kind: blackbox.DiscoveryCalled, Node: node})
}

// nodeStarted is a node's incarnation that begins with a list.
func (o *observations) nodeStarted(now time.Duration, name string, known EndpointList) {
	o.locked(func() {
		o.checker.NodeStarted(name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeStarted, Node: name})
		for _, e := range known.Endpoints {
			o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.EndpointNotified, Node: name, Server: e.Host, Ready: e.ready()})
			o.checker.EndpointNotified(now, name, e.Host, e.ready())
		}
	})
}

// nodeKilled is one that is ended from outside.
func (o *observations) nodeKilled(now time.Duration, name string) {
	o.locked(func() {
		o.checker.NodeKilled(name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeKilled, Node: name})
	})
}

// nodeStopped is one that has ended by itself.
func (o *observations) nodeStopped(now time.Duration, name string) {
	o.locked(func() {
		o.checker.NodeStopped(now, name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeExited, Node: name})
	})
}

// endpointsNotified is what discovery has written to an incarnation of a node, on one of its watches. A node may use what it
// is notified of before the writer knows that it is written: a server that is ready counts from before the write, one that is
// not from after it.
func (o *observations) endpointsNotified(before, now time.Duration, name, watch string, n EndpointList) {
	o.locked(func() {
		for _, e := range n.Endpoints {
			at := now
			if e.ready() {
				at = before
			}
			o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.EndpointNotified, Node: name, ID: watch, Server: e.Host, Ready: e.ready()})
			o.checker.EndpointNotified(now, name, e.Host, e.ready())
		}
	})
}

// requestSent is a request that a client or server has written to a node.
func (o *observations) requestSent(now time.Duration, node, id string, class int, deadline time.Duration) {
	o.locked(func() {
		o.checker.RequestAccepted(now, node, id, class, deadline)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.RequestSent, Node: node, ID: id, Class: class, Duration: deadline - now})
	})
}

// connectionRefused is a request whose connection never came up: it was not accepted, and nothing is owed.
func (o *observations) connectionRefused(now time.Duration, node, id string) {
	o.locked(func() {
		o.checker.ClientGone(now, node, id)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ClientLeft, Node: node, ID: id})
	})
}

// connectionDropped is a connection that ended without a complete answer; reused: it had carried a request before.
func (o *observations) connectionDropped(now time.Duration, node, id string, reused bool) {
	o.locked(func() {
		o.checker.ConnectionDropped(now, node, id)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionCut, Node: node, ID: id, Ready: reused})
	})
}

// noAttemptArrived says that no attempt of a request has reached a server.
func (o *observations) noAttemptArrived(node, id string) (yes bool) {
	o.locked(func() { yes = o.attemptsByCall[callKey{node, id}] == 0 })
	return yes
}

// answerReceived is a node's answer.
func (o *observations) answerReceived(now time.Duration, node, id string, status int, body string) {
	how := checker.Failed
	switch status {
	case http.StatusOK:
		how = checker.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		how = checker.Rejected
	}
	o.locked(func() {
		o.checker.RequestAnswered(now, node, id, how)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.AnswerReceived, Node: node, ID: id, Status: status, Body: body})
		delete(o.attemptsByCall, callKey{node, id})
	})
}

// attemptArrived is an attempt that has reached a server; its number is returned.
func (o *observations) attemptArrived(now time.Duration, node, id, server, request string, work time.Duration) (number int) {
	o.locked(func() {
		o.checker.AttemptSent(now, node, id, server)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.AttemptArrived, Node: node, ID: id, Server: server, Work: work})
		o.score.Attempts++
		o.attemptsByRequest[request]++
		key := callKey{node, id}
		number = o.attemptsByCall[key]
		o.attemptsByCall[key]++
	})
	return number
}

// attemptExecuted is a server that has begun to work on a request.
func (o *observations) attemptExecuted(now time.Duration, node, id, server string) {
	o.locked(func() { o.checker.AttemptExecuted(now, node, id, server) })
}

// attemptEnded is the outcome of an attempt as its server sees it.
func (o *observations) attemptEnded(now time.Duration, node, id string, number int, e balancer.Outcome) {
	o.locked(func() { o.checker.AttemptEnded(now, node, id, number, e) })
}

// serverOverloaded is a warming server that has fallen over, and the request that did it.
func (o *observations) serverOverloaded(now time.Duration, node, id, server string) {
	o.locked(func() {
		o.checker.ServerOverloaded(now, node, id, server)
		o.score.Overloads++
	})
}

// workDone is work of a server, and whether nobody waited for it any more.
func (o *observations) workDone(work time.Duration, wasted bool) {
	o.locked(func() {
		o.score.Work += work
		if wasted {
			o.score.Wasted += work
		}
	})
}

// requestBegun is a client's first try.
func (o *observations) requestBegun(at time.Duration, class, tenant int) {
	o.locked(func() {
		o.score.RequestBegun(at, class, tenant)
		o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.RequestBegun, Class: class})
	})
}

// tryBegun is any try of a client.
func (o *observations) tryBegun() { o.locked(func() { o.score.Tries++ }) }

// tryRejected is a try that was rejected.
func (o *observations) tryRejected(at time.Duration) {
	o.locked(func() {
		o.score.TryRejected(at)
		o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.TryRejected})
	})
}

// requestEnded is the end of a client's request.
func (o *observations) requestEnded(r *clientRequest, took time.Duration, how score.Outcome) {
	o.locked(func() {
		id := strconv.Itoa(r.number)
		o.recorder.Record(blackbox.Event{At: r.At + took, Kind: blackbox.RequestEnded, ID: id, Class: r.Class, Duration: took, Ready: how == score.Served})
		o.score.RequestEnded(r.At, took, r.Class, r.Tenant, o.attemptsByRequest[id], how)
		delete(o.attemptsByRequest, id)
	})
}
