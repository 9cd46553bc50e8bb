package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// Discovery stops answering, so the endpoint list expires while an attempt waits for a connection. The attempt must not be
// sent any more, and new calls must be rejected immediately, with a Retry-After. After discovery has confirmed the list,
// which renews the lease, the old attempt and new calls may be sent. In an earlier version, the expiry was only logged, and
// nodes sent requests to draining servers for seconds.
func TestNoSendOnExpiredEndpointList(t *testing.T) {
	withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
		const remaining = 300 * time.Millisecond
		e.RenewLease(Lease{Until: time.Now().Add(remaining)})
		got := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		a := receive(t, s.started)
		if !a.MaySend(e.Clock.Now()) || a.MaySend(e.Clock.Now()+remaining) {
			t.Error("the attempt may not be sent during the lease, or may still be sent after it")
		}
		<-time.After(remaining)
		rejected := doAsync(t.Context(), e, newCall(e, "2", "non-idempotent"))
		if a := receive(t, rejected); a.Verdict != Rejected || a.RetryAfter == 0 {
			t.Errorf("got answer %+v, want Rejected with a RetryAfter", a)
		}
		e.RenewLease(Lease{Until: time.Now().Add(time.Minute)})
		synctest.Wait()
		served := doAsync(t.Context(), e, newCall(e, "3", "non-idempotent"))
		b := receive(t, s.started)
		if !a.MaySend(e.Clock.Now()) || !b.MaySend(e.Clock.Now()) {
			t.Error("attempts may not be sent after the list was confirmed")
		}
		e.AttemptEnded(Result{Attempt: a, Reply: 1})
		e.AttemptEnded(Result{Attempt: b, Reply: 2})
		if a, b := receive(t, got), receive(t, served); a.Verdict != Served || b.Verdict != Served {
			t.Errorf("got answers %+v and %+v, want Served", a, b)
		}
	})
}
