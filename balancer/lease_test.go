package balancer

import (
	"testing"
	"time"
)

// Discovery is unavailable for so long that the lease on the endpoint list expires; servers may have left the
// list meanwhile. Nothing is sent, neither a first attempt nor a retry: queued and new requests are answered
// immediately, with a rejection if a retry does no harm. Before there is a list, requests wait for it.
func TestRequestsAreRejectedAfterTheLeaseExpires(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, LeaseChanged{Expired: true})
	if acts := b.Handle(0, Request{ID: "early", Class: "pay", Deadline: time.Second}); finalAnswer(acts) != nil || len(sends(acts)) != 0 {
		t.Fatalf("without a list: %v", acts)
	}
	if acts := b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)}); finalAnswer(acts) == nil {
		t.Fatalf("on an expired list: %v", acts)
	}
	b.Handle(0, LeaseChanged{})
	for _, id := range []string{"ran", "unsent"} {
		if acts := b.Handle(0, Request{ID: id, Class: "pay", Deadline: time.Second}); len(sends(acts)) != 1 {
			t.Fatalf("on a list with a valid lease: %v", acts)
		}
	}
	b.Handle(0, LeaseChanged{Expired: true})
	acts := b.Handle(0, Request{ID: "late", Class: "pay", Deadline: time.Second})
	if r, ok := finalAnswer(acts).(Reject); !ok || r.ID != "late" {
		t.Errorf("a request: %v", acts)
	}
	acts = b.Handle(0, AttemptEnded{ID: "unsent", Server: sentTo(b, "unsent"), Outcome: Unreachable})
	if r, ok := finalAnswer(acts).(Reject); !ok || r.ID != "unsent" {
		t.Errorf("an attempt that never ran: %v", acts)
	}
	acts = b.Handle(0, AttemptEnded{ID: "ran", Server: sentTo(b, "ran"), Outcome: ConnectionLost})
	if f, ok := finalAnswer(acts).(Fail); !ok || f.ID != "ran" {
		t.Errorf("an attempt that may have run: %v", acts)
	}
	b.Handle(0, LeaseChanged{})
	if acts := b.Handle(0, Request{ID: "again", Class: "pay", Deadline: time.Second}); len(sends(acts)) != 1 {
		t.Errorf("once the lease is renewed: %v", acts)
	}
}
