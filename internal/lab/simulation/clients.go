package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// root is what a client wants: its first try and all that follow.
type root struct {
	model.Arrival
	tries    int
	done     bool
	attempts int
	again    func() // a closed loop goes on
}

func (w *World) nextArrival() {
	a, ok := w.arrivals.Next()
	if !ok {
		return
	}
	w.at(a.At, func() {
		w.ask(&root{Arrival: a})
		w.nextArrival()
	})
}

// loopClient has one request at a time, until the arrivals end.
func (w *World) loopClient() {
	if w.now >= w.s.Length {
		return
	}
	r := &root{Arrival: w.arrivals.Draw(w.now)}
	r.again = w.loopClient
	w.ask(r)
}

func (w *World) ask(r *root) {
	w.score.Asked(r.At, r.Class, r.Tenant)
	w.try(r)
}

// try sends a root's next try by the front.
func (w *World) try(r *root) {
	class := w.s.Classes[r.Class]
	last := r.At + class.Deadline
	left := last - w.now
	if left <= 0 {
		w.over(r, score.Failed)
		return
	}
	budget := model.Budget(w.s, r.Class, r.tries, model.Retries(w.s, w.storm), left)
	repeat := r.tries > 0
	r.tries++
	w.score.Tries++
	deadline := w.now + budget
	hop := w.jitter(w.s.Net.Client)
	n := w.front.deal()
	if n == nil {
		w.after(w.s.Clients.Backoff+hop, func() { w.retry(r, 0, true) })
		return
	}
	ended := false // this try is over for the client
	w.at(deadline, func() {
		if !ended {
			ended = true
			w.retry(r, 0, class.Effect == balancer.Idempotent)
		}
	})
	life := n.life
	w.after(hop, func() {
		if !n.alive || n.life != life { // refused: it never got there
			w.after(hop, func() {
				if !ended {
					ended = true
					w.retry(r, w.s.Clients.Backoff, true)
				}
			})
			return
		}
		c := &call{id: w.newID(), class: r.Class, deadline: deadline, work: r.Work, root: r}
		c.reply = func(how checker.Answer, retryAfter time.Duration) {
			w.after(w.jitter(w.s.Net.Client), func() {
				if ended {
					return
				}
				ended = true
				w.answered(r, how, retryAfter)
			})
		}
		n.take(c)
		n.handle(balancer.Request{ID: c.id, Class: class.Name, Deadline: deadline, ClientRetry: repeat && w.s.Clients.Marks})
		if r.Leaves > 0 && !repeat {
			w.after(time.Duration(r.Leaves*float64(budget)), func() {
				if n.life == life && !ended {
					ended = true
					n.gone(c.id)
					w.over(r, score.Left)
				}
			})
		}
	})
}

// answered is a node's answer at the client.
func (w *World) answered(r *root, how checker.Answer, retryAfter time.Duration) {
	switch {
	case how == checker.Served:
		w.over(r, score.Served)
	case how == checker.Refused:
		w.score.Refused(w.now)
		wait := w.s.Clients.Backoff
		if r.Honour && retryAfter > 0 {
			wait = retryAfter
		}
		if w.storm > 1 {
			wait = 0
		}
		w.retry(r, wait, true)
	default:
		w.retry(r, w.s.Clients.Backoff, w.s.Classes[r.Class].Effect == balancer.Idempotent)
	}
}

// retry tries again after a wait, where that is safe and there is time and a try left.
func (w *World) retry(r *root, wait time.Duration, safe bool) {
	if !safe || r.tries > model.Retries(w.s, w.storm) || w.now+wait >= r.At+w.s.Classes[r.Class].Deadline {
		w.over(r, score.Failed)
		return
	}
	w.after(wait, func() { w.try(r) })
}

// over is a root's end.
func (w *World) over(r *root, how score.End) {
	if r.done {
		return
	}
	r.done = true
	w.score.Over(r.At, w.now-r.At, r.Class, r.Tenant, r.attempts, how)
	if r.again != nil {
		w.after(time.Microsecond, r.again)
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
