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

// Calls, outcomes, endpoint changes and clients that go away come in random order, thirty times over. Whatever the order,
// each call gets one answer by its deadline and has one attempt out at most; nothing goes to a server that is out of
// service; and a non-idempotent call that may have run is neither sent again nor rejected.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		withEngine(t, 6, func(t *testing.T, e *Engine, s *manualSender) {
			rng := rand.New(rand.NewPCG(seed, 1))
			outstanding := map[*Call]*Attempt{}
			mayHaveRun := map[*Call]bool{}
			answers := map[*Call]<-chan Answer{}
			cancels := map[*Call]context.CancelFunc{}
			outOfService, clientGone := map[string]bool{}, map[*Call]bool{}
			answered, calls := 0, []*Call{}
			receiveAttempts := func() {
				synctest.Wait()
				for len(s.started) > 0 {
					a := <-s.started
					switch {
					case outstanding[a.Call] != nil || a.Number > 2:
						t.Fatalf("seed %d: attempt %d while another is out: %v", seed, a.Number, outstanding[a.Call] != nil)
					case outOfService[a.Target.ID] && a.MaySend(e.Clock.Now()):
						t.Fatalf("seed %d: sent to %s, which is out of service", seed, a.Target.ID)
					case mayHaveRun[a.Call] && a.Call.Request.Class == "non-idempotent":
						t.Fatalf("seed %d: a non-idempotent call is sent again", seed)
					}
					outstanding[a.Call] = a
				}
			}
			end := func(c *Call, outcome balancer.Outcome) {
				a := outstanding[c]
				delete(outstanding, c)
				mayHaveRun[c] = mayHaveRun[c] || outcome == balancer.Failure || outcome == balancer.ConnectionLost || outcome == balancer.TimedOut
				e.AttemptEnded(Result{Attempt: a, Outcome: outcome})
				receiveAttempts()
			}
			checkDeadlines := func() {
				for _, c := range calls {
					if a := outstanding[c]; a != nil && e.Clock.Now() >= a.Deadline {
						end(c, balancer.TimedOut)
					}
					if e.Clock.Now() > c.Request.Deadline && outstanding[c] == nil && !clientGone[c] && len(answers[c]) != 1 {
						t.Fatalf("seed %d: no answer by the deadline", seed)
					}
				}
			}
			for i := range 200 {
				switch k := rng.IntN(10); {
				case k < 5:
					c := newCall(e, strconv.Itoa(i), []string{"idempotent", "non-idempotent"}[rng.IntN(2)])
					ctx, cancel := context.WithCancel(t.Context())
					answers[c], cancels[c] = doAsync(ctx, e, c), cancel
					calls = append(calls, c)
				case k < 8 && len(calls) > 0:
					if c := calls[rng.IntN(len(calls))]; outstanding[c] != nil {
						end(c, balancer.Outcome(rng.IntN(int(balancer.NotSent)+1)))
					}
				case k == 8:
					endpoint := completeList(6).Endpoints[rng.IntN(6)]
					endpoint.State, endpoint.StartTime = balancer.ServerState(rng.IntN(3)), time.Duration(rng.IntN(2))
					e.ApplyUpdate(t.Context(), Update{Endpoints: []Endpoint{endpoint}})
					outOfService[endpoint.ID] = endpoint.State != balancer.Ready
				case k == 9 && len(calls) > 0 && rng.IntN(4) == 0:
					c := calls[rng.IntN(len(calls))]
					clientGone[c] = true
					cancels[c]()
				}
				receiveAttempts()
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond) // of the bubble's clock
				checkDeadlines()
			}
			time.Sleep(5 * time.Second)
			receiveAttempts()
			checkDeadlines()
			for _, c := range calls {
				cancels[c]()
				if a, ok := <-answers[c]; ok {
					answered++
					if a.Verdict == Rejected && mayHaveRun[c] && c.Request.Class == "non-idempotent" {
						t.Fatalf("seed %d: rejected, but may have run", seed)
					}
				}
			}
			synctest.Wait()
			if len(e.calls) > 0 || answered < 50 {
				t.Errorf("seed %d: %d calls kept in the end, %d answered", seed, len(e.calls), answered)
			}
		})
	}
}
