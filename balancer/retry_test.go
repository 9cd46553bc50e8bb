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
