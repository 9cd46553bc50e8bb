package balancer

import (
	"testing"
	"time"
)

// Discovery is away for so long that the lease on the list expires; servers may have left it meanwhile.
// Nothing is sent, neither first nor again: what waits and what comes is answered at once, as a rejection
// where a retry does no harm. Before there is a list its arrival is waited for.
func TestExpiredListRejectsAll(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, LeaseChanged{Expired: true})
	if out := b.Handle(0, Request{ID: "early", Class: "pay", Deadline: time.Second}); finalAnswer(out) != nil || len(sends(out)) != 0 {
		t.Fatalf("without a list: %v", out)
	}
	if out := b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)}); finalAnswer(out) == nil {
		t.Fatalf("on an expired list: %v", out)
	}
	b.Handle(0, LeaseChanged{})
	for _, id := range []string{"ran", "unsent"} {
		if out := b.Handle(0, Request{ID: id, Class: "pay", Deadline: time.Second}); len(sends(out)) != 1 {
			t.Fatalf("on a list with a lease: %v", out)
		}
	}
	b.Handle(0, LeaseChanged{Expired: true})
	out := b.Handle(0, Request{ID: "late", Class: "pay", Deadline: time.Second})
	if r, ok := finalAnswer(out).(Reject); !ok || r.ID != "late" {
		t.Errorf("a request: %v", out)
	}
	out = b.Handle(0, AttemptEnded{ID: "unsent", Server: sentTo(b, "unsent"), Outcome: Unreachable})
	if r, ok := finalAnswer(out).(Reject); !ok || r.ID != "unsent" {
		t.Errorf("an attempt that never ran: %v", out)
	}
	out = b.Handle(0, AttemptEnded{ID: "ran", Server: sentTo(b, "ran"), Outcome: ConnectionLost})
	if f, ok := finalAnswer(out).(Fail); !ok || f.ID != "ran" {
		t.Errorf("an attempt that may have run: %v", out)
	}
	b.Handle(0, LeaseChanged{})
	if out := b.Handle(0, Request{ID: "again", Class: "pay", Deadline: time.Second}); len(sends(out)) != 1 {
		t.Errorf("once the lease is renewed: %v", out)
	}
}
