package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// A server starts to drain, leaves the list, moves or restarts while an attempt waits for a connection to it. The attempt
// must not be sent any more, and the old target must be retired. Attempts that were sent before end normally.
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
					t.Errorf("MaySend %v, retired targets %v", attempt.MaySend(e.Clock.Now()), s.retired)
				}
				if ready := endpoint.State == balancer.Ready; e.HasUsableServer() != ready {
					t.Errorf("HasUsableServer %v, want %v", e.HasUsableServer(), ready)
				}
				e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Success}) // as if it had been sent before the update
				if a := receive(t, got); a.Verdict != Served {
					t.Errorf("the call of the outstanding attempt got %+v, want Served", a)
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
				t.Errorf("%d targets retired, %d remain; want 2 and 1", len(s.retired), len(e.targets))
			}
		})
	})
}
