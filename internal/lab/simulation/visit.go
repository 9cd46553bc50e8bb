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
	world             *World
	attempt           *attempt
	job               model.Job
	serverIncarnation int
	handshake         time.Duration
	ownWork           time.Duration // the work of this visit, without the handshake
	callsLeft         int           // still to make
	workFactor        float64       // factor, handed down
	ended             bool
}

func newVisit(w *World, a *attempt, handshake time.Duration) *visit {
	b, c := a.server, w.scenario.Classes[a.call.class]
	v := &visit{world: w, attempt: a, serverIncarnation: b.Incarnation, handshake: handshake, workFactor: a.call.work}
	v.job.Owner = v
	f := v.workFactor
	if t := w.heavyTails[a.call.class]; t.factor > 1 && w.rng.Float64() < t.share {
		f *= t.factor
	}
	v.ownWork = time.Duration(f * b.tier.Work * float64(c.Work))
	if b.node != nil {
		v.callsLeft = int(b.tier.Calls)
		if w.rng.Float64() < b.tier.Calls-float64(v.callsLeft) {
			v.callsLeft++
		}
	}
	return v
}

// beginWork sets the first stretch of work and returns what the box will have to do in all.
func (v *visit) beginWork() time.Duration {
	v.job.Work = v.ownWork
	if v.callsLeft > 0 {
		v.job.Work /= 2
	}
	v.job.Work += v.handshake
	return v.ownWork + v.handshake
}

// stageDone is the end of a stretch of work: calls follow, then the rest, then the answer.
func (v *visit) stageDone() {
	if v.ended {
		return
	}
	v.world.score.Work += v.job.Work
	if v.callsLeft > 0 {
		v.callNextTier()
		return
	}
	v.finish(true)
}

func (v *visit) callNextTier() {
	w, b := v.world, v.attempt.server
	v.callsLeft--
	n := b.node
	if !n.alive {
		v.finish(false)
		return
	}
	c := &call{id: w.newID(), class: v.attempt.call.class, deadline: v.attempt.call.deadline, work: v.workFactor, request: v.attempt.call.request}
	if c.deadline <= w.now { // its caller has no time left
		v.finish(false)
		return
	}
	c.reply = func(how checker.Answer, _ time.Duration) {
		if v.ended || b.Incarnation != v.serverIncarnation {
			return
		}
		// Not within the node's own event: what follows may come back to it.
		w.after(0, func() {
			switch {
			case v.ended || b.Incarnation != v.serverIncarnation:
			case how != checker.Served:
				v.finish(false)
			case v.callsLeft > 0:
				v.callNextTier()
			default:
				b.Resume(w.now, &v.job, v.ownWork/2)
				w.scheduleCompletion(b)
			}
		})
	}
	n.accept(c)
	n.handle(balancer.Request{ID: c.id, Class: w.scenario.Classes[c.class].Name, Deadline: c.deadline})
}

// finish answers, well or with an error, and frees the slot.
func (v *visit) finish(good bool) {
	w, b := v.world, v.attempt.server
	v.ended = true
	b.Release(w.now, &v.job)
	w.scheduleCompletion(b)
	if v.attempt.ended || v.attempt.call.request.done {
		w.score.Wasted += v.job.WorkDone
	}
	if b.Unreachable {
		return
	}
	hop := w.jitter(w.scenario.Network.ServerLatency)
	switch {
	case good && b.brokenShare > 0 && w.rng.Float64() < b.brokenShare:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptBroken})
		v.attempt.endAfter(hop, balancer.ConnectionLost)
	case !good || b.Kind.ErrorRate > 0 && w.rng.Float64() < b.Kind.ErrorRate:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: 500})
		v.attempt.endAfter(hop, balancer.Failure)
	default:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: 200, Body: v.attempt.serverID})
		v.attempt.endAfter(hop, balancer.Success)
	}
}
