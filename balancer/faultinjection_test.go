package balancer

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// payFault returns a fault injection named stall, of class pay unless the given one names another class.
func payFault(fault FaultInjection) []FaultInjection {
	fault.Name, fault.Duration = "stall", time.Minute
	if fault.Class == "" {
		fault.Class = "pay"
	}
	return []FaultInjection{fault}
}

// newBalancerWithFault returns a Balancer with servers and a fault injection that is active from time 0.
func newBalancerWithFault(t *testing.T, fault FaultInjection) *Balancer {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.FaultInjections = payFault(fault) })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	b.Handle(0, StartFaultInjection{Name: "stall"})
	return b
}

// A fault injection affects its share of its class and no other class: operators who test one class must not
// harm others.
func TestFaultInjectionAffectsItsShareOfItsClass(t *testing.T) {
	b := newBalancerWithFault(t, FaultInjection{Percent: 10})
	injected := map[string]int{}
	for i := range 1000 {
		for _, class := range []string{"pay", "get"} {
			now, id := time.Duration(i)*millisecond, fmt.Sprint(class, i)
			acts := b.Handle(now, newRequest(id, class, now, time.Second))
			if d, ok := acts[0].(FaultInjected); ok {
				if d.FaultInjection != "stall" || d.ID != id {
					t.Fatalf("injected %+v", d)
				}
				injected[class]++
			}
			for _, s := range sends(acts) {
				endAttempt(b, now, id, s, Success)
			}
		}
	}
	if injected["pay"] < 70 || injected["pay"] > 130 || injected["get"] != 0 {
		t.Errorf("faults injected into %v of 1000 requests each, want about 100 of pay and none of get", injected)
	}
}

// The random draws of a fault injection must not shift the draws for other requests: a fault injection that
// neither delays nor aborts requests changes no other action.
func TestFaultInjectionDoesNotShiftOtherRandomDraws(t *testing.T) {
	otherActions := func(faults []FaultInjection) (rest []Action) {
		b := newBalancer(t, func(s *Settings) { s.FaultInjections = faults })
		acts := b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(20)})
		acts = append(acts, b.Handle(0, StartFaultInjection{Name: "stall"})...)
		for i := range 300 {
			now, id := time.Duration(i)*millisecond, fmt.Sprint("r", i)
			acts = append(acts, b.Handle(now, newRequest(id, []string{"pay", "get"}[i%2], now, time.Second))...)
			for _, s := range sends(acts[len(acts)-1:]) {
				if i%5 > 0 {
					acts = append(acts, endAttempt(b, now, id, s, Outcome(i%3))...)
				}
			}
		}
		for _, a := range acts {
			if _, mark := a.(FaultInjected); !mark {
				rest = append(rest, a)
			}
		}
		return rest
	}
	want := otherActions(nil)
	if got := otherActions(payFault(FaultInjection{Percent: 40})); !reflect.DeepEqual(got, want) {
		t.Error("a fault injection without delay changed other actions")
	}
}

// handleDelayed gives a request to a Balancer that delays it, and returns the timer that ends its delay.
func handleDelayed(t *testing.T, b *Balancer, now time.Duration, r Request) SetTimer {
	t.Helper()
	acts := b.Handle(now, r)
	if len(acts) != 2 || acts[0] != (FaultInjected{ID: r.ID, FaultInjection: "stall"}) {
		t.Fatalf("got %v, want a FaultInjected and a SetTimer", acts)
	}
	return acts[1].(SetTimer)
}

// A delayed request is sent once, when its timer is due, not when the timer fires early.
func TestDelayEndsWithItsTimer(t *testing.T) {
	b := newBalancerWithFault(t, FaultInjection{Percent: 100, Delay: 300 * millisecond})
	w := handleDelayed(t, b, 0, newRequest("r", "pay", 0, 1500*millisecond))
	if w.At != 300*millisecond {
		t.Errorf("delayed until %v", w.At)
	}
	if acts := b.Handle(100*millisecond, TimerFired{Token: w.Token}); len(acts) != 1 || acts[0] != Action(w) {
		t.Errorf("a timer that fired early led to %v, want another timer", acts)
	}
	acts := b.Handle(w.At, TimerFired{Token: w.Token})
	if s := sends(acts); len(s) != 1 || s[0].Timeout != 1200*millisecond {
		t.Errorf("after the delay: %v", acts)
	}
	if acts := b.Handle(w.At, TimerFired{Token: w.Token}); len(acts) != 0 {
		t.Errorf("a second timer led to %v", acts)
	}
}

