package discovery

import (
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// track notes an event with the tracker, and passes the lease on if it has changed. Every event goes through here or
// through a method that does the same: the incident of 2 December 2026 was a lease that was known and passed to nobody.
func (s *Source) track(recordEvent func(*endpointlease.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordEvent(&s.tracker)
	s.notifyLease()
}

// notifyLease passes the lease on, if it has changed. The caller holds the lock.
func (s *Source) notifyLease() {
	expires := s.tracker.Expires()
	if s.RenewLease == nil || expires == s.notifiedExpiry {
		return
	}
	s.notifiedExpiry = expires
	s.RenewLease(engine.Lease{Until: s.epoch.Add(expires)})
}

// logLease logs changes of the lease and of discovery: an operator sees when a node began to reject requests, and why.
func (s *Source) logLease(state endpointlease.State, unavailable bool, found string) {
	if expired := state == endpointlease.Expired; expired != (s.loggedState == endpointlease.Expired) {
		if expired {
			s.log.Warn("endpoint list expired: requests are rejected until discovery answers", "version", s.Version(),
				"addr", s.Addr(), "open_streams", len(s.streams))
		} else {
			s.log.Info("endpoint list may be used again", "version", s.Version(), "list", state, "unavailable", unavailable, "found", found)
		}
	}
	if unavailable != s.loggedUnavailable {
		s.log.Warn("discovery", "unavailable", unavailable, "found", found, "addr", s.Addr(), "version", s.Version())
	}
	s.loggedState, s.loggedUnavailable = state, unavailable
}
