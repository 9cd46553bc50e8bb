package balancer

import (
	"fmt"
	"math"
	"testing"
)

// serversWithAttempts are servers with so many own attempts in flight.
func serversWithAttempts(calls ...int) (list []*server) {
	for i, n := range calls {
		list = append(list, &server{Server: Server{ID: fmt.Sprint(i, n)}, inFlight: attemptsInFlight(n)})
	}
	return list
}

// The draw from two groups decides where all load goes. The fewer own attempts win, equal counts above zero
// go left, and at zero the side is drawn by the sizes of the groups.
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
		{"fewer left", serversWithAttempts(1), serversWithAttempts(2), 1},
		{"fewer right", serversWithAttempts(2), serversWithAttempts(1), 0},
		{"zero beats one", serversWithAttempts(1), serversWithAttempts(0), 0},
		{"nonzero tie goes left", serversWithAttempts(3), serversWithAttempts(3), 1},
		{"zero tie by shares", serversWithAttempts(0, 0, 0), serversWithAttempts(0), 0.75},
		{"left empty", nil, serversWithAttempts(1), 0},
		{"right empty", serversWithAttempts(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pickFromGroups(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := serversWithAttempts(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pickFromGroups(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

// Replicas that learn of the servers in different ways must have them in the same order: else their groups
// and subsets differ, and the load is uneven.
func TestServerOrderIsTheSameAtAllReplicas(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Complete: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.pools[0].inService[i].ID != b.pools[0].inService[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.pools[0].inService[i].ID, b.pools[0].inService[i].ID)
		}
	}
}
