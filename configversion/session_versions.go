package configversion

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// maxFormer is how many clusters that were left are remembered.
	maxFormer = 16
	// maxAcks is how many acknowledgements wait at most; the oldest gives way, for a newer one covers it.
	maxAcks = 32

	ackFirstBackoff   = 100 * time.Millisecond
	ackLongestBackoff = 2 * time.Second
)

// versionState is what a node has, has answered and is about to try.
type versionState struct {
	cluster configapi.Cluster // empty: none yet
	held    configapi.Version // the newest answered
	applied configapi.Version // in force
	inForce *configapi.ServiceConfig
	floor   configapi.Version    // the version that handed the cluster before to this one: no earlier one is taken
	refused *configapi.Rejection // why held was rejected; nil: it was not
	former  map[configapi.Cluster]configapi.Version

	received receivedConfig
	trying   *candidate
	pending  *candidate // the newest that came meanwhile
	foreign  foreignVersion
}

// receivedConfig is the newest configuration that came, of the version that set it.
type receivedConfig struct {
	cluster configapi.Cluster
	changed configapi.Version
	config  *configapi.ServiceConfig
}

// candidate is a version that the node may take.
type candidate struct {
	cluster    configapi.Cluster
	version    configapi.Version
	changed    configapi.Version
	watch      uint64
	controller string
	config     *configapi.ServiceConfig // what is tried; nil: nothing has to be
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
	return versionState{cluster: kept.Cluster, held: kept.Version, applied: kept.Version, inForce: kept.Config, former: former}
}

