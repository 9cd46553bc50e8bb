package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Timings of watches. A version has to be in force everywhere within 3 s of its publication, also where a controller
// falls silent right before: that is noticed within configapi.SilenceTimeout (1.2 s), the first watch beside it is given
// openPatience (0.6 s) and the second as long again, which leaves 0.6 s.
const (
	// silenceSpread is by how much nodes notice the same silence apart: a publish has all heartbeats begin anew at once.
	silenceSpread = 200 * time.Millisecond
	// FirstConnectSpread is the time within which nodes that start together open their first watch.
	FirstConnectSpread = time.Second
	// reconnectSpread is the time within which nodes that lose a controller together open their next watch.
	reconnectSpread = 400 * time.Millisecond
	// redirectSpread is the time within which nodes that were refused together go where they were sent.
	redirectSpread = 50 * time.Millisecond

	// openPatience is how long a watch may take until its first update before another is opened beside it. It doubles
	// after each maxOpening watches that took longer, up to longestPatience.
	openPatience    = 600 * time.Millisecond
	longestPatience = 1500 * time.Millisecond
	// maxOpening is how many watches wait for their first update at once; the oldest gives way.
	maxOpening = 3

	// After failures in a row. The longest is within the 3 s too: what cut a node off may end at any moment.
	openFirstBackoff   = 100 * time.Millisecond
	openLongestBackoff = 1500 * time.Millisecond
	// avoidFailed and avoidFull are how long a controller that failed or was full is not the first choice.
	avoidFailed = 3 * time.Second
	avoidFull   = 2 * time.Second

	// A node whose controller is not in touch with a leader looks for one that is. It waits first, for an election is
	// over by then as a rule, and all nodes would look at once; then it tries each of the others, and waits again.
	searchDelay  = 500 * time.Millisecond
	searchSpread = 700 * time.Millisecond
	searchGap    = 200 * time.Millisecond
	searchAgain  = 5 * time.Second

	// moveAgain is how long a request to move is passed over after one that failed.
	moveAgain = 5 * time.Second
)

// watch is one call for updates.
type watch struct {
	id      uint64
	address string
	opened  time.Duration
	silence time.Duration // after so long without a byte it is silent
	heard   time.Duration // the last byte
	part    time.Duration // when the update that is arriving began; 0: none is
	speaks  bool          // its first update has come
	current bool          // as its last update says
	foreign bool          // its last update was of another cluster
	behind  bool          // its last update was older than what the node has
}

// good says that a watch brings the node's versions as soon as they are there.
func (w *watch) good() bool { return w.current && !w.foreign && !w.behind }

// silentAt is when the watch counts as silent.
func (w *watch) silentAt() time.Duration {
	if w.part > 0 {
		return min(w.heard, w.part) + w.silence
	}
	return w.heard + w.silence
}

// watchSet has the watches of a session. One of them, main, is the one that the node goes by; another is opened beside
// it where it is silent, is not current, or asks the node to move.
type watchSet struct {
	place    configapi.Endpoint // the node's own, without an address
	settings []string           // addresses in the settings
	known    []configapi.Endpoint
	open     []*watch // the oldest first
	main     *watch   // nil: none
	lastID   uint64

	openAt   time.Duration            // no watch is opened before, while none speaks
	failures int                      // since a watch spoke
	reopened int                      // watches that were opened anew for a configuration that did not come
	slow     int                      // watches that took longer than openPatience, since one spoke
	refused  uint64                   // refusals since a watch spoke
	avoid    map[string]time.Duration // addresses, until when
	redirect []string                 // where the last refusal sent the node

	moveTo   string // "": nowhere
	moveFrom time.Duration
	searchAt time.Duration // 0: no search
	searched []string
}

func newWatchSet(options SessionOptions) watchSet {
	return watchSet{place: configapi.Endpoint{Region: options.Region, Zone: options.Zone}, settings: slices.Clone(options.Controllers),
		known: slices.Clone(options.LastKnownGood.Controllers), avoid: map[string]time.Duration{}}
}

// find returns an open watch; nil: there is none of this number.
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
		if !w.speaks {
			opening = append(opening, w)
		}
	}
	return opening
}

// patience is how long a watch may take until its first update.
func (s *watchSet) patience() time.Duration {
	const mostDoublings = 8
	return min(openPatience<<min(s.slow/maxOpening, mostDoublings), longestPatience)
}

func (s *Session) watchHeard(e WatchHeard) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	w.heard = s.now
	if e.Part && w.part == 0 {
		w.part = max(s.now, 1)
	}
}

