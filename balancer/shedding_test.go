package balancer

import (
	"testing"
	"time"
)

// In an overload clients retry, and the answers to most retries are already late. While capacity is scarce, first tries
// must be sent before retries, or all answers are late.
func TestFirstTriesAreSentBeforeClientRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(1)})
	b.pools[0].window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(millisecond, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*millisecond, Request{ID: "repeat", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes["get"].LateCredit = 0.5
	b.pools[0].inFlight = int(minWindowPerServer*b.pools[0].serversPerReplica) + 2
	b.pools[0].window = float64(b.pools[0].inFlight) // the next answer frees one place
	next := sends(endAttempt(b, 10*millisecond, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent, want the first try", next)
	}
}
