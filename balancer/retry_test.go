package balancer

import (
	"testing"
	"time"
)

// A request that has used up its attempts is answered in the same event, and a rejection has a Retry-After. Its client
// must not have to wait until the deadline.
func TestRequestWithoutAttemptsLeftIsAnsweredImmediately(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	for class, want := range map[string]Action{"get": Reject{ID: "get", RetryAfter: 50 * millisecond}, "pay": Fail{ID: "pay"}} {
		s := sends(b.Handle(millisecond, Request{ID: class, Class: class, Deadline: time.Second}))[0]
		acts := b.Handle(2*millisecond, AttemptEnded{ID: class, Server: s.Server, Outcome: ConnectionLost})
		if len(acts) != 1 || acts[0] != want {
			t.Errorf("%s: got %+v, want %+v", class, acts, want)
		}
	}
}

// A request with an idempotency key that may have run carries the end of the window in which servers discard duplicates: the
// attempt may wait for a connection until that is over. Once a repeat would come after the window, the answer is a failure:
// a rejection would tell the client that it can repeat the request without harm.
func TestRepeatsEndWithTheDedupWindow(t *testing.T) {
	window := 900 * millisecond
	for _, tc := range []struct {
		name     string
		endedAt  time.Duration
		outcome  Outcome
		wantSend bool          // the request is sent again
		sendBy   time.Duration // of the second attempt
		want     Action        // the answer, if there are no attempts left
	}{
		{"never ran, after the window", 1000 * millisecond, Overloaded, true, 0, Reject{}},
		{"may have run, inside the window", 100 * millisecond, Failure, true, window - 4*millisecond, Reject{}},
		{"may have run, a client's repeat would be late", 850 * millisecond, Failure, true, window - 4*millisecond, Fail{}},
		{"may have run, after the window", 900 * millisecond, Failure, false, 0, Fail{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, maxAttempts := range []int{2, 1} {
				b := newBalancer(t, func(s *Settings) { s.MaxAttempts, s.Classes[1].DedupScope = maxAttempts, ScopeAll })
				b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
				first := sends(b.Handle(0, newRequest("r", "post", 0, 1500*millisecond)))[0]
				acts := endAttempt(b, tc.endedAt, "r", first, tc.outcome)
				if first.SendBy != 0 {
					t.Errorf("the first attempt may be sent until %v, want no limit", first.SendBy)
				}
				again := sends(acts)
				if sent := len(again) == 1; sent != (tc.wantSend && maxAttempts == 2) {
					t.Fatalf("at most %d attempts: %v", maxAttempts, acts)
				}
				if len(again) == 1 && again[0].SendBy != tc.sendBy {
					t.Errorf("the second attempt may be sent until %v, want %v", again[0].SendBy, tc.sendBy)
				}
				answer := finalAnswer(acts)
				if _, rejected := answer.(Reject); len(again) == 0 && rejected != (tc.want == Reject{}) {
					t.Errorf("at most %d attempts: answered %#v, want %#v", maxAttempts, answer, tc.want)
				}
			}
		})
	}
}
