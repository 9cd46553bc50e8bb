package balancer

import (
	"testing"
	"time"
)

// A rejected client that waits too long retries when its latency objective is mostly over. A client that retries at
// once uses up its tries in the overload that caused its rejection.
func TestRetryAfterIsAFractionOfTheLatencyObjective(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(2)})
	b.pools[0].window, b.pools[0].inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*millisecond, r)
	for _, a := range b.Handle(600*millisecond, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit || f.RetryAfter < limit/2 {
				t.Errorf("RetryAfter %v, want at most %v and at least half of that", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("the request was not rejected")
}
