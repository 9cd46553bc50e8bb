package configversion

import (
	"slices"
	"time"
)

// Search: a node whose main watch is live but does not bring the newest versions looks for a controller that does. It
// probes the other controllers one after another, in random order, and keeps the main watch meanwhile.
//
// It guards against a node that stays with a controller which a partition has cut off from the leader: its heartbeats
// come, so that it is not silent, but new versions do not. It shows as `current=false` in the node's log line of its
// watch.

const (
	// searchDelay is how long a search waits before its first probe: most elections are over by then, and nothing has
	// to move.
	searchDelay = 500 * time.Millisecond
	// searchJitter is the span within which nodes of one controller begin to search: they all lose the leader at once.
	searchJitter = 700 * time.Millisecond
	// searchInterval is the mean pause between two probes of a node; see searchPause.
	searchInterval = 200 * time.Millisecond
	// searchRoundInterval is the pause after all controllers were probed, and as much again is drawn. If none of them
	// has a leader, nodes must not load them with watches while they elect one.
	searchRoundInterval = 5 * time.Second
)

// drawSearchPause draws the pause before the next probe, from half of searchInterval up to one and a half of it.
func (s *Session) drawSearchPause() time.Duration {
	return searchInterval/2 + s.jitter(searchInterval)
}

// searchForCurrentController begins the search or takes its next step, if it is due.
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

// unprobedAddresses are the controllers that were not probed in this round of the search.
func (s *watchSet) unprobedAddresses() []string {
	return slices.DeleteFunc(s.addresses(), func(address string) bool {
		return slices.Contains(s.probedAddresses, address)
	})
}

func (s *watchSet) endSearch() { s.nextSearchAt, s.probedAddresses = 0, nil }
