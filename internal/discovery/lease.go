package discovery

import (
	"time"

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

// leaseLogStatus is what logLease logs.
type leaseLogStatus struct {
	state         endpointlease.State
	unavailable   bool
	found         string // the availability that was found
	doubt         endpointlease.Doubt
	listConfirmed bool          // discovery has confirmed the list to this process
	listAge       time.Duration // since the list was confirmed, or the age that the list of a new process counts as
	leaseLeft     time.Duration // how long the list may still be used; negative after the end of the lease
}

// leaseLogStatus returns what logLease logs. The caller holds the lock.
func (s *Source) leaseLogStatus(lease endpointlease.LeaseStatus, now time.Duration) leaseLogStatus {
	confirmedAt, confirmed := s.tracker.ListConfirmed()
	return leaseLogStatus{state: lease.State, unavailable: s.tracker.Unavailable(), found: s.tracker.AvailabilityName(),
		doubt: s.tracker.Doubt(), listConfirmed: confirmed, listAge: now - confirmedAt, leaseLeft: lease.Expires - now}
}

// logLease logs changes of the lease and of discovery's availability, so that an operator sees when a node began to
// reject requests, and why. Lines on the availability have what the lease rests on. A doubt is logged if it keeps the present
// outage from extending the lease.
func (s *Source) logLease(now leaseLogStatus) {
	if expired := now.state == endpointlease.Expired; expired != (s.loggedState == endpointlease.Expired) {
		if expired {
			s.log.Warn("endpoint list expired: requests are rejected until discovery answers", "version", s.Version(),
				"addr", s.Addr(), "open_streams", len(s.streams), "doubt", now.doubt)
		} else {
			s.log.Info("endpoint list is usable again", "version", s.Version(), "list", now.state, "unavailable", now.unavailable, "found", now.found)
		}
	}
	doubt := endpointlease.NoDoubt
	if now.unavailable {
		doubt = now.doubt
	}
	if now.unavailable != s.loggedUnavailable || doubt != s.loggedDoubt {
		s.log.Warn("discovery availability changed", "unavailable", now.unavailable, "found", now.found, "addr", s.Addr(), "version", s.Version(),
			"extends_lease", now.unavailable && doubt == endpointlease.NoDoubt, "doubt", doubt, "list_confirmed", now.listConfirmed,
			"list_age", now.listAge, "lease_left", now.leaseLeft)
	}
	s.loggedState, s.loggedUnavailable, s.loggedDoubt = now.state, now.unavailable, doubt
}
