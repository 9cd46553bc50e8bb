package policies

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

func settings() balancer.Settings {
	return balancer.Settings{Replicas: 1, MaxAttempts: 3, TimerTolerance: time.Millisecond, PollDiscovery: true, MaxPollInterval: time.Second,
		Classes: []balancer.Class{{Name: "safe", Effect: balancer.Idempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "unsafe", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}}}
}

func endpointList(n int) balancer.EndpointUpdate {
	list := balancer.EndpointUpdate{Complete: true}
	for i := range n {
		list.Servers = append(list.Servers, balancer.Server{ID: "s-" + strconv.Itoa(100000+i)})
	}
	return list
}

// A reference policy that retried non-idempotent requests after they may have run would look better than it is. A
// request that has not run is sent to up to three servers and then rejected. One that may have run is retried only if
// it is idempotent.
func TestReferencesRespectEffectAndMaxAttempts(t *testing.T) {
	for _, name := range []string{"random", "round-robin", "least-of-two", "two-random", "two-left", "oracle"} {
		p, err := New(name, settings(), 1, func(string) int { return 0 })
		if err != nil {
			t.Fatal(err)
		}
		p.Handle(0, endpointList(5))
		for n, c := range []struct {
			class    string
			outcome  balancer.Outcome
			sends    int
			rejected bool
		}{{"safe", balancer.Overloaded, 3, true}, {"safe", balancer.ConnectionLost, 3, true},
			{"unsafe", balancer.Unreachable, 3, true}, {"unsafe", balancer.Failure, 1, false}, {"unknown", balancer.TimedOut, 1, false}} {
			id := strconv.Itoa(n)
			out := p.Handle(0, balancer.Request{ID: id, Class: c.class, Deadline: time.Second})
			seen := map[string]bool{}
			for {
				if len(out) != 1 {
					t.Fatalf("%s: %v", name, out)
				}
				s, ok := out[0].(balancer.Send)
				if !ok {
					break
				}
				if seen[s.Server] {
					t.Errorf("%s: request %s was sent twice to %s", name, id, s.Server)
				}
				out = p.Handle(0, balancer.AttemptEnded{ID: id, Attempt: len(seen), Server: s.Server, Outcome: c.outcome})
				seen[s.Server] = true
			}
			if _, rejected := out[0].(balancer.Reject); rejected != c.rejected || len(seen) != c.sends {
				t.Errorf("%s, %+v: %d sends, then %T", name, c, len(seen), out[0])
			}
		}
	}
}

// A draining or removed server gets no new requests, and attempts that are in flight to it may still end.
func TestReferencesSendOnlyToReadyServers(t *testing.T) {
	p, err := New(LeastOfTwo, settings(), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.Handle(0, endpointList(2))
	p.Handle(0, balancer.Request{ID: "a", Class: "safe", Deadline: time.Second})
	one := endpointList(2)
	one.Complete, one.Servers[0].State, one.Servers[1].State = false, balancer.Draining, balancer.Removed
	p.Handle(0, one)
	if out := p.Handle(0, balancer.Request{ID: "b", Class: "safe", Deadline: time.Second}); len(out) != 1 || out[0] != (balancer.Reject{ID: "b"}) {
		t.Errorf("with no ready server: %v", out)
	}
	if out := p.Handle(0, balancer.AttemptEnded{ID: "a", Outcome: balancer.Success, RequestDone: true}); len(out) != 0 {
		t.Errorf("actions after an attempt that was in flight: %v", out)
	}
	back := endpointList(2)
	back.Servers[0].StartTime = time.Second
	p.Handle(0, back)
	for i := range 20 {
		if out := p.Handle(0, balancer.Request{ID: strconv.Itoa(i), Class: "safe", Deadline: time.Second}); len(out) != 1 {
			t.Errorf("with two ready servers again: %v", out)
		}
	}
	if _, err := New(Oracle, settings(), 1, nil); err == nil {
		t.Error("an oracle without InFlight was accepted")
	}
}

// BenchmarkRequest measures a request and its outcome, with different numbers of servers and 32 requests in flight.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{Module, TwoRandom} {
		for _, servers := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				p, err := New(name, settings(), 1, nil)
				if err != nil {
					b.Fatal(err)
				}
				p.Handle(0, endpointList(servers))
				const inFlight = 32
				sentTo := make([]string, inFlight)
				now := time.Second
				for i := 0; b.Loop(); i++ {
					now += 100 * time.Microsecond
					k := i % inFlight
					if i >= inFlight {
						p.Handle(now, balancer.AttemptEnded{ID: strconv.Itoa(k), Server: sentTo[k], Outcome: balancer.Success, RequestDone: true})
					}
					for _, a := range p.Handle(now, balancer.Request{ID: strconv.Itoa(k), Class: "unsafe", Deadline: now + 2*time.Second}) {
						if s, ok := a.(balancer.Send); ok {
							sentTo[k] = s.Server
						}
					}
				}
			})
		}
	}
}

// BenchmarkEndpointUpdate measures an endpoint update with one changed server.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 10000} {
		b.Run(strconv.Itoa(servers), func(b *testing.B) {
			p, err := New(Module, settings(), 1, nil)
			if err != nil {
				b.Fatal(err)
			}
			list := endpointList(servers)
			p.Handle(0, list)
			one := balancer.EndpointUpdate{Servers: list.Servers[:1]}
			now := time.Second
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				one.Servers[0].State = balancer.ServerState(i % 2)
				p.Handle(now, one)
			}
		})
	}
}
