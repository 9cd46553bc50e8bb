package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A machine that is cut off from the network neither rejects nor answers requests. A request that may run
// again must not wait there until its deadline; one that must never run twice has nothing else to wait for.
func TestIdempotentAttemptsLeaveTimeForARetry(t *testing.T) {
	for class, retriesEarly := range map[string]bool{"get": true, "pay": false} {
		b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		now := time.Duration(0)
		send := func(id string) Send {
			return sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second}))[0]
		}
		if s := send("first"); s.Timeout != time.Second {
			t.Errorf("%s: timeout of %v while the latency is unknown, want all of the remaining time", class, s.Timeout)
		}
		for i := range 20 {
			s := send(fmt.Sprint(i))
			now += 20 * millisecond
			endAttempt(b, now, s.ID, s, Success)
		}
		s := send("cut off")
		if got := s.Timeout < 500*millisecond; got != retriesEarly {
			t.Fatalf("%s: timeout of %v with one second left, answers take 20 ms", class, s.Timeout)
		}
		now += s.Timeout
		if next := sends(endAttempt(b, now, s.ID, s, TimedOut)); retriesEarly && (len(next) != 1 || next[0].Server == s.Server) {
			t.Errorf("%s: %v after the timeout, want one send to another server", class, next)
		}
	}
}
