package balancer

import (
	"fmt"
	"testing"
	"time"
)

// If clients do not mark their retries, a retry is identified by a deadline that is shorter than those of
// other requests. Its latency objective starts at the client's first try.
func TestShortDeadlineIdentifiesAClientRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * millisecond})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*millisecond})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != 0 {
		t.Errorf("a first try counts as a retry: %+v", r)
	}
	// The objective of 500 ms ended 100 ms before it arrived.
	r := b.requests["again"]
	if r == nil || !r.clientRetry || r.firstTriedAt != 5*time.Second-600*millisecond {
		t.Errorf("the retry was not detected: %+v", r)
	}
}

// If clients mark their retries, a first try with less time than the last try of another request is still a
// first try.
func TestRetryMarksTakePrecedenceOverShortDeadlines(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * millisecond, ClientRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * millisecond})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.firstTriedAt != time.Second {
		t.Errorf("a first try counts as a retry: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * millisecond, ClientRetry: true})
	if r := b.requests["again"]; r == nil || !r.clientRetry || r.firstTriedAt != 4900*millisecond {
		t.Errorf("the marked retry has a wrong time of its first try: %+v", r)
	}
}

// If clients do not mark their retries, one client with longer deadlines than all others must not make the
// requests of the others look like retries, which are shed first.
func TestLongDeadlinesOfOneClientMarkNoRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	retries := 0
	for i := range 1000 {
		now, budget := time.Duration(i)*10*millisecond, 800*millisecond
		if i%5 == 0 {
			budget = 1500 * millisecond
		}
		id := fmt.Sprint(i)
		acts := b.Handle(now, Request{ID: id, Class: "get", Deadline: now + budget})
		if b.requests[id].clientRetry && i > 200 {
			retries++
		}
		for _, s := range sends(acts) {
			endAttempt(b, now+5*millisecond, id, s, Success)
		}
	}
	if retries > 8 {
		t.Errorf("%d of 800 first tries count as retries", retries)
	}
}
