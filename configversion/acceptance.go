package configversion

import (
	"fmt"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Version acceptance: which version of an update the node applies, and which it rejects.
//
// A version of the node's cluster passes through these states; only the Session changes them:
//
//	pending       newer than all others known; waits for the one being applied (considerUpdate)
//	applying      an ApplyConfig is in progress, one at a time (applyPending)
//	applied       in force, or without a change for this service (recordApplied)
//	rejected      the node's checks failed, the version before stays in force (applyFinished)
//	acknowledged  a controller has the node's decision (ackFinished)
//
// A pending version is dropped when a newer one comes, and an applying one when its ApplyConfig is interrupted: then it
// was never decided, and the next update brings it or a newer one.
//
// After a rejection each later version tries the same configuration again, also one that changes only another service: its
// ConfigVersion is the rejected one, which is not in force. So a service may come right without a new publish for it, as
// when its servers are back.
//
// The rule guards against a configuration that goes back: by a controller that lags, by a cluster that was rebuilt from
// nothing or restored from a backup, or by a second cluster at the same addresses. Any of them would otherwise silently
// undo an operator's change. It shows as a rejection of kind "foreign", or as a watch that is not adopted.

// maxFormerClusters is how many clusters that the node has left are remembered. Each takes an operator's confirmation,
// so that more than a few are a mistake; the bound keeps the stored file small.
const maxFormerClusters = 16

// versionState is what a node has in force, has decided and is about to apply.
type versionState struct {
	cluster        configapi.Cluster // that the node follows; empty: none yet
	lastDecided    configapi.Version // the newest version applied or rejected
	applied        configapi.Version // in force
	appliedConfig  *configapi.ServiceConfig
	minVersion     configapi.Version    // the version at which the node joined the cluster: no earlier one is applied
	rejection      *configapi.Rejection // why lastDecided was rejected; nil: it was not
	formerClusters map[configapi.Cluster]configapi.Version

	received    receivedConfig
	applying    *candidateVersion // nil: none
	pending     *candidateVersion // nil: none
	lastForeign foreignVersion
}

// receivedConfig is the newest configuration received, with the version that set it. An update may leave the
// configuration out if the node has it.
type receivedConfig struct {
	cluster configapi.Cluster
	version configapi.Version
	config  *configapi.ServiceConfig
}

// candidateVersion is a version that is newer than all decided before.
type candidateVersion struct {
	cluster       configapi.Cluster
	version       configapi.Version
	configVersion configapi.Version // the version that set the service's configuration
	watchNumber   uint64
	controller    string                   // HOST:PORT
	config        *configapi.ServiceConfig // what is being applied; nil: nothing has changed
}

// foreignVersion is the newest version of another cluster that was rejected.
type foreignVersion struct {
	cluster configapi.Cluster
	version configapi.Version
}

func newVersionState(start LastKnownGood) versionState {
	former := maps.Clone(start.FormerClusters)
	if former == nil {
		former = map[configapi.Cluster]configapi.Version{}
	}
	return versionState{
		cluster:        start.Cluster,
		lastDecided:    start.Version,
		applied:        start.Version,
		appliedConfig:  start.Config,
		formerClusters: former,
	}
}

// newestKnown is the newest version of the node's cluster that was decided, is pending or applying, or is too old to be
// applied. Only later versions are considered.
func (v *versionState) newestKnown() configapi.Version {
	newest := max(v.lastDecided, max(v.minVersion, 1)-1)
	for _, c := range []*candidateVersion{v.applying, v.pending} {
		if c != nil && c.cluster == v.cluster {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// mayFollow reports whether the node may apply versions of an update's cluster: its own, any if it has none, and one that
// replaces its own on an operator's confirmation. A cluster that the node has left before needs a newer version than
// the node knew then, or two clusters that replace each other would pass the node back and forth.
func (v *versionState) mayFollow(u configapi.Update) bool {
	if v.cluster == "" || u.Cluster == v.cluster {
		return true
	}
	return slices.Contains(u.Replaces, v.cluster) && u.Version > v.formerClusters[u.Cluster]
}

// isOutdated reports whether the controller of an update lacks versions that the node has decided.
func (v *versionState) isOutdated(u configapi.Update) bool {
	return u.Cluster == v.cluster && u.Version < v.lastDecided
}

// switchCluster makes the node follow an update's cluster. The configuration in force stays until a version changes it.
func (v *versionState) switchCluster(u configapi.Update) {
	if u.Cluster == v.cluster {
		return
	}
	minVersion := configapi.Version(0)
	if v.cluster != "" {
		minVersion = u.Version
		if len(v.formerClusters) >= maxFormerClusters {
			clear(v.formerClusters)
		}
		v.formerClusters[v.cluster] = v.newestKnown()
	}
	v.minVersion = minVersion
	v.cluster = u.Cluster
	v.lastDecided, v.applied, v.rejection, v.pending = 0, 0, nil, nil
}

// considerUpdate makes an update's version the pending one if the node may apply it and it is newer than all known.
func (s *Session) considerUpdate(w *watch, u configapi.Update) {
	v := &s.versions
	if u.Version == 0 || u.Cluster == "" {
		return
	}
	if !v.mayFollow(u) {
		s.rejectForeign(w, u)
		return
	}
	v.switchCluster(u)
	if u.Config != nil && (u.Cluster != v.received.cluster || u.ConfigVersion >= v.received.version) {
		v.received = receivedConfig{u.Cluster, u.ConfigVersion, u.Config}
	}
	if u.Version <= v.newestKnown() {
		return
	}
	v.pending = &candidateVersion{
		cluster:       u.Cluster,
		version:       u.Version,
		configVersion: u.ConfigVersion,
		watchNumber:   w.number,
		controller:    w.address,
	}
}

// rejectForeign rejects a version of another cluster, once.
func (s *Session) rejectForeign(w *watch, u configapi.Update) {
	foreign := foreignVersion{u.Cluster, u.Version}
	if s.versions.lastForeign == foreign {
		return
	}
	s.versions.lastForeign = foreign
	rejection := &configapi.Rejection{Kind: configapi.RejectForeign, Message: fmt.Sprintf(
		"the node follows cluster %s and stays with its version %d: if cluster %s takes its place, publish there with the old cluster confirmed as replaced",
		s.versions.cluster, s.versions.applied, u.Cluster)}
	s.emit(VersionDecided{u.Cluster, u.Version, configapi.Rejected, rejection, s.versions.applied, w.address})
	// Applied stays 0: the node has no version of that cluster in force.
	s.ackQueue.add(queuedAck{watchNumber: w.number, ack: configapi.Acknowledgement{Cluster: u.Cluster, Version: u.Version,
		Outcome: configapi.Rejected, Rejection: rejection}})
}

// applyPending starts to apply the pending version, unless another one is being applied.
func (s *Session) applyPending() {
	v := &s.versions
	c := v.pending
	if c == nil || v.applying != nil {
		return
	}
	v.pending = nil
	if c.configVersion <= v.applied {
		s.recordApplied(c)
		return
	}
	if v.received.cluster != c.cluster || v.received.version != c.configVersion {
		// The controller left the configuration out because it assumed that it was applied. The next watch's request
		// says what is.
		s.reopenForConfig(c.watchNumber)
		return
	}
	c.config = v.received.config
	v.applying = c
	s.emit(ApplyConfig{c.cluster, c.version, *c.config})
}

func (s *Session) applyFinished(e ApplyFinished) {
	v := &s.versions
	c := v.applying
	v.applying = nil
	switch {
	case c == nil || e.Interrupted:
	case c.cluster != v.cluster:
		// The node has joined another cluster meanwhile: nobody waits for the decision.
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
