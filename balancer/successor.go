// What the next process of a node needs to know, when it takes over from this one.

package balancer

import (
	"encoding/json"
	"fmt"
)

// SuccessorState returns what a Balancer in another process of the same node has to know: all that was
// learned of servers and classes, without the requests, which stay with this process.
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

// RestoreSuccessor returns a Balancer that knows what SuccessorState has of one with the same settings, and
// draws by a seed of its own. Errors are those of Restore.
func RestoreSuccessor(settings Settings, state []byte, seed uint64) (*Balancer, error) {
	b, err := Restore(settings, state)
	if err != nil {
		return nil, err
	}
	b.rngSource.Seed(seed, rngStream)
	return b, nil
}

// dropRequests leaves out requests and all that belongs to them or to this process alone.
func (s *savedBalancer) dropRequests(classes int) {
	s.Requests = nil
	s.KeyQueues = nil
	s.PreviousClasses = nil
	s.SettingsVersion = 0
	s.FaultInjectionsEnded = false
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
