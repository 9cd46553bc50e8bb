package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Timings of watches. A version has to be in force everywhere within 3 s of its publication, also where a controller
// falls silent right before: that is noticed within configapi.SilenceTimeout (1.2 s), the first watch beside it is given
// openTimeout (0.6 s) and the second as long again, which leaves 0.6 s.
const (
	// silenceJitter is by how much nodes notice the same silence apart: a publish has all heartbeats begin anew at once.
	silenceJitter = 200 * time.Millisecond
	// InitialConnectJitter is the time within which nodes that start together open their first watch.
	InitialConnectJitter = time.Second
	// reconnectJitter is the time within which nodes that lose a controller together open their next watch.
	reconnectJitter = 400 * time.Millisecond
	// redirectJitter is the time within which nodes that were refused together go where they were sent.
	redirectJitter = 50 * time.Millisecond

	// openTimeout is how long a watch may take until its first update before another is opened beside it. It doubles
	// after each maxOpening watches that took longer, up to maxOpenTimeout.
	openTimeout    = 600 * time.Millisecond
	maxOpenTimeout = 1500 * time.Millisecond
	// maxOpening is how many watches wait for their first update at once; the oldest gives way.
	maxOpening = 3

	// After failures in a row. The longest is within the 3 s too: what cut a node off may end at any moment.
	openInitialBackoff = 100 * time.Millisecond
	openMaxBackoff     = 1500 * time.Millisecond
	// avoidAfterFailure and avoidAfterRejection are how long a controller that failed or was full is not the first choice.
	avoidAfterFailure   = 3 * time.Second
	avoidAfterRejection = 2 * time.Second

	// A node whose controller is not in touch with a leader looks for one that is. It waits first, for an election is
	// over by then as a rule, and all nodes would look at once; then it tries each of the others, and waits again.
	searchDelay         = 500 * time.Millisecond
	searchJitter        = 700 * time.Millisecond
	searchInterval      = 200 * time.Millisecond
	searchRoundInterval = 5 * time.Second

	// migrationRetryDelay is how long a request to move is passed over after one that failed.
	migrationRetryDelay = 5 * time.Second
)

// watchID is one call for updates.
type watch struct {
	id             uint64
	address        string
	openedAt       time.Duration
	silenceTimeout time.Duration // after so long without a byte it is silent
	lastActivity   time.Duration // the last byte
	updateBegan    time.Duration // when the update that is arriving began; 0: none is
	live           bool          // its first update has come
	current        bool          // as its last update says
	foreign        bool          // its last update was of another cluster
	behind         bool          // its last update was older than what the node has
}

// bringsNewest says that a watch brings the node's versions as soon as they are there.
func (w *watch) bringsNewest() bool { return w.current && !w.foreign && !w.behind }

// silenceDeadline is when the watch counts as silent.
func (w *watch) silenceDeadline() time.Duration {
	if w.updateBegan > 0 {
		return min(w.lastActivity, w.updateBegan) + w.silenceTimeout
	}
	return w.lastActivity + w.silenceTimeout
}

// watchSet has the watches of a session. One of them, main, is the one that the node goes by; another is opened beside
// it where it is silent, is not current, or asks the node to move.
type watchSet struct {
	location            configapi.Endpoint // the node's own, without an address
	configuredAddresses []string           // addresses in the settings
	clusterEndpoints    []configapi.Endpoint
	open                []*watch // the oldest first
	main                *watch   // nil: none
	lastID              uint64

	nextOpenAt            time.Duration            // no watch is opened before, while none speaks
	consecutiveFailures   int                      // since a watch spoke
	consecutiveReopens    int                      // watches that were opened anew for a configuration that did not come
	slowOpens             int                      // watches that took longer than openTimeout, since one spoke
	consecutiveRejections uint64                   // refusals since a watch spoke
	avoidedUntil          map[string]time.Duration // addresses, until when
	redirects             []string                 // where the last refusal sent the node

	migrateTo           string // "": nowhere
	migrationsAllowedAt time.Duration
	nextSearchAt        time.Duration // 0: no search
	searchedAddresses   []string
}

