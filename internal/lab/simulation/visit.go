package simulation

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// visit is one request in one box: a part of the work, the calls to the next tier one after another, and then
// the rest. A call that does not succeed ends the visit in an error.
type visit struct {
	w         *World
	att       *attempt
	job       model.Job
	epoch     int
	handshake time.Duration
	own       time.Duration // the work of this visit, without the handshake
	calls     int           // still to make
	work      float64       // factor, handed down
	over      bool
}

func newVisit(w *World, a *attempt, handshake time.Duration) *visit {
	b, c := a.box, w.s.Classes[a.call.class]
	v := &visit{w: w, att: a, epoch: b.Epoch, handshake: handshake, work: a.call.work}
	v.job.Owner = v
	f := v.work
	if t := w.tails[a.call.class]; t.size > 1 && w.draws.Float64() < t.share {
		f *= t.size
	}
	v.own = time.Duration(f * b.spec.Work * float64(c.Work))
	if b.node != nil {
		v.calls = int(b.spec.Calls)
		if w.draws.Float64() < b.spec.Calls-float64(v.calls) {
			v.calls++
		}
	}
	return v
}

// first sets the first stretch of work and returns what the box will have to do in all.
func (v *visit) first() time.Duration {
	v.job.Work = v.own
	if v.calls > 0 {
		v.job.Work /= 2
	}
	v.job.Work += v.handshake
	return v.own + v.handshake
}

// stretchDone is the end of a stretch of work: calls follow, then the rest, then the answer.
func (v *visit) stretchDone() {
	if v.over {
		return
	}
	v.w.score.Work += v.job.Work
	if v.calls > 0 {
		v.call()
		return
	}
	v.finish(true)
}

func (v *visit) call() {
	w, b := v.w, v.att.box
	v.calls--
	n := b.node
	if !n.alive {
		v.finish(false)
		return
	}
	c := &call{id: w.newID(), class: v.att.call.class, deadline: v.att.call.deadline, work: v.work, root: v.att.call.root}
	if c.deadline <= w.now { // its caller has no time left
		v.finish(false)
		return
	}
	c.reply = func(how checker.Answer, _ time.Duration) {
		if v.over || b.Epoch != v.epoch {
			return
		}
		// Not within the node's own event: what follows may come back to it.
		w.after(0, func() {
			switch {
			case v.over || b.Epoch != v.epoch:
			case how != checker.Served:
				v.finish(false)
			case v.calls > 0:
				v.call()
			default:
				b.Resume(w.now, &v.job, v.own/2)
				w.look(b)
			}
		})
	}
	n.take(c)
	n.handle(balancer.Request{ID: c.id, Class: w.s.Classes[c.class].Name, Deadline: c.deadline})
}

// finish answers, well or with an error, and frees the slot.
func (v *visit) finish(good bool) {
	w, b := v.w, v.att.box
	v.over = true
	b.Leave(w.now, &v.job)
	w.look(b)
	if v.att.ended || v.att.call.root.done {
		w.score.Wasted += v.job.Given
	}
	if b.Cut {
		return
	}
	hop := w.jitter(w.s.Net.Hop)
	switch {
	case good && b.broken > 0 && w.draws.Float64() < b.broken:
		v.att.seen(blackbox.Event{What: blackbox.Broke})
		v.att.endAfter(hop, balancer.ConnectionLost)
	case !good || b.Kind.ErrorRate > 0 && w.draws.Float64() < b.Kind.ErrorRate:
		v.att.seen(blackbox.Event{What: blackbox.Reply, Status: 500})
		v.att.endAfter(hop, balancer.Failure)
	default:
		v.att.seen(blackbox.Event{What: blackbox.Reply, Status: 200, Body: v.att.to})
		v.att.endAfter(hop, balancer.Success)
	}
}
