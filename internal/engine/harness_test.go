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

// manualSender is a Sender that passes its attempts on to the test, which hands in their outcomes.
type manualSender struct {
	started chan *Attempt
	retired []*Target // the loop's own
}

func (s *manualSender) Start(a *Attempt) { s.started <- a }
func (s *manualSender) Retire(t *Target) { s.retired = append(s.retired, t) }

// newEngine makes an engine with a balancer of a fixed seed.
func newEngine(t testing.TB, log *slog.Logger) (*Engine, *manualSender) {
	t.Helper()
	bal, err := balancer.New(testSettings, 7)
	if err != nil {
		t.Fatal(err)
	}
	s := &manualSender{started: make(chan *Attempt, 1000)}
	return New(Options{Clock: NewClock(), Log: log, Balancer: bal, Sender: s, Subscribe: func() {}}), s
}

// completeList is an update with n servers that are ready and have long been warm.
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

// withEngine runs f beside the loop of an engine that has a list of n servers, in a synctest bubble: the clock stands still
// while any goroutine can go on.
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

// newCall is a call with as much time as its class has.
func newCall(e *Engine, id, class string) *Call {
	return &Call{Request: balancer.Request{ID: id, Class: class, Deadline: e.Clock.Now() + 4*time.Second}}
}

// doAsync hands in a call from a goroutine of its own, and sends its answer. The channel is closed without one if the call has
// none.
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

// receive receives what must come before the clock goes on; waiting for it would let the engine's tickers run for ever.
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
