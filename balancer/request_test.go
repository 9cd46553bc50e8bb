package balancer

import (
	"testing"
	"time"
)

// A client sends a request whose deadline is an hour away. The request gets no more time than its class allows.
// Otherwise an attempt could occupy the admission window for an hour, and outlast the shutdown of its node.
func TestRequestDeadlineIsLimitedByItsClass(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	send := sends(b.Handle(millisecond, Request{ID: "r", Class: "pay", Deadline: time.Hour}))[0]
	if send.Timeout > 1500*millisecond { // the class's Deadline
		t.Errorf("the attempt times out after %v, want at most 1.5s", send.Timeout)
	}
}
