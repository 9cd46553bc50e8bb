package policies

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// streamConstant is the second half of a reference policy's seed. Any odd constant will do.
const streamConstant = 0x9e3779b9

// The backoff before the next poll of discovery doubles with each failure, from 1/32 of the poll interval to a quarter
// of it. Jitter shortens it by up to half, so that nodes that lost discovery at the same time don't poll at the same
// time.
const (
	maxPollFailures    = 4   // after which the backoff no longer doubles
	pollPauseDivisor   = 64  // of the poll interval
	pollPauseJitterMin = 0.5 // minimum share of the backoff
)

// pollTimer is the token of the timer for the next poll.
const pollTimer = "list"

// reference is a reference policy. The policies differ only in choose.
type reference struct {
	settings     balancer.Settings
	rng          *rand.Rand
	choose       chooser
	endpoints    map[string]*endpoint
	ready        []*endpoint // sorted by ID
	requests     map[string]*request
	pollFailures int
	actions      []balancer.Action // in response to the current event
}

// endpoint is a server of the endpoint list, with the number of attempts in flight to it.
type endpoint struct {
	balancer.Server
	inFlight int
}

// request is a request that is unanswered or has attempts in flight.
type request struct {
	class            balancer.Class
	deadline         time.Duration
	attempts         []*endpoint
	mayHaveRun       bool
	attemptsInFlight int
	answered         bool
}

func newReference(settings balancer.Settings, seed uint64) *reference {
	return &reference{settings: settings, rng: rand.New(rand.NewPCG(seed, streamConstant)),
		endpoints: map[string]*endpoint{}, requests: map[string]*request{}}
}

// emit adds an action to the result of Handle.
func (r *reference) emit(a balancer.Action) { r.actions = append(r.actions, a) }

// Handle processes an event and returns the resulting actions.
func (r *reference) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	r.actions = nil
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		r.applyUpdate(e)
	case balancer.WatchFailed:
		r.schedulePoll(now)
	case balancer.TimerFired:
		r.emit(balancer.Subscribe{})
	case balancer.Request:
		r.admit(now, e)
	case balancer.AttemptEnded:
		r.attemptEnded(now, e)
	case balancer.ClientGone:
		if q := r.requests[e.ID]; q != nil {
			q.answered = true
			r.deleteIfFinished(e.ID, q)
		}
	}
	return r.actions
}

// schedulePoll sets the timer for the next poll.
func (r *reference) schedulePoll(now time.Duration) {
	r.pollFailures = min(r.pollFailures+1, maxPollFailures)
	pause := float64(r.settings.MaxPollInterval) / pollPauseDivisor * float64(int(1)<<r.pollFailures) * (pollPauseJitterMin + r.rng.Float64()/2)
	r.emit(balancer.SetTimer{At: now + time.Duration(pause) + 1, Token: pollTimer})
}

// applyUpdate applies a complete endpoint list or changes to it. Attempts in flight keep the endpoint that they were
// sent to.
func (r *reference) applyUpdate(update balancer.EndpointUpdate) {
	if update.Complete {
		clear(r.endpoints)
		for _, e := range r.ready {
			r.endpoints[e.ID] = e
			e.State = balancer.Removed
		}
	}
	for _, s := range update.Servers {
		if e := r.endpoints[s.ID]; e != nil && e.StartTime == s.StartTime {
			e.Server = s
		} else {
			r.endpoints[s.ID] = &endpoint{Server: s}
		}
	}
	r.listReady()
	if update.Cached && r.settings.PollDiscovery {
		r.emit(balancer.Subscribe{})
	} else {
		r.pollFailures = 0
	}
}

// listReady rebuilds the list of ready endpoints and deletes removed ones.
func (r *reference) listReady() {
	r.ready = nil
	for id, e := range r.endpoints {
		switch e.State {
		case balancer.Ready:
			r.ready = append(r.ready, e)
		case balancer.Removed:
			delete(r.endpoints, id)
		}
	}
	slices.SortFunc(r.ready, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
}

// admit accepts a request. A request of an unknown class is treated as non-idempotent.
func (r *reference) admit(now time.Duration, e balancer.Request) {
	if r.requests[e.ID] != nil {
		return
	}
	q := &request{deadline: e.Deadline}
	for _, c := range r.settings.Classes {
		if c.Name == e.Class {
			q.class = c
		}
	}
	r.requests[e.ID] = q
	r.dispatch(now, e.ID, q)
}

// dispatch sends a request to a server that has not received it yet, or gives its final answer.
func (r *reference) dispatch(now time.Duration, id string, q *request) {
	untried := slices.DeleteFunc(slices.Clone(r.ready), func(e *endpoint) bool { return slices.Contains(q.attempts, e) })
	if len(untried) == 0 || len(q.attempts) >= max(1, r.settings.MaxAttempts) || !q.safeToSend() || now >= q.deadline {
		q.answered = true
		if q.safeToSend() {
			r.emit(balancer.Reject{ID: id})
		} else {
			r.emit(balancer.Fail{ID: id})
		}
		r.deleteIfFinished(id, q)
		return
	}
	chosen := r.choose(untried)
	chosen.inFlight++
	q.attempts = append(q.attempts, chosen)
	q.attemptsInFlight++
	r.emit(balancer.Send{ID: id, Server: chosen.ID, Timeout: q.deadline - now})
}

// safeToSend reports whether another attempt is harmless: the request has not run, or it may run again.
func (q *request) safeToSend() bool {
	return !q.mayHaveRun || q.class.Effect == balancer.Idempotent
}

// attemptEnded processes the outcome of an attempt. It retries a request that is not answered.
func (r *reference) attemptEnded(now time.Duration, e balancer.AttemptEnded) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) {
		return
	}
	q.attempts[e.Attempt].inFlight--
	q.attemptsInFlight--
	if e.Outcome != balancer.Overloaded && e.Outcome != balancer.Unreachable && e.Outcome != balancer.NotSent {
		q.mayHaveRun = true
	}
	if e.RequestDone {
		q.answered = true
	}
	if !q.answered && q.attemptsInFlight == 0 {
		r.dispatch(now, e.ID, q)
		return
	}
	r.deleteIfFinished(e.ID, q)
}

// deleteIfFinished deletes a request that is answered and has no attempt in flight.
func (r *reference) deleteIfFinished(id string, q *request) {
	if q.answered && q.attemptsInFlight == 0 {
		delete(r.requests, id)
	}
}
