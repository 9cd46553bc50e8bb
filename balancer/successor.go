// Successor state: what the next process of a node needs to know when it takes over from this one.

package balancer

import (
	"encoding/json"
	"fmt"
)

// SuccessorState returns the state for a Balancer in the successor process of the same node, as JSON: all
// that was learned of servers and classes, without the requests, which stay with this process.
func (b *Balancer) SuccessorState() ([]byte, error) {
	saved, err := newCheckpointWriter(b).write()
	if err != nil {
		return nil, fmt.Errorf("successor state: %w", err)
	}
	saved.dropRequests(len(b.classList))
	text, err := json.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("successor state: %w", err)
	}
	return text, nil
}

// RestoreSuccessor returns a Balancer with a state from SuccessorState of a Balancer with the same settings.
// Its draws follow from the given seed, not from that state. The errors are those of Restore.
func RestoreSuccessor(settings Settings, state []byte, seed uint64) (*Balancer, error) {
	b, err := Restore(settings, state)
	if err != nil {
		return nil, err
	}
	b.rngSource.Seed(seed, rngStream)
	return b, nil
}

// dropRequests removes the requests and everything that belongs to them or only to this process.
func (s *savedBalancer) dropRequests(classes int) {
	s.Requests = nil
	s.KeyQueues = nil
	s.PreviousClasses = nil
	s.SettingsVersion = 0
	s.FaultInjectionsEnded = false
	s.AnswerBy = 0
	s.LeaseExpired = false
	s.NextPoll = 0
	s.Classes = s.Classes[:classes]
	s.Servers = s.Servers[:s.KnownServers]
	for i := range s.Servers {
		s.Servers[i].InFlight = nil
	}
	for i := range s.Pools {
		s.Pools[i].Queued, s.Pools[i].InFlight = nil, 0
	}
	if s.FaultInjector != nil {
		s.FaultInjector.Delayed = nil
	}
}
