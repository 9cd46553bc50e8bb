// Shutdown: by when every request has its final answer, if the node's process is about to end.

package balancer

import (
	"maps"
	"slices"
	"time"
)

// beginShutdown limits the deadlines of all requests, those that arrive later included, to the time by which
// the process has to have answered. At that time answerAll answers those that are still open.
//
// A deadline alone is not enough: the time of an attempt whose body is streamed starts at the body's last
// byte, which the Balancer does not see, and an attempt that was sent before the shutdown keeps its timeout.
// Such a request would still be open when the process is killed, and its client could not know whether it
// ran.
func (b *Balancer) beginShutdown(e ShutdownBegun) {
	b.endFaultInjections()
	if e.AnswerBy == 0 {
		return
	}
	b.answerBy = e.AnswerBy
	for _, r := range b.requests {
		r.deadline = min(r.deadline, b.answerBy)
	}
	b.emit(SetTimer{At: b.answerBy, Token: shutdownTimer})
}

// deadlineOf returns the deadline of a request that arrives now: the client's, limited to the deadline of its
// class and, during a shutdown, to the time by which the process has to have answered. Without the limit of
// the class, a request whose deadline is an hour away could count in the window until then.
func (b *Balancer) deadlineOf(e Request, c *class) time.Duration {
	deadline := min(e.Deadline, b.now+c.Deadline)
	if b.answerBy > 0 {
		deadline = min(deadline, b.answerBy)
	}
	return deadline
}

// answersDue reports whether the process has to have answered all requests by now.
func (b *Balancer) answersDue() bool { return b.answerBy > 0 && b.isDue(b.answerBy) }

// answerAll answers all open requests when they are due, or sets another timer if the last one fired early.
// Attempts in flight continue, and their servers may still run them: giveUp fails such requests.
func (b *Balancer) answerAll() {
	if b.answerBy == 0 {
		return
	}
	if !b.answersDue() {
		b.emit(SetTimer{At: b.answerBy, Token: shutdownTimer})
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; r != nil {
			b.giveUp(r)
		}
	}
}