func newWatchSet(options SessionOptions) watchSet {
	return watchSet{location: configapi.Endpoint{Region: options.Region, Zone: options.Zone}, configuredAddresses: slices.Clone(options.Controllers),
		clusterEndpoints: slices.Clone(options.LastKnownGood.Controllers), avoidedUntil: map[string]time.Duration{}}
}

// peerIndex returns an open watch; nil: there is none of this number.
func (s *watchSet) find(id uint64) *watch {
	for _, w := range s.open {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (s *watchSet) isOpenAt(address string) bool {
	return slices.ContainsFunc(s.open, func(w *watch) bool { return w.address == address })
}

// opening are the watches whose first update has not come, the oldest first.
func (s *watchSet) opening() (opening []*watch) {
	for _, w := range s.open {
		if !w.live {
			opening = append(opening, w)
		}
	}
	return opening
}

// currentOpenTimeout is how long a watch may take until its first update.
func (s *watchSet) currentOpenTimeout() time.Duration {
	const maxDoublings = 8
	return min(openTimeout<<min(s.slowOpens/maxOpening, maxDoublings), maxOpenTimeout)
}

func (s *Session) watchActivity(e WatchActivity) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	w.lastActivity = s.now
	if e.UpdateInProgress && w.updateBegan == 0 {
		w.updateBegan = max(s.now, 1)
	}
}

func (s *Session) watchUpdated(e WatchUpdated) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	u := e.Update
	wasCurrent := w.current
	w.lastActivity, w.updateBegan = s.now, 0
	w.current, w.foreign, w.behind = u.Current, !s.versions.follows(u), s.versions.behind(u)
	if !w.foreign && len(u.Controllers) > 0 {
		s.watches.clusterEndpoints = slices.Clone(u.Controllers)
	}
	if !w.live {
		w.live = true
		s.firstUpdateReceived(w)
	} else if w == s.watches.main && w.current != wasCurrent {
		s.emit(ControllerChanged{w.address, w.current})
	}
	s.considerUpdate(w, u)
	if w == s.watches.main && u.MigrateTo != "" {
		s.migrationRequested(u.MigrateTo)
	}
}