// A delay that would use up the client's time ends while an answer is still possible: an injected delay must
// not become a failure.
func TestDelayIsLimitedByTheDeadline(t *testing.T) {
	b := newBalancerWithFault(t, FaultInjection{Percent: 100, Delay: time.Hour})
	w := handleDelayed(t, b, 0, newRequest("r", "pay", 0, 1500*millisecond))
	if left := 1500*millisecond - w.At; left < b.classes["pay"].latencyBound(2) || w.At < 500*millisecond {
		t.Errorf("delayed until %v of 1500ms", w.At)
	}
	if acts := b.Handle(w.At, TimerFired{Token: w.Token}); len(sends(acts)) != 1 {
		t.Errorf("after the delay: %v", acts)
	}
	acts := b.Handle(time.Second, newRequest("short", "pay", time.Second, 100*millisecond))
	if len(acts) != 2 || len(sends(acts)) != 1 {
		t.Errorf("with no time for a delay: %v, want a FaultInjected and a Send", acts)
	}
}

// An injected error is answered immediately, with a Retry-After for a 503, and no state of the request is
// kept.
func TestAbortedRequestIsAnsweredImmediately(t *testing.T) {
	for status, retryAfter := range map[int]time.Duration{503: 50 * millisecond, 500: 0} {
		b := newBalancerWithFault(t, FaultInjection{Percent: 100, AbortStatus: status, Delay: time.Second})
		want := []Action{FaultInjected{ID: "r", FaultInjection: "stall"}, Abort{ID: "r", Status: status, RetryAfter: retryAfter}}
		if acts := b.Handle(0, newRequest("r", "pay", 0, time.Second)); !reflect.DeepEqual(acts, want) {
			t.Errorf("got %v, want %v", acts, want)
		}
		if len(b.requests) != 0 {
			t.Error("the request is kept")
		}
	}
}

// A fault injection is active only after it was started by its name, and ends a fixed time after its last
// start: a forgotten one must not continue.
func TestFaultInjectionEndsAndRestarts(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.FaultInjections = payFault(FaultInjection{Percent: 100, AbortStatus: 500}) })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	n := 0
	isActive := func(now time.Duration) bool {
		n++
		_, ok := b.Handle(now, newRequest(fmt.Sprint(n), "pay", now, time.Second))[0].(FaultInjected)
		return ok
	}
	if isActive(0) {
		t.Error("it was active before it was started")
	}
	b.Handle(0, StartFaultInjection{Name: "another"})
	if isActive(0) {
		t.Error("another name started it")
	}
	b.Handle(time.Second, StartFaultInjection{Name: "stall"})
	b.Handle(31*time.Second, StartFaultInjection{Name: "stall"}) // it ends a minute after this
	if !isActive(90*time.Second) || isActive(91*time.Second) {
		t.Error("it did not end a minute after the second start")
	}
}

// A client disconnects while its request is delayed: nothing is sent, and no state of the request is kept.
func TestDelayEndsWhenTheClientDisconnects(t *testing.T) {
	b := newBalancerWithFault(t, FaultInjection{Percent: 100, Delay: 300 * millisecond})
	w := handleDelayed(t, b, 0, newRequest("r", "pay", 0, time.Second))
	b.Handle(10*millisecond, ClientGone{ID: "r"})
	if acts := b.Handle(w.At, TimerFired{Token: w.Token}); len(acts) != 0 || len(b.requests) != 0 || len(b.faults.delayed) != 0 {
		t.Errorf("the client disconnected, but the request was sent or kept: %v", acts)
	}
}

// A node that is shutting down sends delayed requests immediately and in order, and injects no more faults:
// its last seconds are for answers.
func TestShutdownEndsFaultInjection(t *testing.T) {
	b := newBalancerWithFault(t, FaultInjection{Percent: 100, Delay: 300 * millisecond})
	handleDelayed(t, b, 0, newRequest("1", "pay", 0, time.Second))
	handleDelayed(t, b, millisecond, newRequest("2", "pay", 0, time.Second))
	if s := sends(b.Handle(2*millisecond, ShutdownBegun{})); len(s) != 2 || s[0].ID != "1" || s[1].ID != "2" {
		t.Errorf("sent %v", s)
	}
	b.Handle(3*millisecond, StartFaultInjection{Name: "stall"})
	if acts := b.Handle(4*millisecond, newRequest("3", "pay", 0, time.Second)); len(acts) != 1 || len(sends(acts)) != 1 {
		t.Errorf("a request after the shutdown began: %v", acts)
	}
	plain := newBalancer(t, nil)
	if acts := plain.Handle(0, ShutdownBegun{}); len(acts) != 0 {
		t.Errorf("without fault injections: %v", acts)
	}
}
