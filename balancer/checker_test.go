package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker follows the events given to one Balancer and its actions, and records every violation of a rule. It
// shares no code with the Balancer.
type checker struct {
	settings          Settings
	deadlineTolerance time.Duration
	states            map[string]ServerState
	cells             map[string]int
	zones             map[string]string
	kinds             map[string]string
	requests          map[string]*trackedRequest
	orderedRequests   []*trackedRequest // of classes that are ordered by key, in order of arrival
	violations        []string
	keepEvents        bool         // whether checkEvent records its events
	events            []timedEvent // recorded if keepEvents is set
}

// trackedRequest is what the checker knows about a request.
type trackedRequest struct {
	class      Class
	deadline   time.Duration
	id         string
	key        uint64
	ended      bool
	quietUntil time.Duration // an attempt may still be running: the quiet period of the key ends then
	attempts   []*trackedAttempt
}

// trackedAttempt is what the checker knows about an attempt.
type trackedAttempt struct {
	server  string
	sentAt  time.Duration
	ended   bool
	outcome Outcome
}

func newChecker(set Settings) *checker {
	return &checker{settings: set, deadlineTolerance: 20 * millisecond, states: map[string]ServerState{}, cells: map[string]int{},
		zones: map[string]string{}, kinds: map[string]string{}, requests: map[string]*trackedRequest{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (t *trackedAttempt) mayHaveRun() bool {
	return !t.ended || (t.outcome != Overloaded && t.outcome != Unreachable && t.outcome != NotSent)
}

func (r *trackedRequest) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *trackedAttempt) bool { return !a.ended })
}

func (c *checker) checkEvent(now time.Duration, e Event) {
	if c.keepEvents {
		if l, ok := e.(EndpointUpdate); ok { // the caller reuses the slice
			l.Servers = slices.Clone(l.Servers)
			e = l
		}
		c.events = append(c.events, timedEvent{now, e})
	}
	switch e := e.(type) {
	case EndpointUpdate:
		if e.Complete {
			for id := range c.states {
				c.states[id] = Removed
			}
		}
		for _, s := range e.Servers {
			c.states[s.ID], c.cells[s.ID], c.zones[s.ID], c.kinds[s.ID] = s.State, s.Cell, s.Zone, s.Kind
		}
	case Request:
		if c.requests[e.ID] == nil {
			cl := Class{Effect: NonIdempotent}
			for _, k := range c.settings.Classes {
				if k.Name == e.Class {
					cl = k
				}
			}
			c.requests[e.ID] = &trackedRequest{class: cl, deadline: e.Deadline, id: e.ID, key: e.Key}
			if cl.OrderedByKey && e.HasKey {
				c.orderedRequests = append(c.orderedRequests, c.requests[e.ID])
			}
		}
	case AttemptEnded:
		if r := c.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.ended {
				t.ended, t.outcome = true, e.Outcome
				if e.Outcome == TimedOut || e.Outcome == ConnectionLost || e.Outcome == Canceled {
					r.quietUntil = now + c.settings.KeyQuietPeriod
				}
				r.ended = r.ended || e.RequestDone
			}
		}
	case ClientGone:
		if r := c.requests[e.ID]; r != nil {
			r.ended = true
		}
	}
	c.checkDeadlines(now)
}

