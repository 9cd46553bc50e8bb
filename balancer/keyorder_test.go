package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Requests with the same key must run in order. The next one is sent when the previous one has ended and the
// quiet period is over. A busy key rejects requests that would wait in vain, and does not delay other keys.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[2].OrderedByKey, s.KeyQuietPeriod = true, 50*millisecond })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(6)})
	pay := func(at time.Duration, id string, key uint64) []Action {
		return b.Handle(at, Request{ID: id, Class: "pay", Deadline: 1500 * millisecond, Key: key, HasKey: true})
	}
	first := sends(pay(0, "a", 1))
	if len(first) != 1 || len(sends(pay(millisecond, "b", 1))) != 0 || len(sends(pay(millisecond, "c", 2))) != 1 {
		t.Fatal("want a and c sent, and b queued behind a")
	}
	acts := b.Handle(20*millisecond, AttemptEnded{ID: "a", Server: first[0].Server, Outcome: ConnectionLost})
	if len(sends(acts)) != 0 {
		t.Fatal("b was sent while a may still run")
	}
	if got := sends(b.Handle(70*millisecond, TimerFired{Token: "k:1"})); len(got) != 1 || got[0].ID != "b" {
		t.Fatalf("after the quiet period %v was sent, want b", got)
	}
	rejected := 0
	for i := range 50 {
		for _, a := range pay(80*millisecond, fmt.Sprint("hot", i), 1) {
			if _, ok := a.(Reject); ok {
				rejected++
			}
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 50 requests of a busy key were rejected, want most", rejected)
	}
}
