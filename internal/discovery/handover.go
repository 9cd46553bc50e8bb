package discovery

import (
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// What a process of a node hands to its successor, and takes over from its predecessor.

// ResumeFrom makes Run begin from a version that another process of the node held. It must be called before Run.
func (s *Source) ResumeFrom(version int64) { s.version.Store(version) }

// InheritAge gives the held list the age that it had in the process that handed it over. It must be called before Run.
// Without it, a restart would renew the lease of a list that discovery has not confirmed.
func (s *Source) InheritAge(age time.Duration) {
	s.track(func(t *endpointlease.Tracker) { t.InheritAge(s.now(), age) })
}

// ResumeVersion returns the version from which another process of the node may poll the current address. It is 0 if the
// held list came from an earlier address, because each discovery may number its versions independently.
func (s *Source) ResumeVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.AddressChangePending() {
		return 0
	}
	return s.Version()
}

// Age returns the age of the held list, that is the time since it was last known to be current, as far as it shortens the
// lease: endpointlease.NotificationDeadline minus the remaining time of the lease, and at least 0.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := max(s.tracker.Expires()-s.now(), 0)
	return max(endpointlease.NotificationDeadline-remaining, 0)
}
