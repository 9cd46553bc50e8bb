package configversion

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// maxFormerClusters is how many clusters that were left are remembered.
	maxFormerClusters = 16
	// maxAcks is how many acknowledgements wait at most; the oldest gives way, for a newer one covers it.
	maxAcks = 32

	ackInitialBackoff = 100 * time.Millisecond
	ackMaxBackoff     = 2 * time.Second
)

// versionState is what a node has, has answered and is about to try.
type versionState struct {
	cluster        configapi.Cluster // empty: none yet
	lastDecided    configapi.Version // the newest answered
	applied        configapi.Version // in force
	appliedConfig  *configapi.ServiceConfig
	minVersion     configapi.Version    // the version that handed the cluster before to this one: no earlier one is taken
	rejection      *configapi.Rejection // why held was rejected; nil: it was not
	formerClusters map[configapi.Cluster]configapi.Version

	received    receivedConfig
	trying      *candidateVersion
	pending     *candidateVersion // the newest that came meanwhile
	lastForeign foreignVersion
}

// receivedConfig is the newest configuration that came, of the version that set it.
type receivedConfig struct {
	cluster configapi.Cluster
	version configapi.Version
	config  *configapi.ServiceConfig
}

// candidateVersion is a version that the node may take.
type candidateVersion struct {
	cluster       configapi.Cluster
	version       configapi.Version
	configVersion configapi.Version
	watchID       uint64
	controller    string
	config        *configapi.ServiceConfig // what is tried; nil: nothing has to be
}

// foreignVersion is the newest version of another cluster that was rejected.
type foreignVersion struct {
	cluster configapi.Cluster
	version configapi.Version
}

func newVersionState(kept LastKnownGood) versionState {
	former := maps.Clone(kept.Former)
	if former == nil {
		former = map[configapi.Cluster]configapi.Version{}
	}
	return versionState{cluster: kept.Cluster, lastDecided: kept.Version, applied: kept.Version, appliedConfig: kept.Config, formerClusters: former}
}

