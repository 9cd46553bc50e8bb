package discovery

import (
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// What one process of a node hands to the next, and takes from the one before.

// ResumeFrom has Run begin from a version that another process of the node held. It must be called before Run.
func (s *Source) ResumeFrom(version int64) { s.version.Store(version) }

// InheritAge has the list held be as old as it was in the process that handed it over. It must be called before Run.
// Without it a restart would renew the lease of a list that nobody has confirmed.
func (s *Source) InheritAge(age time.Duration) {
	s.track(func(t *endpointlease.Tracker) { t.InheritAge(s.now(), age) })
}

// ResumeVersion is the version from which another process of the node may poll at the present address; 0 where the list
// held came from an earlier one, for each discovery may count its versions in its own way.
func (s *Source) ResumeVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.AddressChangePending() {
		return 0
	}
	return s.Version()
}

// Age is how long ago the list held was last known to be all that discovery had, as far as that shortens its lease: from 0
// to endpointlease.NotificationDeadline.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := max(s.tracker.Expires()-s.now(), 0)
	return max(endpointlease.NotificationDeadline-remaining, 0)
}
