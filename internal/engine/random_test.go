package engine

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Calls, results of attempts, endpoint updates and disconnecting clients occur in random order, with 30 seeds. Whatever the
// order, each call gets one answer by its deadline and has at most one outstanding attempt, nothing is sent to a server
// that is out of service, and a non-idempotent call that may have run is neither retried nor rejected.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		withEngine(t, randomServers, func(t *testing.T, e *Engine, s *manualSender) {
			r := &randomEvents{
				T: t, engine: e, sender: s, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
				outstanding:  map[*Call]*Attempt{},
				mayHaveRun:   map[*Call]bool{},
				answers:      map[*Call]<-chan Answer{},
				cancels:      map[*Call]context.CancelFunc{},
				clientGone:   map[*Call]bool{},
				outOfService: map[string]bool{},
			}
			for n := range 200 {
				r.event(n)
				r.startAttempts()
				time.Sleep(time.Duration(r.rng.IntN(100)) * time.Millisecond) // on the bubble's clock
				r.checkDeadlines()
			}
			time.Sleep(5 * time.Second)
			r.startAttempts()
			r.checkDeadlines()
			answered := r.checkAnswers()
			synctest.Wait()
			if len(e.calls) > 0 || answered < 50 {
				t.Errorf("seed %d: %d calls not removed at the end, %d answered", seed, len(e.calls), answered)
			}
		})
	}
}

const randomServers = 6

// randomEvents generates random events for an engine, and tracks which actions of the engine they allow.
type randomEvents struct {
	*testing.T
	engine *Engine
	sender *manualSender
	seed   uint64
	rng    *rand.Rand

	calls        []*Call
	outstanding  map[*Call]*Attempt
	mayHaveRun   map[*Call]bool
	answers      map[*Call]<-chan Answer
	cancels      map[*Call]context.CancelFunc
	clientGone   map[*Call]bool
	outOfService map[string]bool
}

// event generates one event, which is a call with probability 1/2. n is unique to the event and becomes the call's ID.
func (r *randomEvents) event(n int) {
	switch k := r.rng.IntN(10); {
	case k < 5:
		c := newCall(r.engine, strconv.Itoa(n), []string{"idempotent", "non-idempotent"}[r.rng.IntN(2)])
		ctx, cancel := context.WithCancel(r.Context())
		r.answers[c], r.cancels[c] = doAsync(ctx, r.engine, c), cancel
		r.calls = append(r.calls, c)
	case k < 8 && len(r.calls) > 0:
		if c := r.randomCall(); r.outstanding[c] != nil {
			r.endAttempt(c, balancer.Outcome(r.rng.IntN(int(balancer.NotSent)+1)))
		}
	case k == 8:
		endpoint := completeList(randomServers).Endpoints[r.rng.IntN(randomServers)]
		endpoint.State, endpoint.StartTime = balancer.ServerState(r.rng.IntN(3)), time.Duration(r.rng.IntN(2))
		r.engine.ApplyUpdate(r.Context(), Update{Endpoints: []Endpoint{endpoint}})
		r.outOfService[endpoint.ID] = endpoint.State != balancer.Ready
	case k == 9 && len(r.calls) > 0 && r.rng.IntN(4) == 0:
		c := r.randomCall()
		r.clientGone[c] = true
		r.cancels[c]()
	}
}

func (r *randomEvents) randomCall() *Call { return r.calls[r.rng.IntN(len(r.calls))] }

// startAttempts receives the attempts that the engine has started, and checks that each is allowed.
func (r *randomEvents) startAttempts() {
	r.Helper()
	synctest.Wait()
	for len(r.sender.started) > 0 {
		a := <-r.sender.started
		switch {
		case r.outstanding[a.Call] != nil || a.Number > 2:
			r.Fatalf("seed %d: attempt %d started; another attempt outstanding: %v", r.seed, a.Number, r.outstanding[a.Call] != nil)
		case r.outOfService[a.Target.ID] && a.MaySend(r.engine.Clock.Now()):
			r.Fatalf("seed %d: an attempt may be sent to %s, which is out of service", r.seed, a.Target.ID)
		case r.mayHaveRun[a.Call] && a.Call.Request.Class == "non-idempotent":
			r.Fatalf("seed %d: a non-idempotent call that may have run was retried", r.seed)
		}
		r.outstanding[a.Call] = a
	}
}

// endAttempt delivers the result of a call's outstanding attempt.
func (r *randomEvents) endAttempt(c *Call, outcome balancer.Outcome) {
	r.Helper()
	a := r.outstanding[c]
	delete(r.outstanding, c)
	switch outcome {
	case balancer.Failure, balancer.ConnectionLost, balancer.TimedOut:
		r.mayHaveRun[c] = true
	}
	r.engine.AttemptEnded(Result{Attempt: a, Outcome: outcome})
	r.startAttempts()
}

// checkDeadlines ends the outstanding attempts whose deadline has passed, and checks that each call whose deadline has
// passed was answered.
func (r *randomEvents) checkDeadlines() {
	r.Helper()
	for _, c := range r.calls {
		if a := r.outstanding[c]; a != nil && r.engine.Clock.Now() >= a.Deadline {
			r.endAttempt(c, balancer.TimedOut)
		}
		late := r.engine.Clock.Now() > c.Request.Deadline
		if late && r.outstanding[c] == nil && !r.clientGone[c] && len(r.answers[c]) != 1 {
			r.Fatalf("seed %d: call %s has no answer by its deadline", r.seed, c.Request.ID)
		}
	}
}

// checkAnswers checks the answers to all calls and counts them.
func (r *randomEvents) checkAnswers() (answered int) {
	r.Helper()
	for _, c := range r.calls {
		r.cancels[c]()
		a, ok := <-r.answers[c]
		if !ok {
			continue
		}
		answered++
		if a.Verdict == Rejected && r.mayHaveRun[c] && c.Request.Class == "non-idempotent" {
			r.Fatalf("seed %d: a non-idempotent call that may have run was rejected", r.seed)
		}
	}
	return answered
}
