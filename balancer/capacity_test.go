package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A rejection shows that a queue was full at one moment. A server that keeps answering while it has as many
// attempts as its limit allows must be given more again, or the servers that never rejected get all the load.
func TestCapacityLimitGrowsWithAnswers(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.now = 20 * millisecond
	s, r := b.pools[0].inService[0], &request{class: b.classes["get"]}
	s.inFlight = attemptsInFlight(2)
	b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Overloaded})
	if b.capacityLimit(s) != 2 {
		t.Fatalf("a limit of %d attempts after a rejection at 2", b.capacityLimit(s))
	}
	s.inFlight = nil // both are answered, the second while no other attempt is in flight
	b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Success})
	if b.capacityLimit(s) != 2 {
		t.Errorf("a limit of %d attempts after an answer below the limit, want 2", b.capacityLimit(s))
	}
	for n := 1; n < 4; n++ {
		s.inFlight = attemptsInFlight(n)
		b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: Success})
	}
	if got := b.capacityLimit(s); got != 5 {
		t.Errorf("a limit of %d attempts after three answers at the limit, want 5", got)
	}
}

// A server whose connection table is filled by other replicas rejects immediately, and therefore looks idle.
// A server that rejected an attempt gets no more attempts than it had then, however many other servers reject
// too, and is tried again later.
func TestRejectingServerIsLimitedToItsAttemptsInFlight(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(10)})
	disableSubsetting(b)
	b.classes["get"].samples = 1 / sampleWeight // its answers took a quarter of the objective until now
	now, id := millisecond, 0
	fullServers := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	countRejections := func(n int) (count int) {
		for range n {
			now += 5 * millisecond
			id++
			sent := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(sent) > 0; try++ {
				end := Success
				if fullServers[sent[0].Server] {
					end = Unreachable
					count++
				}
				now += 2 * millisecond
				sent = sends(b.Handle(now, AttemptEnded{ID: fmt.Sprint(id), Attempt: try, Server: sent[0].Server,
					Outcome: end, RequestDone: end == Success}))
			}
		}
		return count
	}
	first := countRejections(20)
	if first < 5 {
		t.Fatalf("only %d rejections, want the full servers found", first)
	}
	if got := countRejections(20); got > first/2 {
		t.Errorf("%d rejections after %d: full servers are still chosen", got, first)
	}
	now += time.Minute
	if countRejections(20) == 0 {
		t.Error("full servers were never tried again")
	}
}
