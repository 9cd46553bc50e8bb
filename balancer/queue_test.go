package balancer

import (
	"testing"
	"time"
)

// Hosts round times, so a timer may fire slightly early. The request must still be answered in time;
// otherwise its client waits until its deadline for nothing.
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
			t.Fatalf("at %v: neither an answer nor a timer", now)
		}
		now = max(now+2*millisecond, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer before the deadline")
}

// While no server is listed, a request waits only as long as its answer could still meet the latency
// objective, even if its client would wait for longer. It is then rejected with a Retry-After.
func TestRequestsAreRejectedEarlyWhenNoServerIsListed(t *testing.T) {
	for _, class := range []string{"get", "pay"} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true})
		at, a := firstSendOrAnswer(b, millisecond, Request{ID: "r", Class: class, Deadline: time.Hour})
		if r, ok := a.(Reject); !ok || r.RetryAfter != 50*millisecond || at > 500*millisecond {
			t.Errorf("%s: got %+v at %v, want a Reject with Retry-After 50ms within 500ms", class, a, at)
		}
		if len(b.requests) > 0 {
			t.Errorf("%s: the rejected request was not removed", class)
		}
	}
}
