package configversion

import (
	"fmt"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Version acceptance: which versions the node applies, and which it rejects.
//
// A version of the node's cluster passes through these states; only the Session changes them:
//
//	pending       newer than all other known versions; waits until the current apply ends (considerUpdate)
//	applying      an ApplyConfig is in progress, one at a time (applyPending)
//	applied       in force, or it changes nothing for this service (recordApplied)
//	rejected      the node's checks failed; the previous version stays in force (applyFinished)
//	acknowledged  a controller has received the node's decision (ackFinished)
//
// A pending version is dropped when a newer one arrives. An applying version is dropped when its ApplyConfig is
// interrupted: the node has not decided on it, and the next update contains it or a newer one.
//
// After a rejection, the node tries the rejected configuration again with every later version, even with one that
// changes only another service: the ConfigVersion of that version is the rejected one, which is not in force. A service
// can therefore recover without a new publish, for example when its servers return.
//
// Only newer versions are applied, so that the configuration never reverts to an older one. Otherwise an operator's
// change could be undone silently by a controller that lags, by a cluster that was rebuilt from nothing or restored
// from a backup, or by a second cluster at the same addresses. Such a case is visible as a rejection of kind "foreign",
// or as a watch that does not become the main watch.

// maxFormerClusters limits how many of the clusters that the node has left it remembers. Each switch needs an
// operator's confirmation, so more than a few indicate a mistake. The limit keeps the stored file small.
const maxFormerClusters = 16

// versionState holds the version that is in force, the last decision, and the versions that are received, pending or
// being applied.
type versionState struct {
	cluster        configapi.Cluster // the cluster that the node follows; empty: none yet
	lastDecided    configapi.Version // the newest version applied or rejected
	applied        configapi.Version // the version in force
	appliedConfig  *configapi.ServiceConfig
	minVersion     configapi.Version    // the version at which the node joined the cluster; earlier ones are not applied
	rejection      *configapi.Rejection // why lastDecided was rejected; nil: it was applied
	formerClusters map[configapi.Cluster]configapi.Version

	received    receivedConfig
	applying    *candidateVersion // nil: no version is being applied
	pending     *candidateVersion // nil: no version is pending
	lastForeign foreignVersion
}

// receivedConfig is the newest configuration that the node has received, with the version that set it. A controller may
// omit the configuration from an update if the node already has it.
type receivedConfig struct {
	cluster configapi.Cluster
	version configapi.Version
	config  *configapi.ServiceConfig
}

// candidateVersion is a version that is newer than all versions decided so far.
type candidateVersion struct {
	cluster       configapi.Cluster
	version       configapi.Version
	configVersion configapi.Version // the version that set the service's configuration
	watchNumber   uint64
	controller    string                   // HOST:PORT
	config        *configapi.ServiceConfig // the configuration being applied; nil: it has not changed
}

// foreignVersion is the last rejected version of a foreign cluster, which is one that the node does not follow.
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

// newestKnown returns the newest version of the node's cluster that is decided, pending, being applied, or older than
// minVersion. Only later versions are considered.
func (v *versionState) newestKnown() configapi.Version {
	newest := max(v.lastDecided, max(v.minVersion, 1)-1)
	for _, c := range []*candidateVersion{v.applying, v.pending} {
		if c != nil && c.cluster == v.cluster {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// mayFollow reports whether the node may apply versions of an update's cluster. It may if it follows that cluster or
// none, or if an operator has confirmed that the cluster replaces the node's cluster. A cluster that the node has left
// before also needs a newer version than the node knew when it left. Otherwise the node would switch back and forth
// between two clusters that replace each other.
func (v *versionState) mayFollow(u configapi.Update) bool {
	if v.cluster == "" || u.Cluster == v.cluster {
		return true
	}
	return slices.Contains(u.Replaces, v.cluster) && u.Version > v.formerClusters[u.Cluster]
}

// isOutdated reports whether an update is older than the node's last decision, so that its controller lags.
func (v *versionState) isOutdated(u configapi.Update) bool {
	return u.Cluster == v.cluster && u.Version < v.lastDecided
}

// switchCluster makes the node follow an update's cluster. The configuration in force remains until a version of the
// new cluster changes it.
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

// considerUpdate makes an update's version the pending one if the node may apply it and it is newer than all known
// versions.
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

// rejectForeign rejects a version of a foreign cluster, but only once if the same version arrives repeatedly.
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
	// Applied is left at 0: no version of that cluster is in force at the node.
	s.ackQueue.add(queuedAck{watchNumber: w.number, ack: configapi.Acknowledgement{Cluster: u.Cluster, Version: u.Version,
		Outcome: configapi.Rejected, Rejection: rejection}})
}

// applyPending starts to apply the pending version unless another one is being applied.
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
		// The controller omitted the configuration because it assumed that the node has applied it. The request of the
		// next watch tells the controller which version is applied.
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
		// The node has switched to another cluster in the meantime, so that the decision is not acknowledged.
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