func (s *Session) watchUpdated(e WatchUpdated) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	u := e.Update
	wasCurrent := w.current
	w.heard, w.part = s.now, 0
	w.current, w.foreign, w.behind = u.Current, !s.versions.follows(u), s.versions.behind(u)
	if !w.foreign && len(u.Controllers) > 0 {
		s.watches.known = slices.Clone(u.Controllers)
	}
	if !w.speaks {
		w.speaks = true
		s.choose(w)
	} else if w == s.watches.main && w.current != wasCurrent {
		s.do(ControllerChanged{w.address, w.current})
	}
	s.takeUpdate(w, u)
	if w == s.watches.main && u.MoveTo != "" {
		s.askedToMove(u.MoveTo)
	}
}

// choose has the node go by a watch that speaks for the first time, or end it.
func (s *Session) choose(w *watch) {
	set := &s.watches
	main := set.main
	better := main == nil || s.now >= main.silentAt() || w.good() && !main.good() ||
		w.address == set.moveTo && (w.good() || !main.good())
	if w.address == set.moveTo {
		set.moveTo = ""
	}
	if !better {
		s.close(w)
		return
	}
	set.main = w
	set.failures, set.slow, set.refused, set.redirect = 0, 0, 0, nil
	delete(set.avoid, w.address)
	if w.good() {
		set.endSearch()
	}
	for _, other := range slices.Clone(set.open) {
		if other != w {
			s.close(other)
		}
	}
	s.acks.notTill = 0
	s.do(ControllerChanged{w.address, w.current})
}

func (s *Session) watchRefused(e WatchRefused) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	if e.Refusal.Kind != configapi.ErrorFull {
		s.watchEnded(e.Watch)
		return
	}
	set := &s.watches
	set.remove(w)
	set.avoidUntil(w.address, s.now, avoidFull)
	set.refused++
	set.failures++
	set.redirect = nil
	for _, elsewhere := range e.Refusal.Elsewhere {
		if s.now >= set.avoid[elsewhere.Address] {
			set.redirect = append(set.redirect, elsewhere.Address)
		}
	}
	set.openAt = s.now + s.backoff(set.failures, openFirstBackoff, openLongestBackoff)
	if len(set.redirect) > 0 {
		set.openAt = s.now + s.spread(redirectSpread)
	}
	s.gaveUp(w)
}

// watchEnded takes the end of a watch that the session did not close.
func (s *Session) watchEnded(id uint64) {
	set := &s.watches
	w := set.find(id)
	if w == nil {
		return
	}
	set.remove(w)
	set.avoidUntil(w.address, s.now, avoidFailed)
	if w.speaks { // it was main
		set.openAt = s.now + s.spread(reconnectSpread)
		s.do(ControllerChanged{})
		return
	}
	set.failures++
	set.openAt = s.now + s.backoff(set.failures, openFirstBackoff, openLongestBackoff)
	s.gaveUp(w)
}

// gaveUp notes that a watch which was to be better than main is not to be had.
func (s *Session) gaveUp(w *watch) {
	set := &s.watches
	if w.address == set.moveTo {
		set.moveTo, set.moveFrom = "", s.now+moveAgain
	}
	if set.searchAt > 0 {
		set.searchAt = s.now + searchGap/2 + s.spread(searchGap)
	}
}

// reopen ends a watch of which the controller takes something for known that is not, and opens another one.
func (s *Session) reopen(id uint64) {
	set := &s.watches
	w := set.find(id)
	if w == nil {
		return
	}
	s.close(w)
	set.reopened++
	set.openAt = s.now + s.backoff(set.reopened, openFirstBackoff, openLongestBackoff)
}

func (s *Session) askedToMove(address string) {
	set := &s.watches
	if s.now < set.moveFrom || set.isOpenAt(address) || s.now < set.avoid[address] {
		return
	}
	set.moveTo = address
}

// manageWatches opens and closes what is wanted now, and says when to look again.
func (s *Session) manageWatches() {
	set := &s.watches
	main := set.main
	if main == nil || s.now >= main.silentAt() {
		set.moveTo = ""
		set.endSearch()
		s.seek()
		return
	}
	s.wakeAt(main.silentAt())
	switch {
	case set.moveTo != "":
		set.endSearch()
		s.closeOpening(set.moveTo)
		s.probe(set.moveTo)
	case !main.good():
		s.search()
	default:
		set.endSearch()
		s.closeOpening("")
	}
}

// seek opens a watch while none speaks: one, then another beside each that takes too long.
func (s *Session) seek() {
	set := &s.watches
	opening := set.opening()
	if len(opening) > 0 {
		youngest := opening[len(opening)-1]
		if late := youngest.opened + set.patience(); s.now < late {
			s.wakeAt(late)
			return
		}
	}
	if s.now < set.openAt {
		s.wakeAt(set.openAt)
		return
	}
	if len(opening) > 0 {
		set.slow++
	}
	if len(opening) >= maxOpening {
		s.close(opening[0])
		set.avoidUntil(opening[0].address, s.now, avoidFailed)
	}
	w := s.openWatch(s.pickAddress())
	s.wakeAt(w.opened + set.patience())
}

