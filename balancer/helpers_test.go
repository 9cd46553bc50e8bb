package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, DedupScope: ScopeAll, LatencyObjective: 500 * millisecond, Deadline: 1500 * millisecond, PriorityWeight: 1},
			{Name: "post", Effect: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 900 * millisecond, LatencyObjective: 500 * millisecond,
				Deadline: 1500 * millisecond, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: 500 * millisecond, Deadline: 1500 * millisecond, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalValueWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, TimerTolerance: 2 * millisecond,
		MaxPollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
	}
}

// newBalancer returns a Balancer with the test settings, changed by change unless that is nil.
func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// disableSubsetting makes a replica draw from all servers for some hundred requests, as a busy replica does.
func disableSubsetting(b *Balancer) { b.pools[0].peakInFlight = 1e9 }

// attemptsInFlight returns n attempts that have just been sent.
func attemptsInFlight(n int) (open []*attempt) {
	for range n {
		open = append(open, &attempt{request: &request{class: &class{meanLatency: 1e18}}})
	}
	return open
}

// servers returns n servers in one zone.
func servers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// completeList returns an update with a complete list of n servers.
func completeList(n int) EndpointUpdate { return EndpointUpdate{Complete: true, Servers: servers(n)} }

// sends returns the Send actions of a list of actions.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

// endAttempt ends the only attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id string, s Send, e Outcome) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Server: s.Server, Outcome: e, RequestDone: e == Success})
}

// traffic gives the Balancer n requests one after another; outcomeOf decides how attempts at a server end. It
// returns how many first attempts each server got in the second half.
func traffic(b *Balancer, n int, class string, outcomeOf func(server string) Outcome) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*millisecond
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Server]++
			}
			for k := 0; k < 5; k++ {
				e := outcomeOf(s.Server)
				now += 10 * millisecond
				again := sends(b.Handle(now, AttemptEnded{ID: id, Attempt: k, Server: s.Server, Outcome: e, RequestDone: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// newRequest returns a request whose deadline is budget after now.
func newRequest(id, class string, now, budget time.Duration) Request {
	return Request{ID: id, Class: class, Deadline: now + budget}
}

// sentTo returns the server of a request's first attempt.
func sentTo(b *Balancer, id string) string { return b.requests[id].attempts[0].server.ID }

// finalAnswer returns the first action of a list that ends a request, nil if there is none.
func finalAnswer(acts []Action) Action {
	for _, a := range acts {
		switch a.(type) {
		case Reject, Fail:
			return a
		}
	}
	return nil
}

// firstSendOrAnswer gives a request to a Balancer and fires its timers. It returns the first Send or final
// answer, and the time of it.
func firstSendOrAnswer(b *Balancer, now time.Duration, e Request) (at time.Duration, answer Action) {
	acts := b.Handle(now, e)
	for range 100 {
		var next *SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case Reject, Fail, Send:
				return now, a
			case SetTimer:
				next = &a
			}
		}
		if next == nil {
			break
		}
		now = next.At
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	return now, nil
}

// pendingOutcome is the end of an attempt at a time to come.
type pendingOutcome struct {
	at    time.Duration
	event AttemptEnded
}

// takeDue removes the entries that are due from a list and returns them.
func takeDue[T any](list *[]T, due func(T) bool) (out []T) {
	keep := (*list)[:0:0]
	for _, v := range *list {
		if due(v) {
			out = append(out, v)
		} else {
			keep = append(keep, v)
		}
	}
	*list = keep
	return out
}

// timedEvent is an event with its clock time.
type timedEvent struct {
	at    time.Duration
	event Event
}

// parsePrefixes parses address ranges.
func parsePrefixes(list ...string) (all []netip.Prefix) {
	for _, s := range list {
		all = append(all, netip.MustParsePrefix(s))
	}
	return all
}
