package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/invariants"
)

// A node that shuts down may be killed soon after the last answer is due. Every call that is open then must be answered, also
// one whose attempt has a later deadline, and a call that arrives afterwards must be answered without an attempt.
func TestShutdownAnswersOpenCalls(t *testing.T) {
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		e.Violations = invariants.NewRecorder(discardLog())
		begun := e.Clock.Now()
		const untilAnswer = 300 * time.Millisecond
		inFlight := doAsync(t.Context(), e, newCall(e, "in flight", "non-idempotent"))
		streamedCall := newCall(e, "streamed", "non-idempotent")
		streamedCall.Request.StreamedBody, streamedCall.BodyTimeout = true, time.Hour
		streamed := doAsync(t.Context(), e, streamedCall)
		attempts := []*Attempt{receive(t, s.started), receive(t, s.started)}
		e.BeginShutdown(begun + untilAnswer)
		time.Sleep(untilAnswer)
		synctest.Wait()
		for name, answer := range map[string]<-chan Answer{"in flight": inFlight, "streamed": streamed} {
			if got := receive(t, answer); got.Verdict != Failed {
				t.Errorf("%s: got %+v, want Failed", name, got)
			}
		}
		time.Sleep(invariants.KillSlack + time.Millisecond)
		if got := receive(t, doAsync(t.Context(), e, newCall(e, "late", "non-idempotent"))); got.Verdict != Rejected {
			t.Errorf("a late call: got %+v, want Rejected", got)
		}
		if len(s.started) > 0 || e.Violations.Total() > 0 {
			t.Errorf("%d attempts of the late call, %d violations", len(s.started), e.Violations.Total())
		}
		for _, attempt := range attempts {
			e.AttemptEnded(Result{Attempt: attempt})
		}
	})
}
