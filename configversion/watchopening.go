package configversion

import "time"

// Opening of watches: without a live watch, the node opens one. If it receives no update within the open timeout, it
// opens another watch (a hedged watch) at another controller in parallel, and so on until one of them receives its
// first update. Jitter and backoff prevent a reconnect storm, in which nodes that start or lose a controller at the
// same time overload the remaining controllers, time out together and reconnect together. Such a storm is visible as
// controllers with many rejected watches and few sessions.

const (
	// InitialConnectJitter is the interval over which nodes that start together spread their first watches.
	InitialConnectJitter = time.Second
	// reconnectJitter is the interval over which nodes that lose a controller together spread their next watches.
	reconnectJitter = 400 * time.Millisecond

	// openTimeout is how long a node waits for the first update of a watch before it opens another one in parallel. See
	// watchsilence.go for the time budget.
	openTimeout = 600 * time.Millisecond
	// maxOpenTimeout is the longest open timeout. The timeout grows so that controllers that are slow because of
	// overload get less load instead of the same watches again. It is limited because a version has to arrive at the
	// node within 3 s after the controllers recover.
	maxOpenTimeout = 1500 * time.Millisecond
	// maxOpenTimeoutDoublings bounds the shift in currentOpenTimeout. The maximum is reached after fewer doublings.
	maxOpenTimeoutDoublings = 8
	// maxOpening is how many watches may be in state watchOpening at once; the oldest is closed before another one is
	// opened. It bounds the load that one node puts on controllers that accept connections but do not respond.
	maxOpening = 3

	// openInitialBackoff is the delay after the first of several consecutive failures.
	openInitialBackoff = 100 * time.Millisecond
	// openMaxBackoff is the longest delay. A partition may end at any moment, and a version has to arrive within 3 s
	// after that.
	openMaxBackoff = 1500 * time.Millisecond
)

// currentOpenTimeout returns the open timeout. It doubles after every maxOpening consecutive watches that exceeded it,
// up to maxOpenTimeout.
func (s *watchSet) currentOpenTimeout() time.Duration {
	doublings := min(s.openTimeoutCount/maxOpening, maxOpenTimeoutDoublings)
	return min(openTimeout<<doublings, maxOpenTimeout)
}

// connect opens watches while none is live: one as soon as nextOpenAt is reached, and another one whenever the newest
// exceeds the open timeout.
func (s *Session) connect() {
	set := &s.watches
	opening := set.opening()
	if len(opening) > 0 {
		youngest := opening[len(opening)-1]
		if deadline := youngest.openedAt + set.currentOpenTimeout(); s.now < deadline {
			s.wakeAt(deadline)
			return
		}
	}
	if s.now < set.nextOpenAt {
		s.wakeAt(set.nextOpenAt)
		return
	}
	if len(opening) > 0 {
		set.openTimeoutCount++
	}
	if len(opening) >= maxOpening {
		s.closeWatch(opening[0])
		set.avoid(opening[0].address, s.now, avoidAfterFailure)
	}
	w := s.openWatch(s.pickController())
	s.wakeAt(w.openedAt + set.currentOpenTimeout())
}

// probe opens a watch in addition to the live main watch, one at a time, and closes it if no update arrives within
// openTimeout. The node has a live watch, so it has no reason to wait longer for a better one.
func (s *Session) probe(address string) {
	set := &s.watches
	opening := set.opening()
	if len(opening) == 0 {
		w := s.openWatch(address)
		s.wakeAt(w.openedAt + openTimeout)
		return
	}
	w := opening[0]
	if deadline := w.openedAt + openTimeout; s.now < deadline {
		s.wakeAt(deadline)
		return
	}
	s.closeWatch(w)
	set.avoid(w.address, s.now, avoidAfterFailure)
	s.probeFailed(w)
}

// probeFailed handles a probe that failed. If it was for a migration, the node ignores migration requests for
// migrationRetryDelay; if it was part of a search, the next step of the search is delayed.
func (s *Session) probeFailed(w *watch) {
	set := &s.watches
	if w.address == set.migrateTo {
		set.migrateTo, set.migrationsAllowedAt = "", s.now+migrationRetryDelay
	}
	if set.nextSearchAt > 0 {
		set.nextSearchAt = s.now + s.drawSearchPause()
	}
}

// reopenForConfig closes a watch whose controller omitted a configuration that the node does not have, so that connect
// opens another one. The request of the new watch tells the controller which version the node has. Backoff limits the
// rate if a controller never sends the configuration.
func (s *Session) reopenForConfig(number uint64) {
	set := &s.watches
	w := set.find(number)
	if w == nil {
		return
	}
	s.closeWatch(w)
	set.consecutiveReopens++
	set.nextOpenAt = s.now + s.backoff(set.consecutiveReopens, openInitialBackoff, openMaxBackoff)
}
