// Timers and their tokens.

package balancer

import (
	"strconv"
	"strings"
	"time"
)

// Kinds of timers: the part of a token before its colon. The part behind it names the request or the key.
const (
	pollTimer  = "list" // discovery is polled; nothing follows
	queueTimer = "r"    // a queued request is looked at again
	delayTimer = "d"    // the injected delay of a request ends
	keyTimer   = "k"    // the quiet period of a key ends
)

// timerToken names a timer of one request.
func timerToken(kind string, r *request) string { return kind + ":" + r.id }

// handleTimer does what has come due. A host may round a time down, so that a timer fires a little early:
// whoever finds that nothing is due yet sets another.
func (b *Balancer) handleTimer(e TimerFired) {
	switch kind, name, _ := strings.Cut(e.Token, ":"); kind {
	case pollTimer:
		b.handlePollTimer()
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

// isDue says that a time has come, or comes within the tolerance by which a timer may be early.
func (b *Balancer) isDue(at time.Duration) bool { return b.now+b.settings.TimerTolerance >= at }
