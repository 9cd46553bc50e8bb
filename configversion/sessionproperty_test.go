package configversion

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

// clusterHistory is the history of a cluster: for each version, which version last set the service's configuration, and
// from which version on the cluster replaces other clusters.
type clusterHistory struct {
	cluster        configapi.Cluster
	configVersions []int // configVersions[v-1]: which version set the service's configuration as of version v; 0: none
	invalid        map[int]bool
	replaces       map[configapi.Cluster]int // the version from which on this cluster replaces the other
}

func (h *clusterHistory) newest() int { return len(h.configVersions) }

// publish adds a version. setsConfig: it sets the service's configuration; invalid: nodes reject that configuration.
func (h *clusterHistory) publish(setsConfig, invalid bool) {
	configVersion := 0
	if n := h.newest(); n > 0 {
		configVersion = h.configVersions[n-1]
	}
	if setsConfig {
		configVersion = h.newest() + 1
		h.invalid[configVersion] = invalid
	}
	h.configVersions = append(h.configVersions, configVersion)
}

// update returns the update from a controller that has the first n versions.
func (h *clusterHistory) update(n int, withConfig bool) configapi.Update {
	u := configapi.Update{Cluster: h.cluster, Version: configapi.Version(n), HasLeaderContact: true}
	for cluster, fromVersion := range h.replaces {
		if n >= fromVersion {
			u.Replaces = append(u.Replaces, cluster)
		}
	}
	if n == 0 {
		return u
	}
	u.ConfigVersion = configapi.Version(h.configVersions[n-1])
	if withConfig && u.ConfigVersion > 0 {
		u.Config = clusterConfig(h.cluster, u.ConfigVersion)
	}
	return u
}

func clusterConfig(cluster configapi.Cluster, configVersion configapi.Version) *configapi.ServiceConfig {
	return &configapi.ServiceConfig{Settings: fmt.Appendf(nil, `"%s%d"`, cluster, configVersion)}
}

// sessionModel is a session that receives updates of two clusters, late, repeatedly and in any order.
type sessionModel struct {
	*driver
	clusters             []*clusterHistory
	appliedSettings      string                                  // the settings in force at the node
	newestDecided        map[configapi.Cluster]configapi.Version // the newest version applied or rejected
	followedClusters     []configapi.Cluster                     // in the order in which the node followed them
	checkedDecisionCount int                                     // how many of driver.decisions were checked
}

func newSessionModel(t *rapid.T) *sessionModel {
	m := &sessionModel{appliedSettings: "file", newestDecided: map[configapi.Cluster]configapi.Version{}}
	for _, name := range []configapi.Cluster{"x", "y"} {
		m.clusters = append(m.clusters, &clusterHistory{cluster: name, invalid: map[int]bool{}, replaces: map[configapi.Cluster]int{}})
	}
	m.driver = newDriver(t, SessionOptions{Controllers: addressesOf(threeControllers), Seed: rapid.Uint64().Draw(t, "seed")})
	return m
}

func (m *sessionModel) cluster(name configapi.Cluster) *clusterHistory {
	return m.clusters[slices.IndexFunc(m.clusters, func(h *clusterHistory) bool { return h.cluster == name })]
}

// completeApply ends the apply in progress as a node would: it rejects invalid configurations and applies the others.
func (m *sessionModel) completeApply() {
	a := *m.applying
	history := m.cluster(a.Cluster)
	configVersion := history.configVersions[a.Version-1]
	if want := clusterConfig(a.Cluster, configapi.Version(configVersion)); string(a.Config.Settings) != string(want.Settings) {
		m.t.Fatalf("version %d of %s is applied with settings %s, want %s", a.Version, a.Cluster, a.Config.Settings, want.Settings)
	}
	if history.invalid[configVersion] {
		m.finishApply(invalidConfigRejection)
		return
	}
	m.appliedSettings = string(a.Config.Settings)
	m.finishApply(nil)
}

// checkDecisions checks the decisions since the last call and the number of open watches. It is called after each
// event.
func (m *sessionModel) checkDecisions() {
	for _, a := range m.driver.decisions[m.checkedDecisionCount:] {
		if a.Rejection != nil && a.Rejection.Kind == configapi.RejectForeign {
			if a.Cluster == m.session.Cluster() && m.session.LastDecided() >= a.Version {
				m.t.Fatalf("the session follows cluster %s and rejects a version of it as foreign", a.Cluster)
			}
			continue
		}
		if a.Version <= m.newestDecided[a.Cluster] {
			m.t.Fatalf("after version %d of %s, the session decides on version %d, which is not newer", m.newestDecided[a.Cluster], a.Cluster, a.Version)
		}
		m.newestDecided[a.Cluster] = a.Version
		m.checkClusterSwitch(a)
		if a.Outcome == configapi.Applied && a.Applied != a.Version || a.Outcome == configapi.Rejected && a.Applied >= a.Version {
			m.t.Fatalf("outcome and applied version contradict each other: %+v", a)
		}
	}
	m.checkedDecisionCount = len(m.driver.decisions)
	if len(m.openWatches) > maxOpening+1 {
		m.t.Fatalf("%d watches are open", len(m.openWatches))
	}
}

