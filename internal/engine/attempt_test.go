package engine

import (
	"testing"
	"testing/synctest"

	"hookwalk.example/hookwalk/balancer"
)

// The connection to the server breaks while the response is streamed to the client. The client has received a part of the
// response, so not even an idempotent call may be retried: the call must fail and be removed. A bug kept such calls in
// Engine.calls forever.
func TestBrokenStreamFailsCall(t *testing.T) {
	for _, outcome := range []balancer.Outcome{balancer.ConnectionLost, balancer.Failure, balancer.Overloaded, balancer.TimedOut} {
		withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
			got := doAsync(t.Context(), e, newCall(e, "1", "idempotent"))
			a := receive(t, s.started)
			e.ResponseStarted(a)
			e.AttemptEnded(Result{Attempt: a, Outcome: outcome})
			if answer := receive(t, got); answer.Verdict != Failed {
				t.Errorf("outcome %v: got answer %+v, want Failed", outcome, answer)
			}
			synctest.Wait()
			if len(e.calls) > 0 || len(s.started) > 0 {
				t.Errorf("outcome %v: %d calls not removed, %d further attempts started", outcome, len(e.calls), len(s.started))
			}
		})
	}
}
