package balancer

import (
	"testing"
	"time"
)

// A client asks for a deadline in an hour. The request gets no more time than its class allows: otherwise its attempt
// could hold its place in the window for an hour, and outlive a node that shuts down.
func TestRequestDeadlineIsLimitedByItsClass(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	if s := sends(b.Handle(millisecond, Request{ID: "r", Class: "pay", Deadline: time.Hour}))[0]; s.Timeout > 1500*millisecond {
		t.Errorf("the attempt times out after %v, want at most 1.5s", s.Timeout)
	}
}
