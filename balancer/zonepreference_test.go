package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Crossing zones costs latency and money: a replica keeps to its own zone while that is as good as the
// others. When its zone becomes slow, as after half of its servers have died, more requests cross; when it
// recovers, they come back.
func TestSameZoneIsPreferredWhileItIsNotSlower(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Zone = "y" })
	list := servers(12)
	for i := range list {
		list[i].Zone = []string{"y", "z", "x"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	n := 0
	crossed := func(sameZoneLatency time.Duration) float64 {
		crossZone, all := 0, 0
		for range 1200 {
			n++
			now, id := b.now+20*millisecond, fmt.Sprint(n)
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				took := 20 * millisecond
				if b.servers[s.Server].Zone == "y" {
					took = sameZoneLatency
				} else {
					crossZone++
				}
				all++
				endAttempt(b, now+took, id, s, Success)
			}
		}
		return float64(crossZone) / float64(all)
	}
	if got := crossed(20 * millisecond); got > 0.1 {
		t.Errorf("%.2f crossed though all zones are alike", got)
	}
	if got := crossed(60 * millisecond); got < 0.4 {
		t.Errorf("%.2f crossed though the own zone is slow", got)
	}
	crossed(20 * millisecond)
	if got := crossed(20 * millisecond); got > 0.1 {
		t.Errorf("%.2f crossed after the own zone came back", got)
	}
}

// newBalancerWithRestrictedClass is a Balancer over n servers of three kinds, of which the class post may use the slow one
// alone.
func newBalancerWithRestrictedClass(t *testing.T, n int) (*Balancer, []Server) {
	b := newBalancer(t, func(s *Settings) { s.Classes[1].AllowedKinds = []string{"slow"} })
	list := servers(n)
	for i := range list {
		list[i].Kind = []string{"slow", "mid", "fast"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	return b, list
}

// A class that may go anywhere leaves the servers that a bound class depends on alone, while it has others:
// else the bound class fails in an overload that concerns it little.
func TestServersOfANarrowerPoolAreReservedForIt(t *testing.T) {
	b, list := newBalancerWithRestrictedClass(t, 9)
	toRestricted := 0
	for id, n := range traffic(b, 1000, "get", func(string) Outcome { return Success }) {
		if b.servers[id].Kind == "slow" {
			toRestricted += n
		}
	}
	if toRestricted > 25 {
		t.Errorf("%d of 500 free requests went to the servers of a bound class", toRestricted)
	}
	b.Handle(b.now, EndpointUpdate{Complete: true, Servers: []Server{list[0], list[3]}})
	if n := len(sends(b.Handle(b.now, Request{ID: "x", Class: "get", Deadline: b.now + time.Second}))); n != 1 {
		t.Errorf("%d sends with only those left, want 1", n)
	}
}

// All servers of one class are down. Its requests wait or end; those of other classes go on.
func TestUnavailablePoolDoesNotAffectOtherClasses(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].AllowedKinds = []string{"x"} })
	list := servers(6)
	list[0].Kind, list[1].Kind = "x", "x"
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	for i := range 20 {
		id := fmt.Sprint(i)
		todo := sends(b.Handle(0, Request{ID: id, Class: "get", Deadline: time.Second}))
		for k := 0; len(todo) > 0; k++ {
			if s := todo[0].Server; s != "s00" && s != "s01" {
				t.Fatalf("a bound request went to %s", s)
			}
			todo = sends(b.Handle(b.now, AttemptEnded{ID: id, Attempt: k, Server: todo[0].Server, Outcome: Unreachable}))
		}
	}
	b.Handle(millisecond, EndpointUpdate{Servers: []Server{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sends(b.Handle(2*millisecond, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d sends though no server is open to the class", n)
	}
	if n := len(sends(b.Handle(2*millisecond, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d sends of a class that is free to go elsewhere, want 1", n)
	}
}