// firstUpdateReceived has the node go by a watch that speaks for the first time, or end it.
func (s *Session) firstUpdateReceived(w *watch) {
	set := &s.watches
	main := set.main
	better := main == nil || s.now >= main.silenceDeadline() || w.bringsNewest() && !main.bringsNewest() ||
		w.address == set.migrateTo && (w.bringsNewest() || !main.bringsNewest())
	if w.address == set.migrateTo {
		set.migrateTo = ""
	}
	if !better {
		s.closeWatch(w)
		return
	}
	set.main = w
	set.consecutiveFailures, set.slowOpens, set.consecutiveRejections, set.redirects = 0, 0, 0, nil
	delete(set.avoidedUntil, w.address)
	if w.bringsNewest() {
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
	set.avoidFor(w.address, s.now, avoidAfterRejection)
	set.consecutiveRejections++
	set.consecutiveFailures++
	set.redirects = nil
	for _, elsewhere := range e.Err.Alternatives {
		if s.now >= set.avoidedUntil[elsewhere.Address] {
			set.redirects = append(set.redirects, elsewhere.Address)
		}
	}
	set.nextOpenAt = s.now + s.backoff(set.consecutiveFailures, openInitialBackoff, openMaxBackoff)
	if len(set.redirects) > 0 {
		set.nextOpenAt = s.now + s.jitter(redirectJitter)
	}
	s.candidateFailed(w)
}

// watchEnded takes the end of a watch that the session did not close.
func (s *Session) watchEnded(id uint64) {
	set := &s.watches
	w := set.find(id)
	if w == nil {
		return
	}
	set.remove(w)
	set.avoidFor(w.address, s.now, avoidAfterFailure)
	if w.live { // it was main
		set.nextOpenAt = s.now + s.jitter(reconnectJitter)
		s.emit(ControllerChanged{})
		return
	}
	set.consecutiveFailures++
	set.nextOpenAt = s.now + s.backoff(set.consecutiveFailures, openInitialBackoff, openMaxBackoff)
	s.candidateFailed(w)
}

// candidateFailed notes that a watch which was to be better than main is not to be had.
func (s *Session) candidateFailed(w *watch) {
	set := &s.watches
	if w.address == set.migrateTo {
		set.migrateTo, set.migrationsAllowedAt = "", s.now+migrationRetryDelay
	}
	if set.nextSearchAt > 0 {
		set.nextSearchAt = s.now + searchInterval/2 + s.jitter(searchInterval)
	}
}

// reopenForConfig ends a watch of which the controller takes something for known that is not, and opens another one.
func (s *Session) reopenForConfig(id uint64) {
	set := &s.watches
	w := set.find(id)
	if w == nil {
		return
	}
	s.closeWatch(w)
	set.consecutiveReopens++
	set.nextOpenAt = s.now + s.backoff(set.consecutiveReopens, openInitialBackoff, openMaxBackoff)
}

func (s *Session) migrationRequested(address string) {
	set := &s.watches
	if s.now < set.migrationsAllowedAt || set.isOpenAt(address) || s.now < set.avoidedUntil[address] {
		return
	}
	set.migrateTo = address
}

// reconcileWatches opens and closes what is wanted now, and says when to look again.
func (s *Session) reconcileWatches() {
	set := &s.watches
	main := set.main
	if main == nil || s.now >= main.silenceDeadline() {
		set.migrateTo = ""
		set.endSearch()
		s.connect()
		return
	}
	s.wakeAt(main.silenceDeadline())
	switch {
	case set.migrateTo != "":
		set.endSearch()
		s.closeOpeningExcept(set.migrateTo)
		s.probeBesideMain(set.migrateTo)
	case !main.bringsNewest():
		s.searchForCurrent()
	default:
		set.endSearch()
		s.closeOpeningExcept("")
	}
}

// connect opens a watch while none speaks: one, then another beside each that takes too long.
func (s *Session) connect() {
	set := &s.watches
	opening := set.opening()
	if len(opening) > 0 {
		youngest := opening[len(opening)-1]
		if late := youngest.openedAt + set.currentOpenTimeout(); s.now < late {
			s.wakeAt(late)
			return
		}
	}
	if s.now < set.nextOpenAt {
		s.wakeAt(set.nextOpenAt)
		return
	}
	if len(opening) > 0 {
		set.slowOpens++
	}
	if len(opening) >= maxOpening {
		s.closeWatch(opening[0])
		set.avoidFor(opening[0].address, s.now, avoidAfterFailure)
	}
	w := s.openWatch(s.pickController())
	s.wakeAt(w.openedAt + set.currentOpenTimeout())
}

// probeBesideMain opens a watch beside main at one address, and gives it up if it takes too long.
func (s *Session) probeBesideMain(address string) {
	set := &s.watches
	opening := set.opening()
	if len(opening) == 0 {
		w := s.openWatch(address)
		s.wakeAt(w.openedAt + openTimeout)
		return
	}
	w := opening[0]
	if late := w.openedAt + openTimeout; s.now < late {
		s.wakeAt(late)
		return
	}
	s.closeWatch(w)
	set.avoidFor(w.address, s.now, avoidAfterFailure)
	s.candidateFailed(w)
}

// searchForCurrent looks for a controller that is current, one after another.
func (s *Session) searchForCurrent() {
	set := &s.watches
	if set.nextSearchAt == 0 {
		set.nextSearchAt = s.now + searchDelay + s.jitter(searchJitter)
		set.searchedAddresses = nil
	}
	if opening := set.opening(); len(opening) > 0 {
		s.probeBesideMain(opening[0].address)
		if len(set.opening()) > 0 {
			return
		}
	}
	if s.now < set.nextSearchAt {
		s.wakeAt(set.nextSearchAt)
		return
	}
	set.searchedAddresses = append(set.searchedAddresses, set.main.address)
	candidates := slices.DeleteFunc(set.addresses(), func(address string) bool { return slices.Contains(set.searchedAddresses, address) })
	if len(candidates) == 0 {
		set.searchedAddresses = nil
		set.nextSearchAt = s.now + searchRoundInterval + s.jitter(searchRoundInterval)
		s.wakeAt(set.nextSearchAt)
		return
	}
	address := candidates[s.random.IntN(len(candidates))]
	set.searchedAddresses = append(set.searchedAddresses, address)
	set.nextSearchAt = s.now + searchInterval/2 + s.jitter(searchInterval)
	s.probeBesideMain(address)
}

func (s *watchSet) endSearch() { s.nextSearchAt, s.searchedAddresses = 0, nil }

// openWatch opens a watch at an address.
func (s *Session) openWatch(address string) *watch {
	set := &s.watches
	v := &s.versions
	set.lastID++
	w := &watch{id: set.lastID, address: address, openedAt: s.now, lastActivity: s.now,
		silenceTimeout: configapi.SilenceTimeout - s.jitter(silenceJitter)}
	set.open = append(set.open, w)
	request := configapi.WatchRequest{Node: s.options.Node, Service: s.options.Service, Region: s.options.Region, Zone: s.options.Zone,
		StartedMS: s.options.StartedMS, Session: w.id, Cluster: v.cluster, LastDecided: v.lastDecided, Applied: v.applied, WatchRejections: set.consecutiveRejections}
	if v.rejection != nil {
		request.LastRejected, request.RejectionReason = true, v.rejection.Error()
	}
	s.emit(OpenWatch{w.id, address, request})
	return w
}

// closeWatch ends a watch.
func (s *Session) closeWatch(w *watch) {
	s.watches.remove(w)
	s.emit(CloseWatch{w.id})
}

// closeOpeningExcept ends the watches that have not spoken, but for one at an address.
func (s *Session) closeOpeningExcept(exceptAddress string) {
	for _, w := range s.watches.opening() {
		if w.address != exceptAddress {
			s.closeWatch(w)
		}
	}
}

func (s *watchSet) remove(w *watch) {
	s.open = slices.DeleteFunc(s.open, func(other *watch) bool { return other == w })
	if s.main == w {
		s.main = nil
	}
}

// avoidFor has an address be no first choice for a while.
func (s *watchSet) avoidFor(address string, now, duration time.Duration) {
	const maxAvoided = 64
	if len(s.avoidedUntil) >= maxAvoided {
		clear(s.avoidedUntil)
	}
	s.avoidedUntil[address] = now + duration
}

// addresses are all that the node knows, those of the cluster first.
func (s *watchSet) addresses() (addresses []string) {
	for _, e := range s.clusterEndpoints {
		addresses = append(addresses, e.Address)
	}
	for _, address := range s.configuredAddresses {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Distances of controllers.
const (
	sameZone = iota
	sameRegion
	otherRegion
	unlisted // in the settings, and not among the cluster's
)

func (s *watchSet) distanceTo(address string) int {
	for _, e := range s.clusterEndpoints {
		switch {
		case e.Address != address:
		case s.location.Region != e.Region || e.Region == "":
			return otherRegion
		case s.location.Zone != e.Zone || e.Zone == "":
			return sameRegion
		default:
			return sameZone
		}
	}
	return unlisted
}

// pickController is where the next watch is opened while none speaks: where the last refusal sent the node, or at one of the
// nearest controllers that have not failed lately, or at any.
func (s *Session) pickController() string {
	set := &s.watches
	for len(set.redirects) > 0 {
		address := set.redirects[0]
		set.redirects = set.redirects[1:]
		if !set.isOpenAt(address) {
			return address
		}
	}
	var nearest []string
	least := unlisted + 1
	for _, address := range set.addresses() {
		if set.isOpenAt(address) || s.now < set.avoidedUntil[address] {
			continue
		}
		distance := set.distanceTo(address)
		if distance < least {
			least, nearest = distance, nil
		}
		if distance == least {
			nearest = append(nearest, address)
		}
	}
	if len(nearest) == 0 {
		nearest = set.addresses()
	}
	return nearest[s.random.IntN(len(nearest))]
}