// newestKnown is the newest version of the node's cluster that was answered or is going to be, or must not be.
func (v *versionState) newestKnown() configapi.Version {
	newest := max(v.lastDecided, max(v.minVersion, 1)-1)
	for _, c := range []*candidateVersion{v.trying, v.pending} {
		if c != nil && c.cluster == v.cluster {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// follows says whether the node takes versions of an update's cluster: of its own, of any if it has none, and of one
// that an operator has handed its own to. One that it has left before must have a newer version than the node saw then.
func (v *versionState) follows(u configapi.Update) bool {
	if v.cluster == "" || u.Cluster == v.cluster {
		return true
	}
	return slices.Contains(u.Replaces, v.cluster) && u.Version > v.formerClusters[u.Cluster]
}

// behind says whether an update shows a controller that has not all that the node has answered.
func (v *versionState) behind(u configapi.Update) bool {
	return u.Cluster == v.cluster && u.Version < v.lastDecided
}

// join has the node follow an update's cluster. The configuration in force stays until a version changes it.
func (v *versionState) join(u configapi.Update) {
	if u.Cluster == v.cluster {
		return
	}
	floor := configapi.Version(0)
	if v.cluster != "" {
		floor = u.Version
		if len(v.formerClusters) >= maxFormerClusters {
			clear(v.formerClusters)
		}
		v.formerClusters[v.cluster] = v.newestKnown()
	}
	v.minVersion = floor
	v.cluster, v.lastDecided, v.applied, v.rejection, v.pending = u.Cluster, 0, 0, nil, nil
}

// considerUpdate takes an update's version, if the node may.
func (s *Session) considerUpdate(w *watch, u configapi.Update) {
	v := &s.versions
	if u.Version == 0 || u.Cluster == "" {
		return
	}
	if !v.follows(u) {
		s.rejectForeign(w, u)
		return
	}
	v.join(u)
	if u.Config != nil && (u.Cluster != v.received.cluster || u.ConfigVersion >= v.received.version) {
		v.received = receivedConfig{u.Cluster, u.ConfigVersion, u.Config}
	}
	if u.Version <= v.newestKnown() {
		return
	}
	v.pending = &candidateVersion{cluster: u.Cluster, version: u.Version, configVersion: u.ConfigVersion, watchID: w.id, controller: w.address}
}

// rejectForeign answers for a version of another cluster, once.
func (s *Session) rejectForeign(w *watch, u configapi.Update) {
	seen := foreignVersion{u.Cluster, u.Version}
	if s.versions.lastForeign == seen {
		return
	}
	s.versions.lastForeign = seen
	rejection := &configapi.Rejection{Kind: configapi.RejectForeign, Message: fmt.Sprintf(
		"the node follows cluster %s and stays with its version %d: if cluster %s takes its place, publish there with the old cluster confirmed as replaced",
		s.versions.cluster, s.versions.applied, u.Cluster)}
	s.emit(VersionDecided{u.Cluster, u.Version, configapi.Rejected, rejection, s.versions.applied, w.address})
	// Of that cluster the node has no version in force.
	s.ackQueue.add(queuedAck{watchID: w.id, ack: configapi.Acknowledgement{Cluster: u.Cluster, Version: u.Version,
		Outcome: configapi.Rejected, Rejection: rejection}})
}

// applyPending begins with the newest version that waits, if nothing else is tried.
func (s *Session) applyPending() {
	v := &s.versions
	c := v.pending
	if c == nil || v.trying != nil {
		return
	}
	v.pending = nil
	if c.configVersion <= v.applied {
		s.recordApplied(c)
		return
	}
	if v.received.cluster != c.cluster || v.received.version != c.configVersion {
		s.reopenForConfig(c.watchID) // the controller took it for known: the next watch's request says what is in force
		return
	}
	c.config = v.received.config
	v.trying = c
	s.emit(ApplyConfig{c.cluster, c.version, *c.config})
}

func (s *Session) applyFinished(e ApplyFinished) {
	v := &s.versions
	c := v.trying
	v.trying = nil
	switch {
	case c == nil || e.Interrupted:
	case c.cluster != v.cluster: // the node has joined another cluster meanwhile: nobody asks for an answer any more
		if e.Rejection == nil {
			v.appliedConfig = c.config
		}
	case e.Rejection == nil:
		v.appliedConfig = c.config
		s.recordApplied(c)
	default:
		v.rejection = e.Rejection
		s.recordDecision(c, configapi.Rejected)
	}
}

func (s *Session) recordApplied(c *candidateVersion) {
	s.versions.applied, s.versions.rejection = c.version, nil
	s.recordDecision(c, configapi.Applied)
	s.emit(Persist{s.lastKnownGood()})
}

func (s *Session) recordDecision(c *candidateVersion, outcome configapi.Outcome) {
	v := &s.versions
	v.lastDecided = c.version
	s.watches.consecutiveReopens = 0
	s.emit(VersionDecided{c.cluster, c.version, outcome, v.rejection, v.applied, c.controller})
	s.ackQueue.add(queuedAck{ack: configapi.Acknowledgement{Cluster: c.cluster, Version: c.version, Outcome: outcome,
		Rejection: v.rejection, Applied: v.applied}})
}

// ackQueue has the acknowledgements that were not answered yet, the oldest first.
type ackQueue struct {
	waiting  []queuedAck
	inFlight bool // the first is under way
	retryAt  time.Duration
	failures int
}

// queuedAck is an acknowledgement that goes to the controller that the node goes by, or to the one of a watch.
type queuedAck struct {
	ack     configapi.Acknowledgement
	watchID uint64 // 0: the one that the node goes by
}

func (q *ackQueue) add(ack queuedAck) {
	q.waiting = append(q.waiting, ack)
	if len(q.waiting) <= maxAcks {
		return
	}
	oldest := 0
	if q.inFlight {
		oldest = 1
	}
	q.waiting = slices.Delete(q.waiting, oldest, oldest+1)
}

// sendAck sends the oldest acknowledgement, if there is a watch to send it to.
func (s *Session) sendAck() {
	q := &s.ackQueue
	for !q.inFlight && len(q.waiting) > 0 {
		first := q.waiting[0]
		to := s.watches.main
		if first.watchID != 0 {
			if to = s.watches.find(first.watchID); to == nil { // nobody wants it any more
				q.waiting = q.waiting[1:]
				continue
			}
		}
		if to == nil {
			return
		}
		if s.now < q.retryAt {
			s.wakeAt(q.retryAt)
			return
		}
		ack := first.ack
		ack.Node, ack.StartedMS, ack.Session = s.options.Node, s.options.StartedMS, to.id
		q.inFlight = true
		s.emit(SendAck{to.address, ack})
	}
}

func (s *Session) ackFinished(taken bool) {
	q := &s.ackQueue
	if !q.inFlight {
		return
	}
	q.inFlight = false
	if taken {
		q.waiting, q.failures, q.retryAt = q.waiting[1:], 0, 0
		return
	}
	q.failures++
	q.retryAt = s.now + s.backoff(q.failures, ackInitialBackoff, ackMaxBackoff)
}
