package configversion

import (
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Silence: if a controller hangs, or its network drops packets, its watches stay open. Controllers therefore send a
// heartbeat every configapi.HeartbeatInterval, and a watch that receives no byte within its silence timeout counts as
// silent. The node then connects to another controller, and keeps the silent watch until another one receives an
// update.
//
// The time budget: a version has to be in force everywhere within 3 s of its publication, even if a controller fails
// right before it. A node detects silence within configapi.SilenceTimeout (1.2 s). It then waits up to openTimeout
// (0.6 s) for the first new watch, and as long again for the second. This leaves 0.6 s to apply the version.

// silenceJitter is the interval over which the nodes of a controller spread the moment when they detect its silence. An
// update to all nodes restarts all heartbeat intervals at the same time. If the controller failed right after it, all
// its nodes would connect to the other controllers at once without this jitter.
const silenceJitter = 200 * time.Millisecond

// drawSilenceTimeout draws the time without a byte after which a watch counts as silent.
func (s *Session) drawSilenceTimeout() time.Duration {
	return configapi.SilenceTimeout - s.jitter(silenceJitter)
}

// silenceDeadline returns when the watch becomes silent unless another byte arrives. While an update is incomplete, the
// silence timeout counts from the moment when the update began to arrive: a controller that sends an update byte by
// byte and never completes it is no better than a silent one.
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

// nonZero returns a time for a field in which 0 means unset: time 0 becomes 1 ns.
func nonZero(t time.Duration) time.Duration { return max(t, 1) }
