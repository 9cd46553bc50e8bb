package balancer

import (
	"testing"
	"time"
)

// A client that says that it waits for an hour is given no more than its class has: its attempt would hold
// its place in the window for as long, and outlive a node that shuts down.
func TestRequestDeadlineIsLimitedByItsClass(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	if s := sends(b.Handle(millisecond, Request{ID: "r", Class: "pay", Deadline: time.Hour}))[0]; s.Timeout > 1500*millisecond {
		t.Errorf("waited for during %v", s.Timeout)
	}
}
