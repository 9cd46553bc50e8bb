package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"hookwalk.example/hookwalk/balancer"
)

// abandonableReply counts how often it was abandoned.
type abandonableReply struct{ abandoned atomic.Int64 }

func (r *abandonableReply) Abandon() { r.abandoned.Add(1) }

// A client leaves in the moment in which the response to its call begins. The response becomes the answer, but Do returns
// without it: the reply must be abandoned, because the attempt waits until the reply has been read, and would keep its
// connection to the server indefinitely.
func TestReplyOfDepartedClientIsAbandoned(t *testing.T) {
	const wantUnread, maxCalls = 20, 10_000
	withEngine(t, 3, func(t *testing.T, e *Engine, s *manualSender) {
		unread := 0
		for i := 0; unread < wantUnread; i++ {
			if i == maxCalls {
				t.Fatalf("only %d of %d calls were answered as their clients left", unread, i)
			}
			ctx, leave := context.WithCancel(t.Context())
			got := doAsync(ctx, e, newCall(e, fmt.Sprint(i), "idempotent"))
			attempt := receive(t, s.started)
			synctest.Wait()
			reply := &abandonableReply{}
			leave()
			accepted := e.ForwardResponse(attempt, reply)
			_, read := <-got
			outcome := balancer.Canceled
			if read {
				outcome = balancer.Success
			}
			synctest.Wait()
			e.AttemptEnded(Result{Attempt: attempt, Outcome: outcome})
			want := int64(0)
			if accepted && !read {
				want = 1
				unread++
			}
			if n := reply.abandoned.Load(); n != want {
				t.Fatalf("accepted %v, read %v: abandoned %d times, want %d", accepted, read, n, want)
			}
		}
	})
}
