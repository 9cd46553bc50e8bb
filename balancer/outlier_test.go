package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that fails immediately has few attempts in flight, and so would win every draw and fail most
// requests. It must be ejected, whatever the kind of failure.
func TestServerWithFastErrorsIsEjected(t *testing.T) {
	for _, e := range []Outcome{Failure, Unreachable, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
		disableSubsetting(b)
		got := traffic(b, 600, "get", func(s string) Outcome {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("outcome %d: the bad server got %d of 300 first attempts", e, got["s03"])
		}
	}
}

// In a chain of tiers a single error is mostly passed on from a deeper tier, and ejecting the server for it
// would remove healthy capacity. Several consecutive errors while its peers succeed, or a timeout, show a
// fault in the server.
func TestOneErrorDoesNotEject(t *testing.T) {
	for _, tc := range []struct {
		outcomes []Outcome
		ejected  bool
	}{{[]Outcome{Failure}, false}, {[]Outcome{ConnectionLost}, false}, {[]Outcome{Failure, Success, Failure}, false},
		{[]Outcome{Failure, Failure, Failure}, true}, {[]Outcome{TimedOut}, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
		b.now = 20 * millisecond // how long each attempt takes
		s, r := b.pools[0].inService[0], &request{class: b.classes["get"]}
		for _, e := range tc.outcomes {
			for i := range 9 {
				b.recordOutcome(&attempt{request: r, server: b.pools[0].inService[1+i%3]}, AttemptEnded{Outcome: Success})
			}
			b.recordOutcome(&attempt{request: r, server: s}, AttemptEnded{Outcome: e})
		}
		if got := s.ejectedUntil > b.now; got != tc.ejected {
			t.Errorf("after outcomes %v: ejected %v, want %v", tc.outcomes, got, tc.ejected)
		}
	}
}

// In a list so short that the share that may be excluded rounds to zero servers, one bad server must still be
// excluded.
func TestOneBadServerOfAShortListIsEjected(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	got := traffic(b, 600, "get", func(s string) Outcome {
		if s == "s03" {
			return Failure
		}
		return Success
	})
	if got["s03"] > 10 {
		t.Errorf("the bad server got %d of 600 first attempts", got["s03"])
	}
}

// When all servers fail in the same way, the fault is in a deeper tier. Ejecting them all would leave none
// for the requests that can still be served.
func TestFailuresAtAllServersEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	disableSubsetting(b)
	got := traffic(b, 800, "get", func(string) Outcome { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers still get requests", len(got))
	}
}

// A machine that hangs shows nothing but an old unanswered attempt while other servers answer. It must not be
// sent request after request until its attempts time out.
func TestUnresponsiveServerIsNotChosen(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	disableSubsetting(b)
	unanswered, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * millisecond
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				unanswered++
			} else {
				endAttempt(b, now+10*millisecond, id, s, Success)
			}
		}
	}
	if unanswered == 0 || unanswered > 6 {
		t.Errorf("the unresponsive server got %d requests", unanswered)
	}
}

// After an ejection the server may still be bad. While other requests arrive, the one that tests it must not
// be one that cannot be retried.
func TestProbationRequestIsIdempotentWherePossible(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(10)})
	disableSubsetting(b)
	s := b.servers["s03"]
	s.ejectionLevel = 1
	for range 100 {
		s.ejectedUntil = b.now // the ejection has just ended
		traffic(b, 2, "pay", func(string) Outcome { return Success })
		if s.consecutiveSuccesses > 0 {
			t.Fatal("a server on probation got a non-idempotent request")
		}
	}
	disableSubsetting(b)
	if got := traffic(b, 400, "get", func(string) Outcome { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// Where only non-idempotent requests arrive, one of them must be the probation request after an ejection, or
// the server would never be used again.
func TestNonIdempotentRequestsCanEndProbation(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	disableSubsetting(b)
	b.servers["s03"].ejectionLevel, b.servers["s03"].ejectedUntil = 1, time.Second
	got := map[string]int{}
	for i := range 400 {
		now := time.Second + time.Duration(i)*20*millisecond
		id := fmt.Sprint(i)
		s := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second}))[0]
		if now < 1100*millisecond && s.Server == "s03" {
			t.Fatalf("a non-idempotent probation request at %v, when an idempotent one might still arrive", now)
		}
		got[s.Server]++
		endAttempt(b, now+10*millisecond, id, s, Success)
	}
	if got["s03"] < 40 {
		t.Errorf("requests by server: %v", got)
	}
}

// In an overload attempts time out at every server, and all look bad. The more load is shed, the fewer
// servers may be excluded for their health, because excluding them would make the overload worse.
func TestFewerServersAreExcludedWhileLoadIsShed(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 1}} {
		b := newBalancer(t, nil)
		b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(20)})
		for _, s := range b.pools[0].inService[:10] {
			s.ejectedUntil = time.Minute
		}
		b.pools[0].shedShare = c.shed
		excluded := 0
		for _, o := range b.excludeOutliers(&request{class: b.classes["get"]}, b.pools[0].inService) {
			if o {
				excluded++
			}
		}
		if excluded != c.want {
			t.Errorf("shed %.1f: %d excluded, want %d", c.shed, excluded, c.want)
		}
	}
}

// A dead server fills the window of a short list with attempts that are never answered, so that load is shed.
// That must not make the dead server eligible again.
func TestDeadServerStaysExcludedWhileLoadIsShed(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(millisecond, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.pools[0].inService[2].ejectedUntil = time.Minute
	b.pools[0].shedShare = 0.6
	if excluded := b.excludeOutliers(&request{class: b.classes["get"]}, b.pools[0].inService); fmt.Sprint(excluded) != "[false false true false]" {
		t.Errorf("excluded %v, want the third alone", excluded)
	}
}