// checkClusterSwitch checks that the session switches to another cluster only after an operator has confirmed that it
// replaces the current one. The first cluster needs no confirmation.
func (m *sessionModel) checkClusterSwitch(a VersionDecided) {
	if n := len(m.followedClusters); n > 0 && m.followedClusters[n-1] != a.Cluster {
		fromVersion, confirmed := m.cluster(a.Cluster).replaces[m.followedClusters[n-1]]
		if !confirmed || int(a.Version) < fromVersion {
			m.t.Fatalf("the session switches from %s to %s without an operator's confirmation", m.followedClusters[n-1], a.Cluster)
		}
	}
	if n := len(m.followedClusters); n == 0 || m.followedClusters[n-1] != a.Cluster {
		m.followedClusters = append(m.followedClusters, a.Cluster)
	}
}

// deliverUntilIdle sends the newest update of one cluster repeatedly, and completes applies and acknowledgements, for
// long enough that nothing is left to do.
func (m *sessionModel) deliverUntilIdle(history *clusterHistory) {
	for range 200 {
		switch {
		case m.applying != nil:
			m.completeApply()
		case m.ackInFlight != nil:
			m.finishAck(true)
		case len(m.openWatches) == 0:
			m.nextWatch(time.Minute)
		default:
			for id := range m.openWatches {
				m.deliverUpdate(id, history.update(history.newest(), true))
			}
			m.advance(100 * ms)
		}
		m.checkDecisions()
	}
}

// Updates of two clusters arrive late, repeatedly and in any order, watches end, and acknowledgements are lost. The
// node never reverts to an older version, switches to another cluster only on an operator's confirmation, applies the
// configuration that belongs to a version, and in the end has decided on and acknowledged the newest version.
func TestSessionNeverAppliesOlderVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSessionModel(t)
		anyWatch := func() uint64 {
			ids := []uint64{0} // a watch that does not exist
			for id := range m.openWatches {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "watch")
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				rapid.SampledFrom(m.clusters).Draw(t, "cluster").publish(rapid.Bool().Draw(t, "names"), rapid.IntRange(0, 4).Draw(t, "bad") == 0)
			},
			"operator confirms replacement": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "to")
				to, from := m.clusters[i], m.clusters[1-i]
				if _, isConfirmed := to.replaces[from.cluster]; !isConfirmed {
					to.publish(false, false)
					to.replaces[from.cluster] = to.newest()
				}
			},
			"update": func(t *rapid.T) {
				history := rapid.SampledFrom(m.clusters).Draw(t, "cluster")
				n := history.newest()
				if rapid.Bool().Draw(t, "late") {
					n = rapid.IntRange(0, n).Draw(t, "version")
				}
				m.deliverUpdate(anyWatch(), history.update(n, rapid.IntRange(0, 9).Draw(t, "config") > 0))
			},
			"end": func(*rapid.T) { m.step(WatchEnded{anyWatch()}) },
			"reject": func(*rapid.T) {
				m.step(WatchRejected{anyWatch(), configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: threeControllers}})
			},
			"activity": func(t *rapid.T) { m.step(WatchActivity{anyWatch(), rapid.Bool().Draw(t, "part")}) },
			"time":     func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms) },
			"applied":  func(*rapid.T) { m.completeApplyIfAny() },
			"acked": func(t *rapid.T) {
				if m.ackInFlight != nil {
					m.finishAck(rapid.Bool().Draw(t, "accepted"))
				}
			},
			"": func(*rapid.T) { m.checkDecisions() },
		})
		m.checkFinalState()
	})
}

func (m *sessionModel) completeApplyIfAny() {
	if m.applying != nil {
		m.completeApply()
	}
}

// checkFinalState sends only updates of the cluster that the node follows, and checks that its newest version is
// decided and acknowledged.
func (m *sessionModel) checkFinalState() {
	m.completeApplyIfAny()
	history := m.clusters[0]
	if name := m.session.Cluster(); name != "" {
		history = m.cluster(name)
	}
	m.deliverUntilIdle(history)
	if history.newest() == 0 {
		return
	}
	if int(m.session.LastDecided()) != history.newest() {
		m.t.Fatalf("version %d of %s is the last one decided, the newest is %d", m.session.LastDecided(), history.cluster, history.newest())
	}
	if m.ackInFlight != nil || len(m.session.ackQueue.pending) > 0 {
		m.t.Fatalf("%d acknowledgements are still pending", len(m.session.ackQueue.pending))
	}
	applied := m.session.Applied()
	if applied == 0 || history.configVersions[applied-1] == 0 {
		return
	}
	if want := string(clusterConfig(history.cluster, configapi.Version(history.configVersions[applied-1])).Settings); m.appliedSettings != want {
		m.t.Fatalf("version %d of %s is reported to be in force, which has settings %s; the node has settings %s", applied, history.cluster, want, m.appliedSettings)
	}
	if string(m.persisted.Config.Settings) != m.appliedSettings || m.persisted.Version != applied {
		m.t.Fatalf("persisted %+v, but version %d with settings %s is in force", m.persisted, applied, m.appliedSettings)
	}
	newest := slices.MaxFunc(m.acks, func(x, y configapi.Acknowledgement) int {
		return int(x.Version) - int(y.Version) + 1000*(boolInt(x.Cluster == history.cluster)-boolInt(y.Cluster == history.cluster))
	})
	if int(newest.Version) != history.newest() || newest.Applied != applied {
		t := m.t
		t.Fatalf("the newest acknowledgement is %+v", newest)
	}
}

func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
