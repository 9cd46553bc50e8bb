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

// Allowances for sockets in time limits. A server notices the end of a connection, and a client receives its response,
// some time after the event, above all when the whole world shares a few cores.
const (
	socketSlack    = 100 * time.Millisecond // for responses
	observationLag = 100 * time.Millisecond // for what servers observe
)

// observations passes the observations of all goroutines to a checker, a score and a history, in the same order to
// each.
type observations struct {
	mu                sync.Mutex
	checker           *checker.Checker
	score             *score.Score
	attemptsByRequest map[string]int     // number of attempts, by client request
	attemptsByCall    map[callKey]int    // number of attempts, by request at a node
	recorder          *blackbox.Recorder // nil: no history is recorded
}

// callKey identifies a request at a node's incarnation.
type callKey struct{ node, id string }

func newObservations(s *scenario.Scenario) *observations {
	withSlack := *s
	withSlack.Rules.Slack += socketSlack
	o := &observations{checker: checker.New(&withSlack), score: score.New(s), attemptsByRequest: map[string]int{}, attemptsByCall: map[callKey]int{}}
	o.checker.ObservationLag = observationLag
	return o
}

func (o *observations) locked(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// record adds an event to the history, under the lock that keeps the order.
func (o *observations) record(e blackbox.Event) { o.locked(func() { o.recorder.Record(e) }) }

// connectionOpened records that a server has accepted a connection.
func (o *observations) connectionOpened(now time.Duration, server string) {
	o.locked(func() {
		o.score.Handshakes++
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionOpened, Server: server})
	})
}

// discoveryCalled records that a node has called discovery.
func (o *observations) discoveryCalled(now time.Duration, node string) {
	o.record(blackbox.Event{At: now, Kind: blackbox.DiscoveryCalled, Node: node})
}

// nodeStarted records that a node's incarnation starts with a list of known endpoints.
func (o *observations) nodeStarted(now time.Duration, name string, known EndpointList) {
	o.locked(func() {
		o.checker.NodeStarted(name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeStarted, Node: name})
		for _, e := range known.Endpoints {
			o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.EndpointNotified, Node: name, Server: e.Host, Ready: e.isReady()})
			o.checker.EndpointNotified(now, name, e.Host, e.isReady())
		}
	})
}

// nodeKilled records that a node is killed.
func (o *observations) nodeKilled(now time.Duration, name string) {
	o.locked(func() {
		o.checker.NodeKilled(name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeKilled, Node: name})
	})
}

// nodeStopped records that a node has exited after SIGTERM.
func (o *observations) nodeStopped(now time.Duration, name string) {
	o.locked(func() {
		o.checker.NodeStopped(now, name)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeExited, Node: name})
	})
}

// endpointsNotified records the endpoints that discovery has written on a watch of a node's incarnation, between the
// times before and now. A node may use a notification before the write returns. In the history, a ready server is
// therefore usable from before the write on, and one that is not ready is unusable only after it.
func (o *observations) endpointsNotified(before, now time.Duration, name, watch string, n EndpointList) {
	o.locked(func() {
		for _, e := range n.Endpoints {
			at := now
			if e.isReady() {
				at = before
			}
			o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.EndpointNotified, Node: name, ID: watch, Server: e.Host, Ready: e.isReady()})
			o.checker.EndpointNotified(now, name, e.Host, e.isReady())
		}
	})
}

// requestSent records that a client or a server is sending a request to a node.
func (o *observations) requestSent(now time.Duration, node, id string, class int, deadline time.Duration) {
	o.locked(func() {
		o.checker.RequestAccepted(now, node, id, class, deadline)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.RequestSent, Node: node, ID: id, Class: class, Duration: deadline - now})
	})
}

// connectionRefused records that the connection for a request was refused. The node has not accepted the request and
// owes no response.
func (o *observations) connectionRefused(now time.Duration, node, id string) {
	o.locked(func() {
		o.checker.ClientGone(now, node, id)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ClientLeft, Node: node, ID: id})
	})
}

// connectionDropped records that a connection ended without a complete response. reused: it had carried a request
// before.
func (o *observations) connectionDropped(now time.Duration, node, id string, reused bool) {
	o.locked(func() {
		o.checker.ConnectionDropped(now, node, id)
		o.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionCut, Node: node, ID: id, Ready: reused})
	})
}

// noAttemptArrived reports whether no attempt of a request has reached a server.
func (o *observations) noAttemptArrived(node, id string) (yes bool) {
	o.locked(func() { yes = o.attemptsByCall[callKey{node, id}] == 0 })
	return yes
}

// answerReceived records a node's response.
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

// attemptArrived records that an attempt has reached a server, and returns the attempt's number within its request.
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

// attemptExecuted records that a server has admitted an attempt.
func (o *observations) attemptExecuted(now time.Duration, node, id, server string) {
	o.locked(func() { o.checker.AttemptExecuted(now, node, id, server) })
}

// attemptEnded records the outcome of an attempt as observed by its server.
func (o *observations) attemptEnded(now time.Duration, node, id string, number int, e balancer.Outcome) {
	o.locked(func() { o.checker.AttemptEnded(now, node, id, number, e) })
}

// serverOverloaded records that a request has overloaded a server that is warming up, so that the server crashes.
func (o *observations) serverOverloaded(now time.Duration, node, id, server string) {
	o.locked(func() {
		o.checker.ServerOverloaded(now, node, id, server)
		o.score.Overloads++
	})
}

// workDone records work done by a server. wasted: no client was waiting for the result any more.
func (o *observations) workDone(work time.Duration, wasted bool) {
	o.locked(func() {
		o.score.Work += work
		if wasted {
			o.score.Wasted += work
		}
	})
}

// requestBegun records the start of a client's request.
func (o *observations) requestBegun(at time.Duration, class, tenant int) {
	o.locked(func() {
		o.score.RequestBegun(at, class, tenant)
		o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.RequestBegun, Class: class})
	})
}

// tryBegun records a client's try, the first or a later one.
func (o *observations) tryBegun() { o.locked(func() { o.score.Tries++ }) }

// tryRejected records that a client's try was rejected.
func (o *observations) tryRejected(at time.Duration) {
	o.locked(func() {
		o.score.TryRejected(at)
		o.recorder.Record(blackbox.Event{At: at, Kind: blackbox.TryRejected})
	})
}

// requestEnded records the end of a client's request and its outcome.
func (o *observations) requestEnded(r *clientRequest, took time.Duration, how score.Outcome) {
	o.locked(func() {
		id := strconv.Itoa(r.number)
		o.recorder.Record(blackbox.Event{At: r.At + took, Kind: blackbox.RequestEnded, ID: id, Class: r.Class, Duration: took, Ready: how == score.Served})
		o.score.RequestEnded(r.At, took, r.Class, r.Tenant, o.attemptsByRequest[id], how)
		delete(o.attemptsByRequest, id)
	})
}
