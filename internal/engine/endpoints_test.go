package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// A server drains, leaves the list, moves or restarts while an attempt waits for a connection to it: the attempt may not be
// sent any more, and what is kept for the old target is retired. What had been sent before ends as usual.
func TestUpdateStopsTargets(t *testing.T) {
	for name, change := range map[string]func(*Endpoint){
		"drains":    func(endpoint *Endpoint) { endpoint.State = balancer.Draining },
		"removed":   func(endpoint *Endpoint) { endpoint.State = balancer.Removed },
		"moved":     func(endpoint *Endpoint) { endpoint.Addr = "10.9.9.9:1" },
		"restarted": func(endpoint *Endpoint) { endpoint.StartTime = time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			withEngine(t, 1, func(t *testing.T, e *Engine, s *manualSender) {
				got := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
				attempt := receive(t, s.started)
				endpoint := completeList(1).Endpoints[0]
				change(&endpoint)
				if err := e.ApplyUpdate(t.Context(), Update{Endpoints: []Endpoint{endpoint}}); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if attempt.MaySend(e.Clock.Now()) || len(s.retired) != 1 || s.retired[0] != attempt.Target {
					t.Errorf("may send: %v, retired %v", attempt.MaySend(e.Clock.Now()), s.retired)
				}
				if ready := endpoint.State == balancer.Ready; e.HasUsableServer() != ready {
					t.Errorf("usable: %v", e.HasUsableServer())
				}
				e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Success}) // it had been sent before
				if a := receive(t, got); a.Verdict != Served {
					t.Errorf("the call of the attempt that was out got %+v", a)
				}
			})
		})
	}
	t.Run("not in a complete list", func(t *testing.T) {
		withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
			if err := e.ApplyUpdate(t.Context(), completeList(1)); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if len(s.retired) != 2 || len(e.targets) != 1 {
				t.Errorf("%d targets retired, %d left", len(s.retired), len(e.targets))
			}
		})
	})
}
