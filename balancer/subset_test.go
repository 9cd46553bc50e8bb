package balancer

import (
	"testing"
	"time"
)

// Many replicas call many servers. If every replica drew from all servers, connection tables would fill up; if subsets
// overlapped by chance, some servers would get twice the load of others. The subsets of all replicas must cover the
// servers about evenly, each subset must have its share of both groups, and an overloaded replica must reach nearly
// every server.
func TestSubsetsCoverTheServersEvenly(t *testing.T) {
	drawn := map[string]int{}
	for self := range 60 {
		b := newBalancer(t, func(s *Settings) { s.ReplicaIndex, s.Tier, s.Replicas = self, 1, 60 })
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(80)})
		got := traffic(b, 400, "get", func(string) Outcome { return Success })
		left := 0
		for id := range got {
			drawn[id]++
			if id < "s40" {
				left++
			}
		}
		if len(got) < minSubset || len(got) > minSubset+2 || left*2 != len(got) {
			t.Fatalf("replica %d drew %d servers, %d of them from the left group", self, len(got), left)
		}
		b.pools[0].inFlight = 160
		if got := traffic(b, 4000, "get", func(string) Outcome { return Success }); len(got) < 70 {
			t.Fatalf("overloaded replica %d drew only %d servers", self, len(got))
		}
	}
	for _, s := range servers(80) {
		if n := drawn[s.ID]; n < 3 || n > 6 {
			t.Errorf("%s: drawn by %d replicas, want 4.5", s.ID, n)
		}
	}
}

// All servers of a replica's subset are at their capacity limit. The replica must draw from the other servers of the
// list instead of failing requests that these could serve.
func TestSubsetWithoutCapacityFallsBackToAllServers(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(80)})
	subset := traffic(b, 400, "get", func(string) Outcome { return Success })
	for id := range subset {
		b.servers[id].capacityLimitUntil, b.servers[id].capacityLimit = time.Hour, 0
	}
	got := traffic(b, 100, "get", func(string) Outcome { return Success })
	for id := range got {
		if subset[id] > 0 {
			t.Errorf("%s was drawn although it is at its capacity limit", id)
		}
	}
	if len(got) < 20 {
		t.Errorf("only %d servers outside the subset were drawn, want at least 20", len(got))
	}
}
