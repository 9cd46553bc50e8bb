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

func (p *clusterHistory) newest() int { return len(p.configVersions) }

// publish adds a version.
func (p *clusterHistory) publish(names, invalid bool) {
	configVersion := 0
	if n := p.newest(); n > 0 {
		configVersion = p.configVersions[n-1]
	}
	if names {
		configVersion = p.newest() + 1
		p.invalid[configVersion] = invalid
	}
	p.configVersions = append(p.configVersions, configVersion)
}

// update is the update of a controller that has the first n versions.
func (p *clusterHistory) update(n int, withConfig bool) configapi.Update {
	u := configapi.Update{Cluster: p.cluster, Version: configapi.Version(n), HasLeaderContact: true}
	for cluster, from := range p.replaces {
		if n >= from {
			u.Replaces = append(u.Replaces, cluster)
		}
	}
	if n == 0 {
		return u
	}
	u.ConfigVersion = configapi.Version(p.configVersions[n-1])
	if withConfig && u.ConfigVersion > 0 {
		u.Config = clusterConfig(p.cluster, u.ConfigVersion)
	}
	return u
}

func clusterConfig(cluster configapi.Cluster, changed configapi.Version) *configapi.ServiceConfig {
	return &configapi.ServiceConfig{Settings: fmt.Appendf(nil, `"%s%d"`, cluster, changed)}
}

// sessionModel is a session between two clusters whose updates come late, twice and in any order.
type sessionModel struct {
	*driver
	clusters         []*clusterHistory
	appliedSettings  string                                  // the settings that the node has
	newestDecided    map[configapi.Cluster]configapi.Version // the newest version tried or answered
	followed         []configapi.Cluster                     // those that were followed
	checkedDecisions int                                     // that were checked
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
	return m.clusters[slices.IndexFunc(m.clusters, func(p *clusterHistory) bool { return p.cluster == name })]
}

// finish finishes the apply in progress, as a node would.
func (m *sessionModel) finish() {
	a := *m.applying
	p := m.cluster(a.Cluster)
	changed := p.configVersions[a.Version-1]
	if want := clusterConfig(a.Cluster, configapi.Version(changed)); string(a.Config.Settings) != string(want.Settings) {
		m.t.Fatalf("version %d of %s is tried with %s, want %s", a.Version, a.Cluster, a.Config.Settings, want.Settings)
	}
	if p.invalid[changed] {
		m.finishApply(invalidRejection)
		return
	}
	m.appliedSettings = string(a.Config.Settings)
	m.finishApply(nil)
}

// check checks what holds after each event.
func (m *sessionModel) check() {
	for _, a := range m.driver.decisions[m.checkedDecisions:] {
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
		m.checkJoined(a)
		if a.Outcome == configapi.Applied && a.Applied != a.Version || a.Outcome == configapi.Rejected && a.Applied >= a.Version {
			m.t.Fatalf("it answers %+v", a)
		}
	}
	m.checkedDecisions = len(m.driver.decisions)
	if len(m.open) > maxOpening+1 {
		m.t.Fatalf("%d watches are open", len(m.open))
	}
}

// joined checks that a cluster is followed only if it is the first, or an operator has handed the one before to it.
func (m *sessionModel) checkJoined(a VersionDecided) {
	if n := len(m.followed); n > 0 && m.followed[n-1] != a.Cluster {
		from, confirmed := m.cluster(a.Cluster).replaces[m.followed[n-1]]
		if !confirmed || int(a.Version) < from {
			m.t.Fatalf("it leaves %s for %s, which nobody has confirmed", m.followed[n-1], a.Cluster)
		}
	}
	if n := len(m.followed); n == 0 || m.followed[n-1] != a.Cluster {
		m.followed = append(m.followed, a.Cluster)
	}
}

// settle sends updates of one cluster until there is nothing left to do.
func (m *sessionModel) settle(p *clusterHistory) {
	for range 200 {
		switch {
		case m.applying != nil:
			m.finish()
		case m.ack != nil:
			m.finishAck(true)
		case len(m.open) == 0:
			m.nextWatch(time.Minute)
		default:
			for id := range m.open {
				m.update(id, p.update(p.newest(), true))
			}
			m.advance(100 * ms)
		}
		m.check()
	}
}

// Updates of two clusters come twice, late and in any order, watches end and acknowledgements get lost. The node never
// goes back to an older version, follows another cluster only on an operator's confirmation, applies what a version
// says, and in the end has applied and acknowledged the newest version.
func TestSessionNeverGoesBack(t *testing.T) {
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
				if _, is := to.replaces[from.cluster]; !is {
					to.publish(false, false)
					to.replaces[from.cluster] = to.newest()
				}
			},
			"update": func(t *rapid.T) {
				p := rapid.SampledFrom(m.clusters).Draw(t, "cluster")
				n := p.newest()
				if rapid.Bool().Draw(t, "late") {
					n = rapid.IntRange(0, n).Draw(t, "version")
				}
				m.update(anyWatch(), p.update(n, rapid.IntRange(0, 9).Draw(t, "config") > 0))
			},
			"end": func(*rapid.T) { m.step(WatchEnded{anyWatch()}) },
			"reject": func(*rapid.T) {
				m.step(WatchRejected{anyWatch(), configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: threeControllers}})
			},
			"activity": func(t *rapid.T) { m.step(WatchActivity{anyWatch(), rapid.Bool().Draw(t, "part")}) },
			"time":     func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms) },
			"applied":  func(*rapid.T) { m.finishIfAny() },
			"acked": func(t *rapid.T) {
				if m.ack != nil {
					m.finishAck(rapid.Bool().Draw(t, "accepted"))
				}
			},
			"": func(*rapid.T) { m.check() },
		})
		m.checkEnd()
	})
}

func (m *sessionModel) finishIfAny() {
	if m.applying != nil {
		m.finish()
	}
}

// checkEnd sends updates of the followed cluster alone, and checks that its newest version is decided and acknowledged.
func (m *sessionModel) checkEnd() {
	m.finishIfAny()
	p := m.clusters[0]
	if name := m.session.Cluster(); name != "" {
		p = m.cluster(name)
	}
	m.settle(p)
	if p.newest() == 0 {
		return
	}
	if int(m.session.LastDecided()) != p.newest() {
		m.t.Fatalf("it has answered %d of %s, the newest is %d", m.session.LastDecided(), p.cluster, p.newest())
	}
	if m.ack != nil || len(m.session.ackQueue.pending) > 0 {
		m.t.Fatalf("%d acknowledgements wait", len(m.session.ackQueue.pending))
	}
	applied := m.session.Applied()
	if applied == 0 || p.configVersions[applied-1] == 0 {
		return
	}
	if want := string(clusterConfig(p.cluster, configapi.Version(p.configVersions[applied-1])).Settings); m.appliedSettings != want {
		m.t.Fatalf("version %d of %s is said to be in force, which has %s; the node has %s", applied, p.cluster, want, m.appliedSettings)
	}
	if string(m.persisted.Config.Settings) != m.appliedSettings || m.persisted.Version != applied {
		m.t.Fatalf("persisted %+v, in force is %d with %s", m.persisted, applied, m.appliedSettings)
	}
	newest := slices.MaxFunc(m.acks, func(x, y configapi.Acknowledgement) int {
		return int(x.Version) - int(y.Version) + 1000*(boolInt(x.Cluster == p.cluster)-boolInt(y.Cluster == p.cluster))
	})
	if int(newest.Version) != p.newest() || newest.Applied != applied {
		t := m.t
		t.Fatalf("the newest acknowledgement is %+v", newest)
	}
}

func boolInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
