package configversion

import (
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Silence: a controller that hangs, or whose network drops packets, leaves its watches open. Controllers therefore send
// a heartbeat every configapi.HeartbeatInterval, and a watch without a byte for its silence timeout counts as silent:
// the node connects elsewhere, and keeps the silent watch until another one brings an update.
//
// The time budget: a version has to be in force everywhere within 3 s of its publication, also where a controller fails
// right before. Silence is noticed within configapi.SilenceTimeout (1.2 s), the first watch beside it has openTimeout
// (0.6 s) and the second as long again, which leaves 0.6 s to apply the version.

// silenceJitter is the span within which nodes notice the same silence. An update to all nodes restarts all heartbeat
// intervals at once; without it, a controller that fails right after would send all its nodes to the others at once.
const silenceJitter = 200 * time.Millisecond

// drawSilenceTimeout draws the time without a byte after which a watch is silent.
func (s *Session) drawSilenceTimeout() time.Duration {
	return configapi.SilenceTimeout - s.jitter(silenceJitter)
}

// silenceDeadline is when the watch becomes silent unless another byte comes. An update that began and does not get
// complete counts from its beginning: a controller that trickles one for ever is no better than a silent one.
func (w *watch) silenceDeadline() time.Duration {
	if w.updateStartedAt > 0 {
		return min(w.lastActivityAt, w.updateStartedAt) + w.silenceTimeout
	}
	return w.lastActivityAt + w.silenceTimeout
}

// watchActivity handles a heartbeat or a fragment of an update.
func (s *Session) watchActivity(e WatchActivity) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	w.lastActivityAt = s.now
	if e.UpdateInProgress && w.updateStartedAt == 0 {
		w.updateStartedAt = nonZero(s.now)
	}
}

// nonZero is a time that is to be stored where 0 stands for unset: an event at time 0 counts as one at 1 ns.
func nonZero(t time.Duration) time.Duration { return max(t, 1) }
