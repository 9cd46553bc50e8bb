package engine

import (
	"testing"
	"testing/synctest"

	"hookwalk.example/hookwalk/balancer"
)

// The response to an attempt streams to the client, then the connection to the server breaks. The client has seen a part, so
// there is no retry, also of an idempotent call: the call fails, and nothing of it is kept. Once such calls were kept for ever.
func TestBrokenStreamFailsCall(t *testing.T) {
	for _, outcome := range []balancer.Outcome{balancer.ConnectionLost, balancer.Failure, balancer.Overloaded, balancer.TimedOut} {
		withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
			got := doAsync(t.Context(), e, newCall(e, "1", "idempotent"))
			a := receive(t, s.started)
			e.ResponseStarted(a)
			e.AttemptEnded(Result{Attempt: a, Outcome: outcome})
			if answer := receive(t, got); answer.Verdict != Failed {
				t.Errorf("outcome %v: answered %+v", outcome, answer)
			}
			synctest.Wait()
			if len(e.calls) > 0 || len(s.started) > 0 {
				t.Errorf("outcome %v: %d calls kept, %d more attempts", outcome, len(e.calls), len(s.started))
			}
		})
	}
}
