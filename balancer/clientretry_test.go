package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Where clients don't mark their retries, one shows by a deadline shorter than that of other requests. Its
// latency objective runs from the client's first try.
func TestShortDeadlineMarksAClientRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * millisecond})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*millisecond})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != 0 {
		t.Errorf("a first try was taken for a retry: %+v", r)
	}
	// The objective of 500 ms ended 100 ms before it came.
	r := b.requests["again"]
	if r == nil || !r.clientRetry || r.firstTriedAt != 5*time.Second-600*millisecond {
		t.Errorf("the retry was not seen: %+v", r)
	}
}

// Where clients mark their retries, a first try with less time than a last one has is still a first try.
func TestRetryMarksOutrankShortDeadlines(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * millisecond, ClientRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * millisecond})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != time.Second {
		t.Errorf("a first try was taken for a retry: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * millisecond, ClientRetry: true})
	if r := b.requests["again"]; r == nil || !r.clientRetry || r.firstTriedAt != 4900*millisecond {
		t.Errorf("the marked retry was not dated back: %+v", r)
	}
}

// Where clients mark no retries, one client with longer deadlines than all others must not make these look
// like retries, which are shed first.
func TestOneLongDeadlineMakesNobodyARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	repeats := 0
	for i := range 1000 {
		now, budget := time.Duration(i)*10*millisecond, 800*millisecond
		if i%5 == 0 {
			budget = 1500 * millisecond
		}
		id := fmt.Sprint(i)
		acts := b.Handle(now, Request{ID: id, Class: "get", Deadline: now + budget})
		if b.requests[id].clientRetry && i > 200 {
			repeats++
		}
		for _, s := range sends(acts) {
			endAttempt(b, now+5*millisecond, id, s, Success)
		}
	}
	if repeats > 8 {
		t.Errorf("%d of 800 first tries are taken for retries", repeats)
	}
}
