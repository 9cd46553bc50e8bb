package balancer

import (
	"fmt"
	"math"
	"testing"
)

// serversWithAttempts returns servers with the given numbers of own attempts in flight.
func serversWithAttempts(attempts ...int) (list []*server) {
	for i, n := range attempts {
		list = append(list, &server{Server: Server{ID: fmt.Sprint(i, n)}, inFlight: attemptsInFlight(n)})
	}
	return list
}

// The draw from two groups decides where all load is sent. The server with fewer own attempts is chosen. With equal
// counts above zero it is the left one, and with none the group is drawn in proportion to the group sizes.
func TestPickFromGroups(t *testing.T) {
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*server) float64 {
		got := 0
		for range n {
			s := b.pickFromGroups(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*server
		want        float64
	}{
		{"fewer attempts in the left group", serversWithAttempts(1), serversWithAttempts(2), 1},
		{"fewer attempts in the right group", serversWithAttempts(2), serversWithAttempts(1), 0},
		{"none against one", serversWithAttempts(1), serversWithAttempts(0), 0},
		{"equal counts above zero", serversWithAttempts(3), serversWithAttempts(3), 1},
		{"no attempts in either group", serversWithAttempts(0, 0, 0), serversWithAttempts(0), 0.75},
		{"left group is empty", nil, serversWithAttempts(1), 0},
		{"right group is empty", serversWithAttempts(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: share of the left group %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pickFromGroups(nil, nil) != nil {
		t.Error("a server was picked from two empty groups")
	}
	left, count := serversWithAttempts(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pickFromGroups(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("a server got a share of %.3f of the draws, want 0.25", got)
		}
	}
}

// Replicas that learn of the servers in different ways must order them alike. Otherwise their groups and subsets
// differ, and the load is uneven.
func TestServerOrderIsTheSameAtAllReplicas(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Complete: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.pools[0].inService[i].ID != b.pools[0].inService[i].ID {
			t.Fatalf("the order differs at index %d: %s, %s", i, a.pools[0].inService[i].ID, b.pools[0].inService[i].ID)
		}
	}
}
