package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// What was chosen before the list expired is not written after, whatever the loop is busy with; what can't be sent is
// answered at once, and the first call after the list is confirmed is sent.
func TestNothingIsSentOnAnExpiredList(t *testing.T) {
	inBubble(t, 10, func(t *testing.T, e *Engine, s *scripted) {
		const left = 300 * time.Millisecond
		e.RenewLease(Lease{Until: time.Now().Add(left)})
		got := asked(t.Context(), e, newCall(e, "1", "unsafe"))
		a := next(t, s.started)
		if !a.MaySend(e.Clock.Now()) || a.MaySend(e.Clock.Now()+left) {
			t.Error("the attempt does not end with the lease")
		}
		<-time.After(left)
		refused := asked(t.Context(), e, newCall(e, "2", "unsafe"))
		if a := next(t, refused); a.Verdict != Rejected || a.RetryAfter == 0 {
			t.Errorf("answered %+v", a)
		}
		e.RenewLease(Lease{Unbounded: true})
		synctest.Wait()
		served := asked(t.Context(), e, newCall(e, "3", "unsafe"))
		b := next(t, s.started)
		if !a.MaySend(e.Clock.Now()) || !b.MaySend(e.Clock.Now()) {
			t.Error("nothing may be sent while discovery is away")
		}
		e.AttemptEnded(Result{Attempt: a, Reply: 1})
		e.AttemptEnded(Result{Attempt: b, Reply: 2})
		if a, b := next(t, got), next(t, served); a.Verdict != Served || b.Verdict != Served {
			t.Errorf("answered %+v and %+v", a, b)
		}
	})
}
