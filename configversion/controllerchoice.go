package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Controller choice: which controller the node watches. While no watch is live, pickController chooses the controller
// for the next watch. When a watch receives its first update, chooseMain decides which watch to keep.
//
// The nearest controllers are preferred, so that a node depends on as little of the network as possible. Controllers
// that failed recently are avoided, so that a node finds a working one within the time budget (see watchsilence.go).

const (
	// avoidAfterFailure is how long a controller is avoided after its watch failed or timed out. It equals the time
	// within which a version has to be in force everywhere.
	avoidAfterFailure = 3 * time.Second
	// avoidAfterRejection is how long a controller without capacity is avoided. It is shorter, because migrating
	// sessions soon free capacity.
	avoidAfterRejection = 2 * time.Second
	// maxAvoided limits the number of avoided addresses in memory. When it is reached, all of them are removed.
	maxAvoided = 64
	// redirectJitter is the interval over which nodes that were rejected together spread their redirected watches. It
	// is short because the redirecting controller has already distributed the nodes over the other controllers.
	redirectJitter = 50 * time.Millisecond
)

// chooseMain handles the first update of a watch. Either the watch becomes the main watch and all others are closed, or
// it is closed itself. It becomes the main watch if no main watch is live, if it delivers the newest versions and the
// main watch does not, or if it is the target of a migration and no worse than the main watch.
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
	set.consecutiveFailures, set.openTimeoutCount, set.consecutiveRejections, set.redirects = 0, 0, 0, nil
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
	s.emit(ControllerChanged{w.address, w.hasLeaderContact})
}

// isBetter reports whether a watch is to replace a live main watch.
func isBetter(w, main *watch, isMigrationTarget bool) bool {
	if w.deliversNewest() == main.deliversNewest() {
		return isMigrationTarget
	}
	return w.deliversNewest()
}

// watchRejected handles a watch that a controller did not admit. A controller without capacity names alternatives,
// which the node tries next; any other error counts as a failure.
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

// pickController returns the address for the next watch while none is live. It prefers the next redirect of the last
// rejection, then one of the nearest controllers that are not avoided, chosen uniformly at random. If there is no such
// controller, it chooses among all known controllers.
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

// nextRedirect removes and returns the next redirect to which no watch is open.
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

// nearestUsable returns the nearest controllers that are not avoided and to which no watch is open.
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

// avoid excludes an address from the choice for a duration, as long as other controllers are available.
func (s *watchSet) avoid(address string, now, duration time.Duration) {
	if len(s.avoidedUntil) >= maxAvoided {
		clear(s.avoidedUntil)
	}
	s.avoidedUntil[address] = now + duration
}

// addresses returns the addresses of all controllers that the node knows: first those named by the cluster, then the
// other configured ones.
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

// distance is how far a controller is from the node; the nearest has the least value.
type distance int

const (
	distanceSameZone    distance = iota // in the node's region and zone
	distanceSameRegion                  // in another zone of the node's region
	distanceOtherRegion                 // in another region, or the region of the node or of the controller is unknown
	distanceUnknown                     // configured, but not named by the cluster: its location is unknown
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
