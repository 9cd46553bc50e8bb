package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// A host gives a Balancer the endpoint list and a request. The first attempt never ran, and the second one
// succeeds.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Idempotent, DedupScope: balancer.ScopeAll,
			LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, TimerTolerance: time.Millisecond,
		SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Servers: []balancer.Server{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	acts := b.Handle(now, balancer.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := acts[0].(balancer.Send)
	fmt.Println("sent", first.ID, "with a timeout of", first.Timeout)

	now += 3 * time.Millisecond
	acts = b.Handle(now, balancer.AttemptEnded{ID: "r1", Attempt: 0, Server: first.Server,
		Outcome: balancer.Unreachable, Latency: 3 * time.Millisecond})
	second := acts[0].(balancer.Send)
	fmt.Println("sent again to another server:", second.Server != first.Server)

	now += 20 * time.Millisecond
	acts = b.Handle(now, balancer.AttemptEnded{ID: "r1", Attempt: 1, Server: second.Server,
		Outcome: balancer.Success, Latency: 20 * time.Millisecond, RequestDone: true})
	fmt.Println("remaining actions:", len(acts))
	// Output:
	// sent r1 with a timeout of 1s
	// sent again to another server: true
	// remaining actions: 0
}

func BenchmarkHandle(bench *testing.B) {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Idempotent, LatencyObjective: time.Second,
			Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, TimerTolerance: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []balancer.Server
	for i := range 50 {
		list = append(list, balancer.Server{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Servers: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(balancer.Send)
		b.Handle(now, balancer.AttemptEnded{ID: id, Server: s.Server, Outcome: balancer.Success, RequestDone: true})
	}
}
