package configversion

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

// clusterHistory is the history of a cluster: which version set the service's configuration, and which clusters it
// replaces from which version on.
type clusterHistory struct {
	cluster        configapi.Cluster
	configVersions []int // by version, from 1: the version that set the service's configuration; 0: none
	invalid        map[int]bool
	replaces       map[configapi.Cluster]int // from which version on
}

func (h *clusterHistory) newest() int { return len(h.configVersions) }

// publish adds a version.
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

// update is the update of a controller that has the first n versions.
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

// sessionModel is a session between two clusters whose updates come late, twice and in any order.
type sessionModel struct {
	*driver
	clusters             []*clusterHistory
	appliedSettings      string                                  // the settings that the node has
	newestDecided        map[configapi.Cluster]configapi.Version // the newest version tried or answered
	followedClusters     []configapi.Cluster                     // those that were followed
	checkedDecisionCount int                                     // that were checked
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

// completeApply finishes the apply in progress, as a node would.
func (m *sessionModel) completeApply() {
	a := *m.applying
	history := m.cluster(a.Cluster)
	configVersion := history.configVersions[a.Version-1]
	if want := clusterConfig(a.Cluster, configapi.Version(configVersion)); string(a.Config.Settings) != string(want.Settings) {
		m.t.Fatalf("version %d of %s is tried with %s, want %s", a.Version, a.Cluster, a.Config.Settings, want.Settings)
	}
	if history.invalid[configVersion] {
		m.finishApply(invalidRejection)
		return
	}
	m.appliedSettings = string(a.Config.Settings)
	m.finishApply(nil)
}

// checkDecisions checks what holds after each event.
func (m *sessionModel) checkDecisions() {
	for _, a := range m.driver.decisions[m.checkedDecisionCount:] {
		if a.Rejection != nil && a.Rejection.Kind == configapi.RejectForeign {
			if a.Cluster == m.session.Cluster() && m.session.LastDecided() >= a.Version {
				m.t.Fatalf("it calls its own cluster %s foreign", a.Cluster)
			}
			continue
		}
		if a.Version <= m.newestDecided[a.Cluster] {
			m.t.Fatalf("it goes back from version %d of %s to %d", m.newestDecided[a.Cluster], a.Cluster, a.Version)
		}
		m.newestDecided[a.Cluster] = a.Version
		m.checkClusterSwitch(a)
		if a.Outcome == configapi.Applied && a.Applied != a.Version || a.Outcome == configapi.Rejected && a.Applied >= a.Version {
			m.t.Fatalf("it answers %+v", a)
		}
	}
	m.checkedDecisionCount = len(m.driver.decisions)
	if len(m.open) > maxOpening+1 {
		m.t.Fatalf("%d watches are open", len(m.open))
	}
}

// joined checks that a cluster is followed only if it is the first, or an operator has handed the one before to it.
func (m *sessionModel) checkClusterSwitch(a VersionDecided) {
	if n := len(m.followedClusters); n > 0 && m.followedClusters[n-1] != a.Cluster {
		fromVersion, confirmed := m.cluster(a.Cluster).replaces[m.followedClusters[n-1]]
		if !confirmed || int(a.Version) < fromVersion {
			m.t.Fatalf("it leaves %s for %s, which nobody has confirmed", m.followedClusters[n-1], a.Cluster)
		}
	}
	if n := len(m.followedClusters); n == 0 || m.followedClusters[n-1] != a.Cluster {
		m.followedClusters = append(m.followedClusters, a.Cluster)
	}
}

// deliverUntilIdle sends updates of one cluster until there is nothing left to do.
func (m *sessionModel) deliverUntilIdle(history *clusterHistory) {
	for range 200 {
		switch {
		case m.applying != nil:
			m.completeApply()
		case m.ack != nil:
			m.finishAck(true)
		case len(m.open) == 0:
			m.nextWatch(time.Minute)
		default:
			for id := range m.open {
				m.update(id, history.update(history.newest(), true))
			}
			m.advance(100 * ms)
		}
		m.checkDecisions()
	}
}

// Updates of two clusters come twice, late and in any order, watches end and acknowledgements get lost. The node never
// goes back to an older version, follows another cluster only on an operator's confirmation, applies what a version
// says, and in the end has applied and acknowledged the newest version.
func TestSessionNeverAppliesOlderVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSessionModel(t)
		anyWatch := func() uint64 {
			ids := []uint64{0} // a watch that is not there
			for id := range m.open {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "watch")
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				rapid.SampledFrom(m.clusters).Draw(t, "cluster").publish(rapid.Bool().Draw(t, "names"), rapid.IntRange(0, 4).Draw(t, "bad") == 0)
			},
			"hand over": func(t *rapid.T) {
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
				m.update(anyWatch(), history.update(n, rapid.IntRange(0, 9).Draw(t, "config") > 0))
			},
			"end": func(*rapid.T) { m.step(WatchEnded{anyWatch()}) },
			"reject": func(*rapid.T) {
				m.step(WatchRejected{anyWatch(), configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: threeControllers}})
			},
			"activity": func(t *rapid.T) { m.step(WatchActivity{anyWatch(), rapid.Bool().Draw(t, "part")}) },
			"time":     func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms) },
			"applied":  func(*rapid.T) { m.completeApplyIfAny() },
			"acked": func(t *rapid.T) {
				if m.ack != nil {
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

// checkFinalState sends updates of the followed cluster alone, and checks that its newest version is decided and acknowledged.
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
		m.t.Fatalf("it has answered %d of %s, the newest is %d", m.session.LastDecided(), history.cluster, history.newest())
	}
	if m.ack != nil || len(m.session.ackQueue.pending) > 0 {
		m.t.Fatalf("%d acknowledgements wait", len(m.session.ackQueue.pending))
	}
	applied := m.session.Applied()
	if applied == 0 || history.configVersions[applied-1] == 0 {
		return
	}
	if want := string(clusterConfig(history.cluster, configapi.Version(history.configVersions[applied-1])).Settings); m.appliedSettings != want {
		m.t.Fatalf("version %d of %s is said to be in force, which has %s; the node has %s", applied, history.cluster, want, m.appliedSettings)
	}
	if string(m.persisted.Config.Settings) != m.appliedSettings || m.persisted.Version != applied {
		m.t.Fatalf("persisted %+v, in force is %d with %s", m.persisted, applied, m.appliedSettings)
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
