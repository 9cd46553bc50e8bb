package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Crossing zones costs latency and money, so a replica sends to its own zone while that is as fast as the others. When
// the zone becomes slow, as after half of its servers have died, more requests cross zones. When it recovers, they
// return.
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
		t.Errorf("%.2f of the attempts crossed zones although all zones are equally fast", got)
	}
	if got := crossed(60 * millisecond); got < 0.4 {
		t.Errorf("only %.2f of the attempts crossed zones although the replica's zone is slow", got)
	}
	crossed(20 * millisecond)
	if got := crossed(20 * millisecond); got > 0.1 {
		t.Errorf("%.2f of the attempts crossed zones after the replica's zone had recovered", got)
	}
}

// newBalancerWithRestrictedClass returns a Balancer with n servers of three kinds, and its endpoint list. The class
// post may use only the servers of the kind slow.
func newBalancerWithRestrictedClass(t *testing.T, n int) (*Balancer, []Server) {
	b := newBalancer(t, func(s *Settings) { s.Classes[1].AllowedKinds = []string{"slow"} })
	list := servers(n)
	for i := range list {
		list[i].Kind = []string{"slow", "mid", "fast"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
	return b, list
}

// A class that may use any server must not use the servers that a restricted class depends on while it has others.
// Otherwise the restricted class fails in an overload that other classes cause.
func TestServersOfANarrowerPoolAreReservedForIt(t *testing.T) {
	b, list := newBalancerWithRestrictedClass(t, 9)
	toRestricted := 0
	for id, n := range traffic(b, 1000, "get", func(string) Outcome { return Success }) {
		if b.servers[id].Kind == "slow" {
			toRestricted += n
		}
	}
	if toRestricted > 25 {
		t.Errorf("%d of 500 unrestricted requests were sent to the servers of a restricted class", toRestricted)
	}
	b.Handle(b.now, EndpointUpdate{Complete: true, Servers: []Server{list[0], list[3]}})
	if n := len(sends(b.Handle(b.now, Request{ID: "x", Class: "get", Deadline: b.now + time.Second}))); n != 1 {
		t.Errorf("%d sends when no other servers are listed, want 1", n)
	}
}

// All servers of one class are down. Its requests are queued or answered; those of other classes are still sent.
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
				t.Fatalf("a restricted request was sent to %s", s)
			}
			todo = sends(b.Handle(b.now, AttemptEnded{ID: id, Attempt: k, Server: todo[0].Server, Outcome: Unreachable}))
		}
	}
	b.Handle(millisecond, EndpointUpdate{Servers: []Server{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sends(b.Handle(2*millisecond, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d sends although the class may use none of the listed servers", n)
	}
	if n := len(sends(b.Handle(2*millisecond, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d sends of a class that may use any server, want 1", n)
	}
}
