package balancer

import (
	"testing"
	"time"
)

// On an expired list nothing is sent, neither first nor again: what waits and what comes is answered at once, as a refusal
// where it may be said that a retry does no harm. Before there is a list its arrival is waited for.
func TestExpiredList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointLease{Expired: true})
	if out := b.Handle(0, Request{ID: "early", Class: "pay", Deadline: time.Second}); finalAnswer(out) != nil || len(sends(out)) != 0 {
		t.Fatalf("without a list: %v", out)
	}
	if out := b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)}); finalAnswer(out) == nil {
		t.Fatalf("on an expired list: %v", out)
	}
	b.Handle(0, EndpointLease{})
	for _, id := range []string{"ran", "unsent"} {
		if out := b.Handle(0, Request{ID: id, Class: "pay", Deadline: time.Second}); len(sends(out)) != 1 {
			t.Fatalf("on a list that counts: %v", out)
		}
	}
	b.Handle(0, EndpointLease{Expired: true})
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
	b.Handle(0, EndpointLease{})
	if out := b.Handle(0, Request{ID: "again", Class: "pay", Deadline: time.Second}); len(sends(out)) != 1 {
		t.Errorf("once the list counts again: %v", out)
	}
}

// sentTo is the server of a request's one attempt.
func sentTo(b *Balancer, id string) string { return b.requests[id].attempts[0].server.ID }

// finalAnswer is the first of a list of actions that ends a request, nil if none does.
func finalAnswer(out []Action) Action {
	for _, a := range out {
		switch a.(type) {
		case Reject, Fail:
			return a
		}
	}
	return nil
}
