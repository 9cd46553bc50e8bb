package simulation

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// closedLoopPause is the time between the end of a closed loop's request and its next one: not zero, or a request that
// fails at once would keep the clock from going on.
const closedLoopPause = time.Microsecond

// clientRequest is what a client wants: its first try and all that follow.
type clientRequest struct {
	model.Arrival
	tries    int
	done     bool
	attempts int    // over all tiers
	onEnd    func() // a closed loop goes on
}

// nextArrival schedules the next first try.
func (w *World) nextArrival() {
	a, ok := w.arrivals.Next()
	if !ok {
		return
	}
	w.at(a.At, func() {
		w.startRequest(&clientRequest{Arrival: a})
		w.nextArrival()
	})
}

// startClosedLoop has a client make one request after another, until the arrivals end.
func (w *World) startClosedLoop() {
	if w.now >= w.scenario.Length {
		return
	}
	r := &clientRequest{Arrival: w.arrivals.Draw(w.now)}
	r.onEnd = w.startClosedLoop
	w.startRequest(r)
}

func (w *World) startRequest(r *clientRequest) {
	w.score.RequestBegun(r.At, r.Class, r.Tenant)
	w.startTry(r)
}

// clientTry is one try of a client's request at a node.
type clientTry struct {
	world       *World
	client      *clientRequest
	node        *node
	incarnation int // of the node that it was sent to
	timeout     time.Duration
	deadline    time.Duration
	isRetry     bool
	ended       bool // for the client
}

// startTry sends a request's next try through the ingress.
func (w *World) startTry(r *clientRequest) {
	class := w.scenario.Classes[r.Class]
	left := r.At + class.Deadline - w.now
	if left <= 0 {
		w.endRequest(r, score.Failed)
		return
	}
	t := &clientTry{world: w, client: r, isRetry: r.tries > 0}
	t.timeout = model.TryTimeout(w.scenario, r.Class, r.tries, model.MaxRetries(w.scenario, w.retryStorm), left)
	t.deadline = w.now + t.timeout
	r.tries++
	w.score.Tries++
	hop := w.jitter(w.scenario.Network.ClientLatency)
	if t.node = w.ingress.pickNode(); t.node == nil {
		w.after(w.scenario.Clients.Backoff+hop, func() { w.retry(r, 0, true) })
		return
	}
	w.at(t.deadline, func() {
		if t.end() {
			w.retry(r, 0, class.Effect == balancer.Idempotent)
		}
	})
	t.incarnation = t.node.incarnation
	w.after(hop, func() { t.arrive(hop) })
}

// end ends the try for its client. It returns false if it has ended before.
func (t *clientTry) end() bool {
	ended := t.ended
	t.ended = true
	return !ended
}

// arrive is the try at its node.
func (t *clientTry) arrive(hop time.Duration) {
	w, n, client := t.world, t.node, t.client
	if !n.alive || n.incarnation != t.incarnation { // the connection is refused: the request never got there
		w.after(hop, func() {
			if t.end() {
				w.retry(client, w.scenario.Clients.Backoff, true)
			}
		})
		return
	}
	r := &nodeRequest{id: w.newID(), class: client.Class, deadline: t.deadline, work: client.Work, client: client}
	r.reply = func(answer checker.Answer, retryAfter time.Duration) {
		w.after(w.jitter(w.scenario.Network.ClientLatency), func() {
			if t.end() {
				w.answerReceived(client, answer, retryAfter)
			}
		})
	}
	n.accept(r)
	n.handle(balancer.Request{ID: r.id, Class: w.scenario.Classes[client.Class].Name, Deadline: t.deadline,
		ClientRetry: t.isRetry && w.scenario.Clients.MarkRetries})
	if client.LeavesAfter > 0 && !t.isRetry {
		w.after(time.Duration(client.LeavesAfter*float64(t.timeout)), func() { t.leave(r.id) })
	}
}

// leave is an impatient client that leaves before its time is up.
func (t *clientTry) leave(id string) {
	if t.node.incarnation == t.incarnation && t.end() {
		t.node.clientGone(id)
		t.world.endRequest(t.client, score.Abandoned)
	}
}

// answerReceived is a node's answer at the client.
func (w *World) answerReceived(r *clientRequest, answer checker.Answer, retryAfter time.Duration) {
	switch answer {
	case checker.Served:
		w.endRequest(r, score.Served)
	case checker.Rejected:
		w.score.TryRejected(w.now)
		w.retry(r, w.pauseAfterRejection(r, retryAfter), true)
	default:
		w.retry(r, w.scenario.Clients.Backoff, w.scenario.Classes[r.Class].Effect == balancer.Idempotent)
	}
}

// pauseAfterRejection is how long a client waits before it retries what was rejected: the backoff, or what Retry-After says
// if it honors that, or nothing in a retry storm.
func (w *World) pauseAfterRejection(r *clientRequest, retryAfter time.Duration) time.Duration {
	switch {
	case w.retryStorm > 1:
		return 0
	case r.HonoursRetryAfter && retryAfter > 0:
		return retryAfter
	}
	return w.scenario.Clients.Backoff
}

// retry retries after a pause, where that is safe and there is time and a try left.
func (w *World) retry(r *clientRequest, pause time.Duration, safe bool) {
	if !safe || r.tries > model.MaxRetries(w.scenario, w.retryStorm) || w.now+pause >= r.At+w.scenario.Classes[r.Class].Deadline {
		w.endRequest(r, score.Failed)
		return
	}
	w.after(pause, func() { w.startTry(r) })
}

// endRequest is the end of a client's request.
func (w *World) endRequest(r *clientRequest, outcome score.Outcome) {
	if r.done {
		return
	}
	r.done = true
	w.score.RequestEnded(r.At, w.now-r.At, r.Class, r.Tenant, r.attempts, outcome)
	if r.onEnd != nil {
		w.after(closedLoopPause, r.onEnd)
	}
}
