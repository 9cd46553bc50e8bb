package balancer

import (
	"testing"
	"time"
)

// A host rounds times. A timer that fires a fraction early must still lead to an answer in time, or the
// client waits to its deadline for nothing.
func TestQueuedRequestIsAnsweredInTimeWhenTimersFireEarly(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * millisecond})
	for now := time.Duration(0); now < 1000*millisecond; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*millisecond, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// With no server listed, a request waits for no longer than an answer could still be in time, however long
// its client would wait, and its client is told when to come back.
func TestRequestsAreRejectedEarlyWhenNoServerIsListed(t *testing.T) {
	for _, class := range []string{"get", "pay"} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true})
		at, a := finalAnswerAt(b, millisecond, Request{ID: "r", Class: class, Deadline: time.Hour})
		if r, ok := a.(Reject); !ok || r.RetryAfter != 50*millisecond || at > 500*millisecond {
			t.Errorf("%s: %+v at %v", class, a, at)
		}
		if len(b.requests) > 0 {
			t.Errorf("%s: it is still kept", class)
		}
	}
}
