package configversion

import "time"

// Opening of watches: without a live watch the node opens one, and after the open timeout another one beside it at
// another controller (a hedged watch), until one of them brings its first update. Jitter and backoff guard against a
// reconnect storm: nodes that start, or lose a controller, at the same time would overload those that are left, time
// out together and come back together. It shows as controllers with many rejected watches and few sessions.

const (
	// InitialConnectJitter is the span within which nodes that start together open their first watch.
	InitialConnectJitter = time.Second
	// reconnectJitter is the span within which nodes that lose a controller together open their next watch.
	reconnectJitter = 400 * time.Millisecond

	// openTimeout is how long a watch may take until its first update before another one is opened beside it. See
	// watchsilence.go for the time budget.
	openTimeout = 600 * time.Millisecond
	// maxOpenTimeout is the longest open timeout. Controllers that are slow because they are overloaded must get less
	// load, not the same watches again; but a version has to arrive within 3 s of the moment when they recover.
	maxOpenTimeout = 1500 * time.Millisecond
	// maxOpenTimeoutDoublings bounds the shift in currentOpenTimeout; the maximum is reached long before.
	maxOpenTimeoutDoublings = 8
	// maxOpening is how many watches are in state watchOpening at once; the oldest is closed for a newer one. It bounds
	// what one node asks of controllers that accept connections and do not answer.
	maxOpening = 3

	// openInitialBackoff is the delay after the first failure in a row.
	openInitialBackoff = 100 * time.Millisecond
	// openMaxBackoff is the longest delay. A partition may end at any moment, and a version has to arrive within 3 s of
	// that.
	openMaxBackoff = 1500 * time.Millisecond
)

// currentOpenTimeout is the open timeout: it doubles after each maxOpening watches in a row that exceeded it, up to
// maxOpenTimeout.
func (s *watchSet) currentOpenTimeout() time.Duration {
	doublings := min(s.openTimeouts/maxOpening, maxOpenTimeoutDoublings)
	return min(openTimeout<<doublings, maxOpenTimeout)
}

// connect opens a watch while none is live: the first after nextOpenAt, and another one whenever the youngest exceeds
// the open timeout.
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
		set.openTimeouts++
	}
	if len(opening) >= maxOpening {
		s.closeWatch(opening[0])
		set.avoid(opening[0].address, s.now, avoidAfterFailure)
	}
	w := s.openWatch(s.pickController())
	s.wakeAt(w.openedAt + set.currentOpenTimeout())
}

// probe opens a watch beside the live main watch, one at a time, and closes it after openTimeout without an update. The
// node has a watch, so that there is no reason to wait longer for a better one.
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

// probeFailed postpones the migration, or the next step of the search, that a failed watch was opened for.
func (s *Session) probeFailed(w *watch) {
	set := &s.watches
	if w.address == set.migrateTo {
		set.migrateTo, set.migrationsAllowedAt = "", s.now+migrationRetryDelay
	}
	if set.nextSearchAt > 0 {
		set.nextSearchAt = s.now + s.drawSearchPause()
	}
}

// reopenForConfig closes a watch whose controller left out a configuration that the node does not have, and lets
// connect open another one: its request says what the node has. The backoff guards against a controller that never
// sends it.
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
