package engine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

var testSettings = balancer.Settings{Replicas: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
	OverloadMultiple: 3, SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second,
	Classes: []balancer.Class{
		{Name: "non-idempotent", Effect: balancer.NonIdempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
		{Name: "idempotent", Effect: balancer.Idempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}}}

// manualSender is a Sender that passes its attempts to the test, which delivers their results.
type manualSender struct {
	started chan *Attempt
	retired []*Target // written only by the event loop
}

func (s *manualSender) Start(a *Attempt) { s.started <- a }
func (s *manualSender) Retire(t *Target) { s.retired = append(s.retired, t) }

// newEngine returns an engine whose balancer has a fixed seed.
func newEngine(t testing.TB, log *slog.Logger) (*Engine, *manualSender) {
	t.Helper()
	bal, err := balancer.New(testSettings, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &manualSender{started: make(chan *Attempt, 1000)}
	return New(Options{Clock: NewClock(), Log: log, Balancer: bal, Sender: s, Subscribe: func() {}}), s
}

// completeList returns a complete list of n servers that are ready and no longer in slow start.
func completeList(n int) Update {
	l := Update{Complete: true}
	for i := range n {
		l.Endpoints = append(l.Endpoints, Endpoint{
			Server: balancer.Server{ID: "s-" + strconv.Itoa(i)},
			Addr:   fmt.Sprintf("10.0.0.%d:1", i),
		})
	}
	return l
}

// withEngine runs f with a running engine that has a list of n servers, in a synctest bubble: the clock advances only when
// all goroutines are blocked.
func withEngine(t *testing.T, n int, f func(t *testing.T, e *Engine, s *manualSender)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e, s := newEngine(t, discardLog())
		go e.Run()
		defer e.Stop()
		if err := e.ApplyUpdate(t.Context(), completeList(n)); err != nil {
			t.Fatal(err)
		}
		f(t, e, s)
	})
}

// newCall returns a call with the deadline of its class.
func newCall(e *Engine, id, class string) *Call {
	return &Call{Request: balancer.Request{ID: id, Class: class, Deadline: e.Clock.Now() + 4*time.Second}}
}

// doAsync submits a call in a separate goroutine and sends its answer on the returned channel. If the call gets no answer,
// the channel is closed without a value.
func doAsync(ctx context.Context, e *Engine, c *Call) <-chan Answer {
	got := make(chan Answer, 1)
	go func() {
		if a, err := e.Do(ctx, c); err == nil {
			got <- a
		}
		close(got)
	}()
	return got
}

// receive receives a value that must be available before the clock advances. A blocking receive would keep the engine's
// ticker running forever.
func receive[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	synctest.Wait()
	select {
	case v = <-from:
	default:
		t.Fatal("nothing was sent on the channel")
	}
	return v
}
