package configversion

import (
	"slices"
	"time"
)

// Search: if a node's main watch is live but does not deliver the newest versions, the node searches for a current
// controller, which is one that does. It probes the other controllers one at a time, in random order, and keeps the
// main watch in the meantime.
//
// Without the search, a node would stay with a controller that a partition has cut off from the leader. That controller
// still sends heartbeats, so that the watch is not silent, but it sends no new versions. The state is visible as
// `current=false` in the node's log line about its watch.

const (
	// searchDelay is how long a search waits before its first probe. Most elections end within this time, so that no
	// node has to change its controller.
	searchDelay = 500 * time.Millisecond
	// searchJitter is the interval over which the nodes of one controller spread the start of their searches. They all
	// notice the loss of the leader at the same time.
	searchJitter = 700 * time.Millisecond
	// searchInterval is the mean pause between two probes of a node; see drawSearchPause.
	searchInterval = 200 * time.Millisecond
	// searchRoundInterval is the minimum pause after all controllers were probed; a jitter of up to the same length is
	// added. If no controller has a leader, nodes must not load the controllers with watches during the election.
	searchRoundInterval = 5 * time.Second
)

// drawSearchPause draws the pause before the next probe: between one half and one and a half of searchInterval.
func (s *Session) drawSearchPause() time.Duration {
	return searchInterval/2 + s.jitter(searchInterval)
}

// searchForCurrentController starts the search, or carries out its next step if that is due.
func (s *Session) searchForCurrentController() {
	set := &s.watches
	if set.nextSearchAt == 0 {
		set.nextSearchAt = s.now + searchDelay + s.jitter(searchJitter)
		set.probedAddresses = nil
	}
	if opening := set.opening(); len(opening) > 0 {
		s.probe(opening[0].address)
		if len(set.opening()) > 0 {
			return
		}
	}
	if s.now < set.nextSearchAt {
		s.wakeAt(set.nextSearchAt)
		return
	}
	set.probedAddresses = append(set.probedAddresses, set.main.address)
	candidates := set.unprobedAddresses()
	if len(candidates) == 0 {
		set.probedAddresses = nil
		set.nextSearchAt = s.now + searchRoundInterval + s.jitter(searchRoundInterval)
		s.wakeAt(set.nextSearchAt)
		return
	}
	address := candidates[s.random.IntN(len(candidates))]
	set.probedAddresses = append(set.probedAddresses, address)
	set.nextSearchAt = s.now + s.drawSearchPause()
	s.probe(address)
}

// unprobedAddresses returns the controllers that have not been probed in this round of the search.
func (s *watchSet) unprobedAddresses() []string {
	return slices.DeleteFunc(s.addresses(), func(address string) bool {
		return slices.Contains(s.probedAddresses, address)
	})
}

func (s *watchSet) endSearch() { s.nextSearchAt, s.probedAddresses = 0, nil }
