package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// watchState is the state of a watch. A watch is opening until its first update is complete, and then live or silent,
// depending on the time since its last byte. A watch that was closed or rejected, or that has ended, is removed from
// the set and has no state.
type watchState int

const (
	watchOpening watchState = iota // no complete update has arrived yet
	watchLive                      // updates have arrived, and bytes keep arriving: this is the main watch
	watchSilent                    // no byte arrived within the silence timeout: other watches are opened in parallel
)

// watch is one open watch, which is a long-running call for updates at a controller.
type watch struct {
	number           uint64
	address          string // of the controller, HOST:PORT
	openedAt         time.Duration
	silenceTimeout   time.Duration // see watchsilence.go
	lastActivityAt   time.Duration // when the last byte arrived
	updateStartedAt  time.Duration // when the incomplete update began to arrive; 0: there is none
	updated          bool          // a complete update has arrived
	hasLeaderContact bool          // according to the last update, the controller is in contact with a leader
	foreign          bool          // the last update was from a cluster that the node does not follow
	outdated         bool          // the last update was older than the node's last decision
}

// state returns the watch's state at time now.
func (w *watch) state(now time.Duration) watchState {
	switch {
	case !w.updated:
		return watchOpening
	case now >= w.silenceDeadline():
		return watchSilent
	}
	return watchLive
}

// deliversNewest reports whether the watch delivers the newest versions of the node's cluster as soon as they are
// committed.
func (w *watch) deliversNewest() bool { return w.hasLeaderContact && !w.foreign && !w.outdated }

// reconcileWatches opens and closes watches as the current state requires, and schedules the next wake-up.
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

// watchUpdated handles a complete update: it updates the watch, chooses the main watch if this is the watch's first
// update, and passes the version to version acceptance.
func (s *Session) watchUpdated(e WatchUpdated) {
	w := s.watches.find(e.Watch)
	if w == nil {
		return
	}
	u := e.Update
	hadLeaderContact := w.hasLeaderContact
	w.lastActivityAt, w.updateStartedAt = s.now, 0
	w.hasLeaderContact, w.foreign, w.outdated = u.HasLeaderContact, !s.versions.mayFollow(u), s.versions.isOutdated(u)
	if !w.foreign && len(u.Controllers) > 0 {
		s.watches.clusterControllers = slices.Clone(u.Controllers)
	}
	if !w.updated {
		w.updated = true
		s.chooseMain(w)
	} else if w == s.watches.main && w.hasLeaderContact != hadLeaderContact {
		s.emit(ControllerChanged{w.address, w.hasLeaderContact})
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

// openWatch opens a watch at an address. Its request contains the version that the node has last decided and the one
// that is in force.
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

// closeOpeningExcept closes all watches in state watchOpening, except those at exceptAddress.
func (s *Session) closeOpeningExcept(exceptAddress string) {
	for _, w := range s.watches.opening() {
		if w.address != exceptAddress {
			s.closeWatch(w)
		}
	}
}