// probe opens a watch beside main at one address, and gives it up if it takes too long.
func (s *Session) probe(address string) {
	set := &s.watches
	opening := set.opening()
	if len(opening) == 0 {
		w := s.openWatch(address)
		s.wakeAt(w.opened + openPatience)
		return
	}
	w := opening[0]
	if late := w.opened + openPatience; s.now < late {
		s.wakeAt(late)
		return
	}
	s.close(w)
	set.avoidUntil(w.address, s.now, avoidFailed)
	s.gaveUp(w)
}

// search looks for a controller that is current, one after another.
func (s *Session) search() {
	set := &s.watches
	if set.searchAt == 0 {
		set.searchAt = s.now + searchDelay + s.spread(searchSpread)
		set.searched = nil
	}
	if opening := set.opening(); len(opening) > 0 {
		s.probe(opening[0].address)
		if len(set.opening()) > 0 {
			return
		}
	}
	if s.now < set.searchAt {
		s.wakeAt(set.searchAt)
		return
	}
	set.searched = append(set.searched, set.main.address)
	candidates := slices.DeleteFunc(set.addresses(), func(address string) bool { return slices.Contains(set.searched, address) })
	if len(candidates) == 0 {
		set.searched = nil
		set.searchAt = s.now + searchAgain + s.spread(searchAgain)
		s.wakeAt(set.searchAt)
		return
	}
	address := candidates[s.random.IntN(len(candidates))]
	set.searched = append(set.searched, address)
	set.searchAt = s.now + searchGap/2 + s.spread(searchGap)
	s.probe(address)
}

func (s *watchSet) endSearch() { s.searchAt, s.searched = 0, nil }

// openWatch opens a watch at an address.
func (s *Session) openWatch(address string) *watch {
	set := &s.watches
	v := &s.versions
	set.lastID++
	w := &watch{id: set.lastID, address: address, opened: s.now, heard: s.now,
		silence: configapi.SilenceTimeout - s.spread(silenceSpread)}
	set.open = append(set.open, w)
	request := configapi.WatchRequest{Node: s.options.Node, Service: s.options.Service, Region: s.options.Region, Zone: s.options.Zone,
		Started: s.options.Started, Session: w.id, Cluster: v.cluster, Held: v.held, Applied: v.applied, Refused: set.refused}
	if v.refused != nil {
		request.Rejected, request.Reason = true, v.refused.Error()
	}
	s.do(OpenWatch{w.id, address, request})
	return w
}

// close ends a watch.
func (s *Session) close(w *watch) {
	s.watches.remove(w)
	s.do(CloseWatch{w.id})
}

// closeOpening ends the watches that have not spoken, but for one at an address.
func (s *Session) closeOpening(but string) {
	for _, w := range s.watches.opening() {
		if w.address != but {
			s.close(w)
		}
	}
}

func (s *watchSet) remove(w *watch) {
	s.open = slices.DeleteFunc(s.open, func(other *watch) bool { return other == w })
	if s.main == w {
		s.main = nil
	}
}

// avoidUntil has an address be no first choice for a while.
func (s *watchSet) avoidUntil(address string, now, most time.Duration) {
	const mostAvoided = 64
	if len(s.avoid) >= mostAvoided {
		clear(s.avoid)
	}
	s.avoid[address] = now + most
}

// addresses are all that the node knows, those of the cluster first.
func (s *watchSet) addresses() (addresses []string) {
	for _, e := range s.known {
		addresses = append(addresses, e.Address)
	}
	for _, address := range s.settings {
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
	elsewhere
	unlisted // in the settings, and not among the cluster's
)

func (s *watchSet) distance(address string) int {
	for _, e := range s.known {
		switch {
		case e.Address != address:
		case s.place.Region != e.Region || e.Region == "":
			return elsewhere
		case s.place.Zone != e.Zone || e.Zone == "":
			return sameRegion
		default:
			return sameZone
		}
	}
	return unlisted
}

// pickAddress is where the next watch is opened while none speaks: where the last refusal sent the node, or at one of the
// nearest controllers that have not failed lately, or at any.
func (s *Session) pickAddress() string {
	set := &s.watches
	for len(set.redirect) > 0 {
		address := set.redirect[0]
		set.redirect = set.redirect[1:]
		if !set.isOpenAt(address) {
			return address
		}
	}
	var nearest []string
	least := unlisted + 1
	for _, address := range set.addresses() {
		if set.isOpenAt(address) || s.now < set.avoid[address] {
			continue
		}
		distance := set.distance(address)
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
