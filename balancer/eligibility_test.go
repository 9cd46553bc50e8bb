package balancer

import (
	"testing"
)

// Random draws can hit the same busy server several times while others are idle. After the first tier nothing
// else limits its load: a server with one attempt in flight more than the mean is not chosen.
func TestServerAtItsConcurrencyCapIsNotChosen(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(6)})
	disableSubsetting(b)
	b.servers["s00"].inFlight, b.pools[0].inFlight = attemptsInFlight(2), 2
	got := traffic(b, 300, "get", func(string) Outcome { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("draws: %v", got)
	}
}
