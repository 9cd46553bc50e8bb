package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Controller choice: which controller the node watches. Without a live watch, pickController says where the next one is
// opened; among watches that bring updates, chooseMain says which one stays.
//
// Near controllers come first, so that a node depends on as little of the network as it can. Controllers that failed
// lately are avoided, so that a node finds one that works within the time budget (see watchsilence.go).

const (
	// avoidAfterFailure is how long a controller whose watch failed or timed out is not chosen while there are others:
	// as long as a version may take to be in force everywhere.
	avoidAfterFailure = 3 * time.Second
	// avoidAfterRejection is the same for a controller without capacity: sessions that migrate free some soon.
	avoidAfterRejection = 2 * time.Second
	// maxAvoided bounds the memory of avoided addresses; beyond it all are forgotten.
	maxAvoided = 64
	// redirectJitter is the span within which nodes that were rejected together follow their redirects. It is short:
	// the controller that redirected them has spread them over the others already.
	redirectJitter = 50 * time.Millisecond
)

// chooseMain decides about a watch that brought its first update: it becomes the main watch, and all others are closed,
// or it is closed. It becomes the main watch if there is no live one, if it brings the newest versions and the main
// watch does not, or if the controller asked the node to migrate there and it is no worse.
func (s *Session) chooseMain(w *watch) {
	set := &s.watches
	isTarget := w.address == set.migrateTo
	if isTarget {
		set.migrateTo = ""
	}
	if set.mainIsLive(s.now) && !isBetter(w, set.main, isTarget) {
		s.closeWatch(w)
		return
	}
	set.main = w
	set.consecutiveFailures, set.openTimeouts, set.consecutiveRejections, set.redirects = 0, 0, 0, nil
	delete(set.avoidedUntil, w.address)
	if w.deliversNewest() {
		set.endSearch()
	}
	for _, other := range slices.Clone(set.open) {
		if other != w {
			s.closeWatch(other)
		}
	}
	s.ackQueue.retryAt = 0
	s.emit(ControllerChanged{w.address, w.current})
}

// isBetter reports whether a watch replaces a live main watch.
func isBetter(w, main *watch, isMigrationTarget bool) bool {
	if w.deliversNewest() == main.deliversNewest() {
		return isMigrationTarget
	}
	return w.deliversNewest()
}

// watchRejected handles a watch that a controller did not admit. One without capacity names alternatives, which are
// tried next; any other error counts as a failure.
func (s *Session) watchRejected(e WatchRejected) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	if e.Err.Kind != configapi.ErrorNoCapacity {
		s.watchEnded(e.Watch)
		return
	}
	set := &s.watches
	set.remove(w)
	set.avoid(w.address, s.now, avoidAfterRejection)
	set.consecutiveRejections++
	set.consecutiveFailures++
	set.redirects = nil
	for _, alternative := range e.Err.Alternatives {
		if s.now >= set.avoidedUntil[alternative.Address] {
			set.redirects = append(set.redirects, alternative.Address)
		}
	}
	set.nextOpenAt = s.now + s.backoff(set.consecutiveFailures, openInitialBackoff, openMaxBackoff)
	if len(set.redirects) > 0 {
		set.nextOpenAt = s.now + s.jitter(redirectJitter)
	}
	s.probeFailed(w)
}

// pickController is the address at which the next watch is opened while none is live: the next redirect of the last
// rejection; or one of the nearest controllers that are not avoided, drawn evenly; or any, if all are avoided.
func (s *Session) pickController() string {
	set := &s.watches
	if address, ok := set.nextRedirect(); ok {
		return address
	}
	nearest := set.nearestUsable(s.now)
	if len(nearest) == 0 {
		nearest = set.addresses()
	}
	return nearest[s.random.IntN(len(nearest))]
}

// nextRedirect takes the next redirect at which no watch is open.
func (s *watchSet) nextRedirect() (address string, ok bool) {
	for len(s.redirects) > 0 {
		address = s.redirects[0]
		s.redirects = s.redirects[1:]
		if !s.isOpenAt(address) {
			return address, true
		}
	}
	return "", false
}

// nearestUsable are the addresses of the least distance at which no watch is open, of those that are not avoided.
func (s *watchSet) nearestUsable(now time.Duration) (nearest []string) {
	leastDistance := distanceUnknown + 1
	for _, address := range s.addresses() {
		if s.isOpenAt(address) || now < s.avoidedUntil[address] {
			continue
		}
		distance := s.distanceTo(address)
		if distance < leastDistance {
			leastDistance, nearest = distance, nil
		}
		if distance == leastDistance {
			nearest = append(nearest, address)
		}
	}
	return nearest
}

// avoid makes an address no choice for a time, while there are others.
func (s *watchSet) avoid(address string, now, duration time.Duration) {
	if len(s.avoidedUntil) >= maxAvoided {
		clear(s.avoidedUntil)
	}
	s.avoidedUntil[address] = now + duration
}

// addresses are all controllers that the node knows, those that the cluster named first.
func (s *watchSet) addresses() (addresses []string) {
	for _, controller := range s.clusterControllers {
		addresses = append(addresses, controller.Address)
	}
	for _, address := range s.configuredAddresses {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// distance is how far a controller is from the node; the least comes first.
type distance int

const (
	distanceSameZone    distance = iota // in the node's region and zone
	distanceSameRegion                  // in another zone of the node's region
	distanceOtherRegion                 // in another region, or the region of one of them is not known
	distanceUnknown                     // configured, but not named by the cluster: its location is not known
)

func (s *watchSet) distanceTo(address string) distance {
	for _, controller := range s.clusterControllers {
		switch {
		case controller.Address != address:
		case s.location.Region != controller.Region || controller.Region == "":
			return distanceOtherRegion
		case s.location.Zone != controller.Zone || controller.Zone == "":
			return distanceSameRegion
		default:
			return distanceSameZone
		}
	}
	return distanceUnknown
}
