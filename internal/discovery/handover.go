package discovery

import (
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// What a process of a node hands to its successor, and takes over from its predecessor.

// ResumeFrom makes Run begin from a version that another process of the node held. It must be called before Run.
func (s *Source) ResumeFrom(version int64) { s.version.Store(version) }

// Inherit takes over the age of the held list and the evidence for it from another process of the node. It must be called
// before Run.
func (s *Source) Inherit(age time.Duration, evidence endpointlease.Evidence) {
	s.track(func(t *endpointlease.Tracker) { t.Inherit(s.now(), age, evidence) })
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

// Lease returns the arguments of Inherit for a process that takes over the held list: its age, as far as it shortens the
// lease (endpointlease.NotificationDeadline minus the remaining time of the lease, and at least 0), and the evidence that it
// is current.
func (s *Source) Lease() (age time.Duration, evidence endpointlease.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	remaining := max(s.tracker.Expires()-now, 0)
	return max(endpointlease.NotificationDeadline-remaining, 0), s.tracker.Evidence(now)
}
