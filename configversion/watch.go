package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// watchState is the state of a watch. The Session changes it: a watch is opening from openWatch on, live from its first
// update on, and silent or live again by the time of its last byte. A watch that is closed, rejected or ended is
// removed from the set and has no state.
type watchState int

const (
	watchOpening watchState = iota // its first update has not come
	watchLive                      // it has an update, and bytes keep coming: it is the main watch
	watchSilent                    // no byte within its silence timeout: others are opened beside it
)

// watch is one open call for updates.
type watch struct {
	number          uint64
	address         string // of the controller, HOST:PORT
	openedAt        time.Duration
	silenceTimeout  time.Duration // see watchsilence.go
	lastActivityAt  time.Duration // the last byte
	updateStartedAt time.Duration // when the update that is arriving began; 0: none is
	updated         bool          // its first update has come
	current         bool          // its last update says that the controller has a leader
	foreign         bool          // its last update was of a cluster that the node does not follow
	outdated        bool          // its last update was older than what the node has decided
}

// state is the watch's state at a time.
func (w *watch) state(now time.Duration) watchState {
	switch {
	case !w.updated:
		return watchOpening
	case now >= w.silenceDeadline():
		return watchSilent
	}
	return watchLive
}

// deliversNewest reports that a watch brings the newest versions of the node's cluster as soon as they are committed.
func (w *watch) deliversNewest() bool { return w.current && !w.foreign && !w.outdated }

// reconcileWatches opens and closes watches as the rules want it now, and sets the time of the next look.
func (s *Session) reconcileWatches() {
	set := &s.watches
	if !set.mainIsLive(s.now) {
		set.migrateTo = ""
		set.endSearch()
		s.connect()
		return
	}
	s.wakeAt(set.main.silenceDeadline())
	switch {
	case set.migrateTo != "":
		set.endSearch()
		s.closeOpeningExcept(set.migrateTo)
		s.probe(set.migrateTo)
	case !set.main.deliversNewest():
		s.searchForCurrentController()
	default:
		set.endSearch()
		s.closeOpeningExcept("")
	}
}

// watchUpdated handles a complete update: it refreshes the watch, lets a first update choose the main watch, and passes
// the version on to version acceptance.
func (s *Session) watchUpdated(e WatchUpdated) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	u := e.Update
	wasCurrent := w.current
	w.lastActivityAt, w.updateStartedAt = s.now, 0
	w.current, w.foreign, w.outdated = u.HasLeaderContact, !s.versions.mayFollow(u), s.versions.isOutdated(u)
	if !w.foreign && len(u.Controllers) > 0 {
		s.watches.clusterControllers = slices.Clone(u.Controllers)
	}
	if !w.updated {
		w.updated = true
		s.chooseMain(w)
	} else if w == s.watches.main && w.current != wasCurrent {
		s.emit(ControllerChanged{w.address, w.current})
	}
	s.considerUpdate(w, u)
	if w == s.watches.main && u.MigrateTo != "" {
		s.migrationRequested(u.MigrateTo)
	}
}

// watchEnded handles the end of a watch that the session did not close.
func (s *Session) watchEnded(number uint64) {
	set := &s.watches
	w := set.find(number)
	if w == nil {
		return
	}
	set.remove(w)
	set.avoid(w.address, s.now, avoidAfterFailure)
	if w.updated { // it was the main watch
		set.nextOpenAt = s.now + s.jitter(reconnectJitter)
		s.emit(ControllerChanged{})
		return
	}
	set.consecutiveFailures++
	set.nextOpenAt = s.now + s.backoff(set.consecutiveFailures, openInitialBackoff, openMaxBackoff)
	s.probeFailed(w)
}

// openWatch opens a watch at an address. Its request says what the node has decided and has in force.
func (s *Session) openWatch(address string) *watch {
	set := &s.watches
	v := &s.versions
	set.lastNumber++
	w := &watch{
		number:         set.lastNumber,
		address:        address,
		openedAt:       s.now,
		lastActivityAt: s.now,
		silenceTimeout: s.drawSilenceTimeout(),
	}
	set.open = append(set.open, w)
	request := configapi.WatchRequest{
		Node:            s.options.Node,
		Service:         s.options.Service,
		Region:          s.options.Region,
		Zone:            s.options.Zone,
		StartedMS:       s.options.StartedMS,
		WatchNumber:     w.number,
		Cluster:         v.cluster,
		LastDecided:     v.lastDecided,
		Applied:         v.applied,
		WatchRejections: set.consecutiveRejections,
	}
	if v.rejection != nil {
		request.LastRejected, request.RejectionReason = true, v.rejection.Error()
	}
	s.emit(OpenWatch{w.number, address, request})
	return w
}

func (s *Session) closeWatch(w *watch) {
	s.watches.remove(w)
	s.emit(CloseWatch{w.number})
}

// closeOpeningExcept closes the watches in state watchOpening, except those at one address.
func (s *Session) closeOpeningExcept(exceptAddress string) {
	for _, w := range s.watches.opening() {
		if w.address != exceptAddress {
			s.closeWatch(w)
		}
	}
}
