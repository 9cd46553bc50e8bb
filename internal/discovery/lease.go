package discovery

import (
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// track records an event in the tracker, and passes the lease to RenewLease if it has changed. Every event must be recorded
// by track or by a method that also calls notifyLease: in the incident of 2 December 2026, a changed lease was not passed
// on.
func (s *Source) track(recordEvent func(*endpointlease.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordEvent(&s.tracker)
	s.notifyLease()
}

// notifyLease passes the lease to RenewLease if it has changed. The caller holds the lock.
func (s *Source) notifyLease() {
	expires := s.tracker.Expires()
	if s.RenewLease == nil || expires == s.notifiedExpiry {
		return
	}
	s.notifiedExpiry = expires
	s.RenewLease(engine.Lease{Until: s.epoch.Add(expires)})
}

// logLease logs changes of the lease and of discovery's availability, so that an operator sees when a node began to
// reject requests, and why.
//
// The line on the availability has what the lease rests on: whether discovery has confirmed the list to this process
// (list_confirmed), how long ago that was, or the age that the list of a new process counts as (list_age), and how long the
// list may still be used (lease_left).
func (s *Source) logLease(state endpointlease.State, unavailable bool, found string) {
	s.mu.Lock()
	confirmedAt, confirmed := s.tracker.ListConfirmed()
	age, left := s.now()-confirmedAt, s.tracker.Expires()-s.now()
	s.mu.Unlock()
	if expired := state == endpointlease.Expired; expired != (s.loggedState == endpointlease.Expired) {
		if expired {
			s.log.Warn("endpoint list expired: requests are rejected until discovery answers", "version", s.Version(),
				"addr", s.Addr(), "open_streams", len(s.streams))
		} else {
			s.log.Info("endpoint list is usable again", "version", s.Version(), "list", state, "unavailable", unavailable, "found", found)
		}
	}
	if unavailable != s.loggedUnavailable {
		s.log.Warn("discovery availability changed", "unavailable", unavailable, "found", found, "addr", s.Addr(), "version", s.Version(),
			"list_confirmed", confirmed, "list_age", age, "lease_left", left)
	}
	s.loggedState, s.loggedUnavailable = state, unavailable
}
