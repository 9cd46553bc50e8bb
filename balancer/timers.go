// Timers and their tokens.

package balancer

import (
	"strconv"
	"strings"
	"time"
)

// Kinds of timers: the part of a token before its colon. The part after it identifies the request or the key.
const (
	pollTimer  = "list" // discovery is polled; the token has no other part
	queueTimer = "r"    // a queued request is checked again
	delayTimer = "d"    // the injected delay of a request ends
	keyTimer   = "k"    // the quiet period of a key ends
	// shutdownTimer: all answers are due, because the process is about to end; the token has no other part
	shutdownTimer = "stop"
)

// timerToken returns the token of a timer of one request.
func timerToken(kind string, r *request) string { return kind + ":" + r.id }

// handleTimer does the work of a timer that has fired. A host may round times down, so that a timer fires a
// little early: a handler whose work is not due yet sets another timer.
func (b *Balancer) handleTimer(e TimerFired) {
	switch kind, name, _ := strings.Cut(e.Token, ":"); kind {
	case pollTimer:
		b.handlePollTimer()
	case shutdownTimer:
		b.answerAll()
	case keyTimer:
		if key, err := strconv.ParseUint(name, 10, 64); err == nil {
			b.dropOrRearmKeyQueue(b.keyQueues[key])
		}
	case delayTimer:
		b.handleDelayTimer(b.requests[name])
	case queueTimer:
		b.handleQueueTimer(b.requests[name])
	}
}

// isDue reports whether a time has been reached, or is so close that its timer may already have fired.
func (b *Balancer) isDue(at time.Duration) bool { return b.now+b.settings.TimerTolerance >= at }
