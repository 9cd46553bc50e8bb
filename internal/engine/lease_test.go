package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// Discovery stops answering, so the endpoint list expires while an attempt waits for a connection. The attempt must not be
// written any more; new calls are rejected at once, with a Retry-After; and once discovery has confirmed the list, which
// renews the lease, both the old attempt and new calls may be sent. Nodes had sent to draining servers for
// seconds, because only the log heard of the expiry.
func TestNoSendOnExpiredEndpointList(t *testing.T) {
	withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
		const remaining = 300 * time.Millisecond
		e.RenewLease(Lease{Until: time.Now().Add(remaining)})
		got := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		a := receive(t, s.started)
		if !a.MaySend(e.Clock.Now()) || a.MaySend(e.Clock.Now()+remaining) {
			t.Error("the attempt does not end with the lease")
		}
		<-time.After(remaining)
		rejected := doAsync(t.Context(), e, newCall(e, "2", "non-idempotent"))
		if a := receive(t, rejected); a.Verdict != Rejected || a.RetryAfter == 0 {
			t.Errorf("answered %+v", a)
		}
		e.RenewLease(Lease{Until: time.Now().Add(time.Minute)})
		synctest.Wait()
		served := doAsync(t.Context(), e, newCall(e, "3", "non-idempotent"))
		b := receive(t, s.started)
		if !a.MaySend(e.Clock.Now()) || !b.MaySend(e.Clock.Now()) {
			t.Error("nothing may be sent on a list that was confirmed")
		}
		e.AttemptEnded(Result{Attempt: a, Reply: 1})
		e.AttemptEnded(Result{Attempt: b, Reply: 2})
		if a, b := receive(t, got), receive(t, served); a.Verdict != Served || b.Verdict != Served {
			t.Errorf("answered %+v and %+v", a, b)
		}
	})
}
