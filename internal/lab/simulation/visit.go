package simulation

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// visit is the processing of one request at one server: half of the work, then the calls to the next tier one after
// another, then the other half. A failed call ends the visit with an error.
type visit struct {
	world             *World
	attempt           *attempt
	job               model.Job
	serverIncarnation int
	handshake         time.Duration
	ownWork           time.Duration // without the handshake
	callsLeft         int
	workFactor        float64 // passed on to the calls
	ended             bool
}

// newVisit draws the work and the calls of a visit.
func newVisit(w *World, a *attempt, handshake time.Duration) *visit {
	s, class := a.server, w.scenario.Classes[a.request.class]
	v := &visit{world: w, attempt: a, serverIncarnation: s.Incarnation, handshake: handshake, workFactor: a.request.work}
	v.job.Owner = v
	factor := v.workFactor
	if t := w.heavyTails[a.request.class]; t.factor > 1 && w.rng.Float64() < t.share {
		factor *= t.factor
	}
	v.ownWork = time.Duration(factor * s.tier.Work * float64(class.Work))
	if s.node != nil {
		v.callsLeft = int(s.tier.Calls)
		if w.rng.Float64() < s.tier.Calls-float64(v.callsLeft) {
			v.callsLeft++
		}
	}
	return v
}

// beginWork sets the work of the first stage and returns the work of all stages.
func (v *visit) beginWork() time.Duration {
	v.job.Work = v.ownWork
	if v.callsLeft > 0 {
		v.job.Work /= 2
	}
	v.job.Work += v.handshake
	return v.ownWork + v.handshake
}

// stageDone handles the end of a stage. After the first stage the visit makes its calls; after the last it answers.
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

// callNextTier makes a call through the server's node.
func (v *visit) callNextTier() {
	w, n := v.world, v.attempt.server.node
	v.callsLeft--
	caller := v.attempt.request
	if !n.alive {
		v.finish(false)
		return
	}
	r := &nodeRequest{id: w.newID(), class: caller.class, deadline: caller.deadline, work: v.workFactor, client: caller.client}
	if r.deadline <= w.now {
		v.finish(false)
		return
	}
	r.reply = func(answer checker.Answer, _ time.Duration) {
		if v.hasEnded() {
			return
		}
		// Runs after the node's event handler has returned, because the next call would reenter the handler.
		w.after(0, func() { v.callAnswered(answer) })
	}
	n.accept(r)
	n.handle(balancer.Request{ID: r.id, Class: w.scenario.Classes[r.class].Name, Deadline: r.deadline})
}

// hasEnded reports whether the visit or its server's incarnation has ended.
func (v *visit) hasEnded() bool {
	return v.ended || v.attempt.server.Incarnation != v.serverIncarnation
}

// callAnswered continues the visit after a call.
func (v *visit) callAnswered(answer checker.Answer) {
	w, s := v.world, v.attempt.server
	switch {
	case v.hasEnded():
	case answer != checker.Served:
		v.finish(false)
	case v.callsLeft > 0:
		v.callNextTier()
	default:
		s.Resume(w.now, &v.job, v.ownWork/2)
		w.scheduleCompletion(s)
	}
}

// finish frees the slot and answers with a success or an error.
func (v *visit) finish(succeeded bool) {
	w, s := v.world, v.attempt.server
	v.ended = true
	s.Release(w.now, &v.job)
	w.scheduleCompletion(s)
	if v.attempt.ended || v.attempt.request.client.done {
		w.score.Wasted += v.job.WorkDone
	}
	if s.Unreachable {
		return
	}
	hop := w.jitter(w.scenario.Network.ServerLatency)
	switch {
	case succeeded && s.brokenShare > 0 && w.rng.Float64() < s.brokenShare:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptBroken})
		v.attempt.endAfter(hop, balancer.ConnectionLost)
	case !succeeded || s.Kind.ErrorRate > 0 && w.rng.Float64() < s.Kind.ErrorRate:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: http.StatusInternalServerError})
		v.attempt.endAfter(hop, balancer.Failure)
	default:
		v.attempt.record(blackbox.Event{Kind: blackbox.AttemptAnswered, Status: http.StatusOK, Body: v.attempt.serverID})
		v.attempt.endAfter(hop, balancer.Success)
	}
}
