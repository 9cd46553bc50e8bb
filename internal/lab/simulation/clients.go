package simulation

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// closedLoopPause is the time between the end of a closed loop's request and its next request. If it were zero,
// requests that fail at once would keep the clock from advancing.
const closedLoopPause = time.Microsecond

// clientRequest is a client's request: its first try and all retries.
type clientRequest struct {
	model.Arrival
	tries    int
	done     bool
	attempts int    // of all nodes, in all tiers
	onEnd    func() // continues a closed loop; nil: the client makes no further request
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

// startClosedLoop starts a request of a client that makes one request after another until the scenario's length is
// over.
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
	incarnation int // of the node when the try was sent
	timeout     time.Duration
	deadline    time.Duration
	isRetry     bool
	ended       bool // for the client; the node may still work on it
}

// startTry sends the next try of a request through the ingress.
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

// end ends the try for its client. It returns false if the try had already ended.
func (t *clientTry) end() bool {
	ended := t.ended
	t.ended = true
	return !ended
}

// arrive handles the arrival of the try at its node.
func (t *clientTry) arrive(hop time.Duration) {
	w, n, client := t.world, t.node, t.client
	if !n.alive || n.incarnation != t.incarnation { // the connection is refused, so the request has not arrived
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

// leave ends the request of an impatient client that leaves before its timeout expires.
func (t *clientTry) leave(id string) {
	if t.node.incarnation == t.incarnation && t.end() {
		t.node.clientGone(id)
		t.world.endRequest(t.client, score.Abandoned)
	}
}

// answerReceived handles the arrival of a node's answer at the client.
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

// pauseAfterRejection returns how long a client waits before it retries a rejected request: not at all in a retry
// storm, as long as Retry-After says if the client honors it, and for the backoff otherwise.
func (w *World) pauseAfterRejection(r *clientRequest, retryAfter time.Duration) time.Duration {
	switch {
	case w.retryStorm > 1:
		return 0
	case r.HonoursRetryAfter && retryAfter > 0:
		return retryAfter
	}
	return w.scenario.Clients.Backoff
}

// retry retries a request after a pause. The request fails if a retry is not safe, or no try or not enough time is
// left.
func (w *World) retry(r *clientRequest, pause time.Duration, safe bool) {
	if !safe || r.tries > model.MaxRetries(w.scenario, w.retryStorm) || w.now+pause >= r.At+w.scenario.Classes[r.Class].Deadline {
		w.endRequest(r, score.Failed)
		return
	}
	w.after(pause, func() { w.startTry(r) })
}

// endRequest ends a client's request with an outcome. Only the first call for a request has an effect.
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
