package engine

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// The outcomes of a call's attempts, one after the other, and the answer that its client gets: a retry only of what never ran
// or may run twice, and three attempts at most.
func TestCallOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		class    string
		outcomes []balancer.Outcome
		want     Verdict
	}{
		"served":                              {"non-idempotent", []balancer.Outcome{balancer.Success}, Served},
		"never ran, then served":              {"non-idempotent", []balancer.Outcome{balancer.Unreachable, balancer.Overloaded, balancer.Success}, Served},
		"never ran three times":               {"non-idempotent", []balancer.Outcome{balancer.Unreachable, balancer.Unreachable, balancer.Unreachable}, Rejected},
		"may have run, and is non-idempotent": {"non-idempotent", []balancer.Outcome{balancer.ConnectionLost}, Failed},
		"may have run, and is idempotent":     {"idempotent", []balancer.Outcome{balancer.ConnectionLost, balancer.Success}, Served},
	} {
		t.Run(name, func(t *testing.T) {
			withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
				got := doAsync(t.Context(), e, newCall(e, "1", tc.class))
				for i, outcome := range tc.outcomes {
					a := receive(t, s.started)
					if a.Number != i || !a.MaySend(e.Clock.Now()) {
						t.Fatalf("attempt %d is numbered %d, may be sent: %v", i, a.Number, a.MaySend(e.Clock.Now()))
					}
					e.AttemptEnded(Result{Attempt: a, Outcome: outcome, Reply: i})
				}
				a := receive(t, got)
				if a.Verdict != tc.want {
					t.Errorf("got %+v, want verdict %v", a, tc.want)
				}
				if tc.want == Served && a.Reply != len(tc.outcomes)-1 {
					t.Errorf("answered with the reply of attempt %v", a.Reply)
				}
				synctest.Wait()
				if len(s.started) > 0 || len(e.calls) > 0 {
					t.Errorf("%d attempts after the answer, %d calls kept", len(s.started), len(e.calls))
				}
			})
		})
	}
}

// A server takes a request and never responds. The call fails when its attempt ends, at the call's deadline; until then its
// ID is in use, and a second call with it is told so.
func TestUnansweredCallFailsAtDeadline(t *testing.T) {
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		c := newCall(e, "1", "non-idempotent")
		got := doAsync(t.Context(), e, c)
		attempt := receive(t, s.started)
		if a := receive(t, doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))); a.Verdict != DuplicateID {
			t.Errorf("its ID, while its attempt is out: %+v", a)
		}
		if attempt.Deadline > c.Request.Deadline {
			t.Errorf("the attempt ends %v after the call", attempt.Deadline-c.Request.Deadline)
		}
		time.Sleep(attempt.Deadline - e.Clock.Now())
		if attempt.MaySend(e.Clock.Now()) {
			t.Error("it may be sent at its deadline")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.TimedOut})
		if a := receive(t, got); a.Verdict != Failed {
			t.Errorf("got %+v", a)
		}
		again := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		e.AttemptEnded(Result{Attempt: receive(t, s.started)})
		if a := receive(t, again); a.Verdict != Served {
			t.Errorf("its ID, once nothing is out: %+v", a)
		}
	})
}

// A client cancels its call: nothing more is sent for it, and the call is forgotten. Another client that uses the same ID at
// that moment must not be taken for the one that has gone: once, its cancellation ended the first client's call, which then had
// no answer.
func TestNoSendAfterClientGone(t *testing.T) {
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		first := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		attempt := receive(t, s.started)

		// The second call is answered (its ID is in use) as its client cancels it; both reach the loop at once.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			<-doAsync(ctx, e, newCall(e, "1", "non-idempotent"))
		}
		if !attempt.MaySend(e.Clock.Now()) {
			t.Fatal("the cancellation of another call has ended the first")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Unreachable})
		e.AttemptEnded(Result{Attempt: receive(t, s.started), Reply: "ran"})
		if a := receive(t, first); a.Reply != "ran" {
			t.Errorf("the first call got %+v", a)
		}

		ctx, cancel = context.WithCancel(t.Context())
		got := doAsync(ctx, e, newCall(e, "2", "idempotent"))
		attempt = <-s.started
		cancel()
		if _, answered := <-got; answered {
			t.Error("a client that has gone was answered")
		}
		synctest.Wait()
		if attempt.MaySend(e.Clock.Now()) {
			t.Error("its attempt may still be sent")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Unreachable})
		synctest.Wait()
		if len(s.started) > 0 || len(e.calls) > 0 {
			t.Errorf("%d attempts after the client had gone, %d calls kept", len(s.started), len(e.calls))
		}
	})
}

// A hundred clients go away while the loop is busy with a command. Their attempts wait for connections, so the Sender must not
// write them even before the loop hears of it; and when it does, no retry follows.
func TestNoSendAfterClientsGoneWhileLoopBusy(t *testing.T) {
	withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
		ctx, cancel := context.WithCancel(t.Context())
		var ended []<-chan Answer
		var out []*Attempt
		for i := range 100 {
			ended = append(ended, doAsync(ctx, e, newCall(e, strconv.Itoa(i), "idempotent")))
		}
		synctest.Wait()
		for len(s.started) > 0 {
			out = append(out, <-s.started)
		}
		if len(out) < 10 {
			t.Fatalf("only %d attempts are out", len(out))
		}
		unblock := make(chan struct{})
		go e.runCommand(t.Context(), func() error {
			<-unblock
			return nil
		})
		synctest.Wait()
		cancel()
		synctest.Wait()
		for _, a := range out {
			if a.MaySend(e.Clock.Now()) {
				t.Errorf("the attempt of %s may be sent", a.Call.Request.ID)
			}
		}
		late := newCall(e, "late", "idempotent")
		if _, err := e.Do(ctx, late); err != ErrClientGone {
			t.Errorf("a call whose client had gone before it was handed in: %v", err)
		}
		close(unblock)
		for _, a := range out {
			go e.AttemptEnded(Result{Attempt: a, Outcome: balancer.NotSent})
		}
		for _, got := range ended {
			if a, answered := <-got; answered {
				t.Errorf("answered %v", a)
			}
		}
		synctest.Wait()
		for len(s.started) > 0 { // queued calls take the capacity of those that ended first
			a := <-s.started
			if a.MaySend(e.Clock.Now()) {
				t.Errorf("a further attempt of %s may be sent", a.Call.Request.ID)
			}
			e.AttemptEnded(Result{Attempt: a, Outcome: balancer.NotSent})
			synctest.Wait()
		}
		if len(e.calls) > 0 {
			t.Errorf("%d calls are kept", len(e.calls))
		}
	})
}

// BenchmarkCall measures what the loop itself does for a call with one attempt.
func BenchmarkCall(b *testing.B) {
	e, s := newEngine(b, discardLog())
	e.handleUpdate(completeList(10))
	b.ReportAllocs()
	for b.Loop() {
		c := newCall(e, "x", "non-idempotent")
		c.answer = make(chan Answer, 1)
		e.handleArrival(c)
		e.handleResult(Result{Attempt: <-s.started})
		if a := <-c.answer; a.Verdict != Served {
			b.Fatal(a)
		}
	}
}