// newest is the newest version of the node's cluster that was answered or is going to be, or must not be.
func (v *versionState) newest() configapi.Version {
	newest := max(v.held, max(v.floor, 1)-1)
	for _, c := range []*candidate{v.trying, v.pending} {
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
	return slices.Contains(u.Replaces, v.cluster) && u.Version > v.former[u.Cluster]
}

// behind says whether an update shows a controller that has not all that the node has answered.
func (v *versionState) behind(u configapi.Update) bool {
	return u.Cluster == v.cluster && u.Version < v.held
}

// join has the node follow an update's cluster. The configuration in force stays until a version changes it.
func (v *versionState) join(u configapi.Update) {
	if u.Cluster == v.cluster {
		return
	}
	floor := configapi.Version(0)
	if v.cluster != "" {
		floor = u.Version
		if len(v.former) >= maxFormer {
			clear(v.former)
		}
		v.former[v.cluster] = v.newest()
	}
	v.floor = floor
	v.cluster, v.held, v.applied, v.refused, v.pending = u.Cluster, 0, 0, nil, nil
}

// takeUpdate takes an update's version, if the node may.
func (s *Session) takeUpdate(w *watch, u configapi.Update) {
	v := &s.versions
	if u.Version == 0 || u.Cluster == "" {
		return
	}
	if !v.follows(u) {
		s.rejectForeign(w, u)
		return
	}
	v.join(u)
	if u.Config != nil && (u.Cluster != v.received.cluster || u.Changed >= v.received.changed) {
		v.received = receivedConfig{u.Cluster, u.Changed, u.Config}
	}
	if u.Version <= v.newest() {
		return
	}
	v.pending = &candidate{cluster: u.Cluster, version: u.Version, changed: u.Changed, watch: w.id, controller: w.address}
}

// rejectForeign answers for a version of another cluster, once.
func (s *Session) rejectForeign(w *watch, u configapi.Update) {
	seen := foreignVersion{u.Cluster, u.Version}
	if s.versions.foreign == seen {
		return
	}
	s.versions.foreign = seen
	rejection := &configapi.Rejection{Kind: configapi.RejectForeign, Message: fmt.Sprintf(
		"the node follows cluster %s and stays with its version %d: if cluster %s takes its place, publish there with the old cluster confirmed as replaced",
		s.versions.cluster, s.versions.applied, u.Cluster)}
	s.do(VersionAnswered{u.Cluster, u.Version, configapi.Rejected, rejection, s.versions.applied, w.address})
	// Of that cluster the node has no version in force.
	s.acks.add(queuedAck{watch: w.id, ack: configapi.Acknowledgement{Cluster: u.Cluster, Version: u.Version,
		Outcome: configapi.Rejected, Rejection: rejection}})
}

// tryPending begins with the newest version that waits, if nothing else is tried.
func (s *Session) tryPending() {
	v := &s.versions
	c := v.pending
	if c == nil || v.trying != nil {
		return
	}
	v.pending = nil
	if c.changed <= v.applied {
		s.applied(c)
		return
	}
	if v.received.cluster != c.cluster || v.received.changed != c.changed {
		s.reopen(c.watch) // the controller took it for known: the next watch's request says what is in force
		return
	}
	c.config = v.received.config
	v.trying = c
	s.do(ApplyConfig{c.cluster, c.version, *c.config})
}

func (s *Session) configTried(e ConfigTried) {
	v := &s.versions
	c := v.trying
	v.trying = nil
	switch {
	case c == nil || e.Interrupted:
	case c.cluster != v.cluster: // the node has joined another cluster meanwhile: nobody asks for an answer any more
		if e.Rejection == nil {
			v.inForce = c.config
		}
	case e.Rejection == nil:
		v.inForce = c.config
		s.applied(c)
	default:
		v.refused = e.Rejection
		s.answer(c, configapi.Rejected)
	}
}

func (s *Session) applied(c *candidate) {
	s.versions.applied, s.versions.refused = c.version, nil
	s.answer(c, configapi.Applied)
	s.do(Persist{s.kept()})
}

func (s *Session) answer(c *candidate, outcome configapi.Outcome) {
	v := &s.versions
	v.held = c.version
	s.watches.reopened = 0
	s.do(VersionAnswered{c.cluster, c.version, outcome, v.refused, v.applied, c.controller})
	s.acks.add(queuedAck{ack: configapi.Acknowledgement{Cluster: c.cluster, Version: c.version, Outcome: outcome,
		Rejection: v.refused, Applied: v.applied}})
}

// ackQueue has the acknowledgements that were not answered yet, the oldest first.
type ackQueue struct {
	waiting  []queuedAck
	sent     bool // the first is under way
	notTill  time.Duration
	failures int
}

// queuedAck is an acknowledgement that goes to the controller that the node goes by, or to the one of a watch.
type queuedAck struct {
	ack   configapi.Acknowledgement
	watch uint64 // 0: the one that the node goes by
}

func (q *ackQueue) add(ack queuedAck) {
	q.waiting = append(q.waiting, ack)
	if len(q.waiting) <= maxAcks {
		return
	}
	oldest := 0
	if q.sent {
		oldest = 1
	}
	q.waiting = slices.Delete(q.waiting, oldest, oldest+1)
}

// sendAck sends the oldest acknowledgement, if there is a watch to send it to.
func (s *Session) sendAck() {
	q := &s.acks
	for !q.sent && len(q.waiting) > 0 {
		first := q.waiting[0]
		to := s.watches.main
		if first.watch != 0 {
			if to = s.watches.find(first.watch); to == nil { // nobody wants it any more
				q.waiting = q.waiting[1:]
				continue
			}
		}
		if to == nil {
			return
		}
		if s.now < q.notTill {
			s.wakeAt(q.notTill)
			return
		}
		ack := first.ack
		ack.Node, ack.Started, ack.Session = s.options.Node, s.options.Started, to.id
		q.sent = true
		s.do(SendAck{to.address, ack})
	}
}

func (s *Session) ackAnswered(taken bool) {
	q := &s.acks
	if !q.sent {
		return
	}
	q.sent = false
	if taken {
		q.waiting, q.failures, q.notTill = q.waiting[1:], 0, 0
		return
	}
	q.failures++
	q.notTill = s.now + s.backoff(q.failures, ackFirstBackoff, ackLongestBackoff)
}
