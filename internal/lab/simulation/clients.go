package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// clientRequest is what a client wants: its first try and all that follow.
type clientRequest struct {
	model.Arrival
	tries    int
	done     bool
	attempts int
	onEnd    func() // a closed loop goes on
}

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

// startClosedLoop has one request at a time, until the arrivals end.
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

// startTry sends a root's next try by the front.
func (w *World) startTry(r *clientRequest) {
	class := w.scenario.Classes[r.Class]
	last := r.At + class.Deadline
	left := last - w.now
	if left <= 0 {
		w.endRequest(r, score.Failed)
		return
	}
	budget := model.TryTimeout(w.scenario, r.Class, r.tries, model.MaxRetries(w.scenario, w.retryStorm), left)
	repeat := r.tries > 0
	r.tries++
	w.score.Tries++
	deadline := w.now + budget
	hop := w.jitter(w.scenario.Network.ClientLatency)
	n := w.ingress.pickNode()
	if n == nil {
		w.after(w.scenario.Clients.Backoff+hop, func() { w.retry(r, 0, true) })
		return
	}
	ended := false // this try is over for the client
	w.at(deadline, func() {
		if !ended {
			ended = true
			w.retry(r, 0, class.Effect == balancer.Idempotent)
		}
	})
	life := n.incarnation
	w.after(hop, func() {
		if !n.alive || n.incarnation != life { // refused: it never got there
			w.after(hop, func() {
				if !ended {
					ended = true
					w.retry(r, w.scenario.Clients.Backoff, true)
				}
			})
			return
		}
		c := &call{id: w.newID(), class: r.Class, deadline: deadline, work: r.Work, request: r}
		c.reply = func(how checker.Answer, retryAfter time.Duration) {
			w.after(w.jitter(w.scenario.Network.ClientLatency), func() {
				if ended {
					return
				}
				ended = true
				w.answerReceived(r, how, retryAfter)
			})
		}
		n.accept(c)
		n.handle(balancer.Request{ID: c.id, Class: class.Name, Deadline: deadline, ClientRetry: repeat && w.scenario.Clients.MarkRetries})
		if r.LeavesAfter > 0 && !repeat {
			w.after(time.Duration(r.LeavesAfter*float64(budget)), func() {
				if n.incarnation == life && !ended {
					ended = true
					n.clientGone(c.id)
					w.endRequest(r, score.Abandoned)
				}
			})
		}
	})
}

// answerReceived is a node's answer at the client.
func (w *World) answerReceived(r *clientRequest, how checker.Answer, retryAfter time.Duration) {
	switch {
	case how == checker.Served:
		w.endRequest(r, score.Served)
	case how == checker.Rejected:
		w.score.TryRejected(w.now)
		wait := w.scenario.Clients.Backoff
		if r.HonoursRetryAfter && retryAfter > 0 {
			wait = retryAfter
		}
		if w.retryStorm > 1 {
			wait = 0
		}
		w.retry(r, wait, true)
	default:
		w.retry(r, w.scenario.Clients.Backoff, w.scenario.Classes[r.Class].Effect == balancer.Idempotent)
	}
}

// retry tries again after a wait, where that is safe and there is time and a try left.
func (w *World) retry(r *clientRequest, wait time.Duration, safe bool) {
	if !safe || r.tries > model.MaxRetries(w.scenario, w.retryStorm) || w.now+wait >= r.At+w.scenario.Classes[r.Class].Deadline {
		w.endRequest(r, score.Failed)
		return
	}
	w.after(wait, func() { w.startTry(r) })
}

// ended is a root's end.
func (w *World) endRequest(r *clientRequest, how score.Outcome) {
	if r.done {
		return
	}
	r.done = true
	w.score.RequestEnded(r.At, w.now-r.At, r.Class, r.Tenant, r.attempts, how)
	if r.onEnd != nil {
		w.after(time.Microsecond, r.onEnd)
	}
}

func sortedCalls(m map[string]*call) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
