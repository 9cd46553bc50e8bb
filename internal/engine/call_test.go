package engine

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Each case has the outcomes of a call's successive attempts and the expected answer. A call is retried only if it did not
// run or may run twice, and gets at most three attempts.
func TestCallOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		class    string
		outcomes []balancer.Outcome
		want     Verdict
	}{
		"first attempt succeeds":                         {"non-idempotent", []balancer.Outcome{balancer.Success}, Served},
		"third attempt succeeds":                         {"non-idempotent", []balancer.Outcome{balancer.Unreachable, balancer.Overloaded, balancer.Success}, Served},
		"no attempt ran":                                 {"non-idempotent", []balancer.Outcome{balancer.Unreachable, balancer.Unreachable, balancer.Unreachable}, Rejected},
		"a non-idempotent call may have run":             {"non-idempotent", []balancer.Outcome{balancer.ConnectionLost}, Failed},
		"an idempotent call may have run, then succeeds": {"idempotent", []balancer.Outcome{balancer.ConnectionLost, balancer.Success}, Served},
	} {
		t.Run(name, func(t *testing.T) {
			withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
				got := doAsync(t.Context(), e, newCall(e, "1", tc.class))
				for i, outcome := range tc.outcomes {
					a := receive(t, s.started)
					if a.Number != i || !a.MaySend(e.Clock.Now()) {
						t.Fatalf("attempt %d has number %d, MaySend %v", i, a.Number, a.MaySend(e.Clock.Now()))
					}
					e.AttemptEnded(Result{Attempt: a, Outcome: outcome, Reply: i})
				}
				a := receive(t, got)
				if a.Verdict != tc.want {
					t.Errorf("got answer %+v, want verdict %v", a, tc.want)
				}
				if tc.want == Served && a.Reply != len(tc.outcomes)-1 {
					t.Errorf("got the reply of attempt %v, want that of attempt %d", a.Reply, len(tc.outcomes)-1)
				}
				synctest.Wait()
				if len(s.started) > 0 || len(e.calls) > 0 {
					t.Errorf("%d attempts started after the answer, %d calls not removed", len(s.started), len(e.calls))
				}
			})
		})
	}
}

// A server receives a request and never responds. The call must fail when its attempt ends at the call's deadline. Until
// then its ID is in use: a second call with the same ID is answered with DuplicateID.
func TestUnansweredCallFailsAtDeadline(t *testing.T) {
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		c := newCall(e, "1", "non-idempotent")
		got := doAsync(t.Context(), e, c)
		attempt := receive(t, s.started)
		if a := receive(t, doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))); a.Verdict != DuplicateID {
			t.Errorf("a second call with the same ID while the attempt is outstanding: got %+v, want DuplicateID", a)
		}
		if attempt.Deadline > c.Request.Deadline {
			t.Errorf("the attempt's deadline is %v after the call's", attempt.Deadline-c.Request.Deadline)
		}
		time.Sleep(attempt.Deadline - e.Clock.Now())
		if attempt.MaySend(e.Clock.Now()) {
			t.Error("the attempt may still be sent at its deadline")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.TimedOut})
		if a := receive(t, got); a.Verdict != Failed {
			t.Errorf("got %+v, want Failed", a)
		}
		again := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		e.AttemptEnded(Result{Attempt: receive(t, s.started)})
		if a := receive(t, again); a.Verdict != Served {
			t.Errorf("a new call with the same ID after the attempt has ended: got %+v, want Served", a)
		}
	})
}

// A client cancels its call: nothing more may be sent for the call, and the call must be removed. If another client cancels
// a call with the same ID, the first client's call must continue. In an earlier version, the cancellation of the second
// call ended the first, which then got no answer.
func TestNoSendAfterClientGone(t *testing.T) {
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		first := doAsync(t.Context(), e, newCall(e, "1", "non-idempotent"))
		attempt := receive(t, s.started)

		// The second call is answered with DuplicateID while its client cancels it; the loop receives both at the same time.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			<-doAsync(ctx, e, newCall(e, "1", "non-idempotent"))
		}
		if !attempt.MaySend(e.Clock.Now()) {
			t.Fatal("canceling another call with the same ID ended the first call")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Unreachable})
		e.AttemptEnded(Result{Attempt: receive(t, s.started), Reply: "ran"})
		if a := receive(t, first); a.Reply != "ran" {
			t.Errorf("the first call got %+v, want the reply of its second attempt", a)
		}

		ctx, cancel = context.WithCancel(t.Context())
		got := doAsync(ctx, e, newCall(e, "2", "idempotent"))
		attempt = <-s.started
		cancel()
		if _, answered := <-got; answered {
			t.Error("a call whose client is gone was answered")
		}
		synctest.Wait()
		if attempt.MaySend(e.Clock.Now()) {
			t.Error("the attempt may still be sent after the client has gone")
		}
		e.AttemptEnded(Result{Attempt: attempt, Outcome: balancer.Unreachable})
		synctest.Wait()
		if len(s.started) > 0 || len(e.calls) > 0 {
			t.Errorf("%d attempts started after the client had gone, %d calls not removed", len(s.started), len(e.calls))
		}
	})
}

// A hundred clients disconnect while the loop is busy with a command and their attempts wait for connections. The attempts
// must not be sent, even before the loop handles the disconnects, and must not be retried afterwards.
func TestNoSendAfterClientsGoneWhileLoopBusy(t *testing.T) {
	withEngine(t, 10, func(t *testing.T, e *Engine, s *manualSender) {
		ctx, cancel := context.WithCancel(t.Context())
		var ended []<-chan Answer
		var outstanding []*Attempt
		for i := range 100 {
			ended = append(ended, doAsync(ctx, e, newCall(e, strconv.Itoa(i), "idempotent")))
		}
		synctest.Wait()
		for len(s.started) > 0 {
			outstanding = append(outstanding, <-s.started)
		}
		if len(outstanding) < 10 {
			t.Fatalf("only %d attempts are outstanding", len(outstanding))
		}
		unblock := make(chan struct{})
		go e.runCommand(t.Context(), func() error {
			<-unblock
			return nil
		})
		synctest.Wait()
		cancel()
		synctest.Wait()
		for _, a := range outstanding {
			if a.MaySend(e.Clock.Now()) {
				t.Errorf("the attempt of call %s may still be sent", a.Call.Request.ID)
			}
		}
		late := newCall(e, "late", "idempotent")
		if _, err := e.Do(ctx, late); err != ErrClientGone {
			t.Errorf("a call submitted after its client had gone: error %v, want ErrClientGone", err)
		}
		close(unblock)
		for _, a := range outstanding {
			go e.AttemptEnded(Result{Attempt: a, Outcome: balancer.NotSent})
		}
		for _, got := range ended {
			if a, answered := <-got; answered {
				t.Errorf("a call whose client is gone was answered: %v", a)
			}
		}
		synctest.Wait()
		for len(s.started) > 0 { // attempts of queued calls start when earlier ones have ended
			a := <-s.started
			if a.MaySend(e.Clock.Now()) {
				t.Errorf("a further attempt of call %s may be sent", a.Call.Request.ID)
			}
			e.AttemptEnded(Result{Attempt: a, Outcome: balancer.NotSent})
			synctest.Wait()
		}
		if len(e.calls) > 0 {
			t.Errorf("%d calls not removed", len(e.calls))
		}
	})
}

// BenchmarkCall measures the work of the event loop for a call with one attempt.
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
