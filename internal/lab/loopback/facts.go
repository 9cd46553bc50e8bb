package loopback

import (
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// What sockets add to limits of time: a box sees the end of a connection, and a client its answer, a moment after
// they were made, the more so where all of the world shares a few cores.
const (
	socketSlack    = 100 * time.Millisecond
	observationLag = 100 * time.Millisecond
)

// observations brings what many goroutines see to one auditor and one score.
type observations struct {
	mu                sync.Mutex
	checker           *checker.Checker
	score             *score.Score
	attemptsByRequest map[string]int // attempts by root
	attemptsByCall    map[callKey]int
	recorder          *blackbox.Recorder // what is seen from outside; nil: not kept
}

type callKey struct{ node, id string }

func newObservations(s *scenario.Scenario) *observations {
	wide := *s
	wide.Rules.Slack += socketSlack
	f := &observations{checker: checker.New(&wide), score: score.New(s), attemptsByRequest: map[string]int{}, attemptsByCall: map[callKey]int{}}
	f.checker.ObservationLag = observationLag
	return f
}

func (f *observations) locked(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
}

// record records an event, under the lock that keeps the order.
func (f *observations) record(e blackbox.Event) { f.locked(func() { f.recorder.Record(e) }) }

func (f *observations) connectionOpened(now time.Duration, box string) {
	f.locked(func() {
		f.score.Handshakes++
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionOpened, Server: box})
	})
}

// discoveryCalled is a call to discovery.
func (f *observations) discoveryCalled(now time.Duration, node string) {
	f.record(blackbox.Event{At: now, Kind: blackbox.DiscoveryCalled, Node: node})
}

func (f *observations) nodeStarted(now time.Duration, name string, known endpointList) {
	f.locked(func() {
		f.checker.NodeStarted(name)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeStarted, Node: name})
		for _, h := range known.Endpoints {
			f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.EndpointNotified, Node: name, Server: h.Host, Ready: h.Health == "in_service"})
			f.checker.EndpointNotified(now, name, h.Host, h.Health == "in_service")
		}
	})
}

func (f *observations) nodeKilled(now time.Duration, name string) {
	f.locked(func() {
		f.checker.NodeKilled(name)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeKilled, Node: name})
	})
}

func (f *observations) nodeStopped(now time.Duration, name string) {
	f.locked(func() {
		f.checker.NodeStopped(now, name)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.NodeExited, Node: name})
	})
}

// endpointsNotified is a list, or changes, that discovery has written. A node may use what it is told before the writer knows that
// it is written, so a server in service counts as told from before; that one is not counts from after.
// endpointsNotified notes what discovery has written to a life of a node, on one of its watches.
func (f *observations) endpointsNotified(before, now time.Duration, name, watch string, n endpointList) {
	f.locked(func() {
		for _, h := range n.Endpoints {
			at := now
			if h.Health == "in_service" {
				at = before
			}
			f.recorder.Record(blackbox.Event{At: at, Kind: blackbox.EndpointNotified, Node: name, ID: watch, Server: h.Host, Ready: h.Health == "in_service"})
			f.checker.EndpointNotified(now, name, h.Host, h.Health == "in_service")
		}
	})
}

func (f *observations) requestSent(now time.Duration, node, id string, class int, deadline time.Duration) {
	f.locked(func() {
		f.checker.RequestAccepted(now, node, id, class, deadline)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.RequestSent, Node: node, ID: id, Class: class, Duration: deadline - now})
	})
}

// connectionRefused is a call whose connection never came up: it was not taken, and nothing is owed.
func (f *observations) connectionRefused(now time.Duration, node, id string) {
	f.locked(func() {
		f.checker.ClientGone(now, node, id)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ClientLeft, Node: node, ID: id})
	})
}

func (f *observations) connectionDropped(now time.Duration, node, id string, kept bool) {
	f.locked(func() {
		f.checker.ConnectionDropped(now, node, id)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.ConnectionCut, Node: node, ID: id, Ready: kept})
	})
}

// noAttemptArrived says that no attempt of a call has reached a box.
func (f *observations) noAttemptArrived(node, id string) (yes bool) {
	f.locked(func() { yes = f.attemptsByCall[callKey{node, id}] == 0 })
	return yes
}

func (f *observations) answerReceived(now time.Duration, node, id string, status int, body string) {
	how := checker.Failed
	switch status {
	case 200:
		how = checker.Served
	case 429, 503:
		how = checker.Rejected
	}
	f.locked(func() {
		f.checker.RequestAnswered(now, node, id, how)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.AnswerReceived, Node: node, ID: id, Status: status, Body: body})
		delete(f.attemptsByCall, callKey{node, id})
	})
}

// attemptArrived is an attempt that has reached a box; its number is returned.
func (f *observations) attemptArrived(now time.Duration, node, id, box, root string, work time.Duration) (number int) {
	f.locked(func() {
		f.checker.AttemptSent(now, node, id, box)
		f.recorder.Record(blackbox.Event{At: now, Kind: blackbox.AttemptArrived, Node: node, ID: id, Server: box, Work: work})
		f.score.Attempts++
		f.attemptsByRequest[root]++
		key := callKey{node, id}
		number = f.attemptsByCall[key]
		f.attemptsByCall[key]++
	})
	return number
}

func (f *observations) attemptExecuted(now time.Duration, node, id, box string) {
	f.locked(func() { f.checker.AttemptExecuted(now, node, id, box) })
}

func (f *observations) attemptEnded(now time.Duration, node, id string, number int, e balancer.Outcome) {
	f.locked(func() { f.checker.AttemptEnded(now, node, id, number, e) })
}

func (f *observations) serverOverloaded(now time.Duration, node, id, box string) {
	f.locked(func() {
		f.checker.ServerOverloaded(now, node, id, box)
		f.score.Overloads++
	})
}

func (f *observations) workDone(work time.Duration, wasted bool) {
	f.locked(func() {
		f.score.Work += work
		if wasted {
			f.score.Wasted += work
		}
	})
}

func (f *observations) requestBegun(at time.Duration, class, tenant int) {
	f.locked(func() {
		f.score.RequestBegun(at, class, tenant)
		f.recorder.Record(blackbox.Event{At: at, Kind: blackbox.RequestBegun, Class: class})
	})
}

func (f *observations) tryBegun() { f.locked(func() { f.score.Tries++ }) }

func (f *observations) tryRejected(at time.Duration) {
	f.locked(func() {
		f.score.TryRejected(at)
		f.recorder.Record(blackbox.Event{At: at, Kind: blackbox.TryRejected})
	})
}

func (f *observations) requestEnded(r *clientRequest, took time.Duration, how score.Outcome) {
	f.locked(func() {
		id := strconv.Itoa(r.number)
		f.recorder.Record(blackbox.Event{At: r.At + took, Kind: blackbox.RequestEnded, ID: id, Class: r.Class, Duration: took, Ready: how == score.Served})
		f.score.RequestEnded(r.At, took, r.Class, r.Tenant, f.attemptsByRequest[id], how)
		delete(f.attemptsByRequest, id)
	})
}