// checkDeadlines records a violation for each request that has no answer after its deadline.
func (c *checker) checkDeadlines(now time.Duration) {
	for id, r := range c.requests {
		if !r.ended && now > r.deadline+c.deadlineTolerance {
			c.addViolation("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *checker) checkActions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.checkSend(now, a)
		case Reject:
			if r := c.checkFinalAnswer(a.ID); r != nil {
				for _, t := range r.attempts {
					mayRunAgain := r.class.Effect == Idempotent || r.class.Effect == IdempotentWithKey && r.class.DedupScope == ScopeAll
					if t.mayHaveRun() && !mayRunAgain {
						c.addViolation("rule 2: %s rejected although it may have run", a.ID)
					}
				}
			}
		case Fail:
			c.checkFinalAnswer(a.ID)
		case Abort:
			if r := c.checkFinalAnswer(a.ID); r != nil && len(r.attempts) > 0 {
				c.addViolation("fault injection: %s aborted after an attempt", a.ID)
			}
		}
	}
}

func (c *checker) checkFinalAnswer(id string) *trackedRequest {
	r := c.requests[id]
	if r == nil || r.ended {
		c.addViolation("rule 1: final answer for %s, which has ended or is unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *checker) checkSend(now time.Duration, a Send) {
	r := c.requests[a.ID]
	if r == nil || r.ended {
		c.addViolation("rule 1: sent %s, which has ended or is unknown", a.ID)
		return
	}
	state, known := c.states[a.Server]
	if !known || state != Ready {
		c.addViolation("rule 3: sent to %s, which is draining, removed or unknown", a.Server)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.addViolation("more than %d attempts", c.settings.MaxAttempts)
	}
	if slices.Contains(c.orderedRequests, r) {
		for _, o := range c.orderedRequests[:slices.Index(c.orderedRequests, r)] {
			if o.key == r.key && (!o.ended || o.hasAttemptInFlight() || now < o.quietUntil) {
				c.addViolation("rule 5: %s sent before %s, which has the same key, had ended", a.ID, o.id)
			}
		}
	}
	if z := r.class.AllowedZones; z != nil && !slices.Contains(z, c.zones[a.Server]) {
		c.addViolation("rule 6: %s sent to zone %s", a.ID, c.zones[a.Server])
	}
	if k := r.class.AllowedKinds; k != nil && !slices.Contains(k, c.kinds[a.Server]) {
		c.addViolation("rule 6: %s sent to kind %s", a.ID, c.kinds[a.Server])
	}
	for _, t := range r.attempts {
		if !t.ended {
			c.addViolation("second attempt of %s while another is in flight", a.ID)
		}
		if !t.mayHaveRun() {
			continue
		}
		switch r.class.Effect {
		case NonIdempotent:
			c.addViolation("rule 2: non-idempotent %s sent again", a.ID)
		case IdempotentWithKey:
			if now > t.sentAt+r.class.DedupWindow {
				c.addViolation("rule 2: %s sent again outside its deduplication window", a.ID)
			}
			if r.class.DedupScope != ScopeAll && c.zones[t.server] != c.zones[a.Server] ||
				r.class.DedupScope == ScopeCell && c.cells[t.server] != c.cells[a.Server] {
				c.addViolation("rule 2: %s sent again outside its deduplication scope", a.ID)
			}
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{server: a.Server, sentAt: now})
}

// A checker that never fails checks nothing: each case is a sequence of events and actions that violates a
// rule.
func TestCheckerReportsEachViolation(t *testing.T) {
	list := EndpointUpdate{Complete: true, Servers: []Server{{ID: "a", Cell: 0, Zone: "z"},
		{ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * millisecond} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Outcome: TimedOut}
	seq := func(id string) Request {
		return Request{ID: id, Class: "seq", Deadline: 1000 * millisecond, Key: 4, HasKey: true}
	}
	ends := func(id string, e Outcome) AttemptEnded { return AttemptEnded{ID: id, Outcome: e, RequestDone: true} }
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), Send{ID: "s2", Server: "a"}}},
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), Send{ID: "s1", Server: "a"},
			ClientGone{ID: "s1"}, Send{ID: "s2", Server: "a"}}},
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), Send{ID: "s1", Server: "a"},
			ends("s1", ConnectionLost), 29 * millisecond, Send{ID: "s2", Server: "a"}}},
		{"rule 6: r sent to zone", []any{list, req("seq"), Send{ID: "r", Server: "b"}}},
		{"rule 6: r sent to kind", []any{list, req("kin"), Send{ID: "r", Server: "b"}}},
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, TimerFired{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which has ended", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Server: "a"}}},
		{"rule 2: non-idempotent", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "a"}}},
		{"rule 2: r rejected", []any{list, req("pay"), Send{ID: "r", Server: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its deduplication window", []any{list, req("post"), Send{ID: "r", Server: "a"}, 950 * millisecond, timedOut,
			Send{ID: "r", Server: "a"}}},
		{"outside its deduplication scope", []any{list, req("post"), Send{ID: "r", Server: "a"}, timedOut, Send{ID: "r", Server: "b"}}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Server: "c"}}},
		{"second attempt", []any{list, req("get"), Send{ID: "r", Server: "a"}, Send{ID: "r", Server: "b"}}},
	} {
		c := newChecker(randomTestSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.checkEvent(now, s)
			case Action:
				c.checkActions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.violations, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.violations)
		}
	}
}
