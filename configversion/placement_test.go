package configversion

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

// placementModel simulates a cluster of controllers and its nodes in rounds. In each round, nodes without a session
// request one, and nodes that were asked to migrate do so. Then all controllers read each other's reports. During a
// round, the reports are those of the round before.
type placementModel struct {
	controllers          []configapi.ControllerAddress
	placements           []*Placement
	down                 []bool
	nodes                []modelNode
	sessionCounts        []int // by controller
	migrations           int   // requested since the last reset
	maxMigrationsInRound int   // the maximum by one controller in one round
	peakSessions         int   // the maximum at one controller
}

type modelNode struct {
	region, zone string
	controller   int // index; -1: none
	migrateTo    int // index of the target controller; -1: none
	rejections   uint64
}

const (
	modelMaxSessions        = 600
	modelMigrationsPerRound = 10
)

func newPlacementModel(locations []configapi.ControllerAddress, maxSessions int) *placementModel {
	m := &placementModel{}
	for i, location := range locations {
		location.Address = fmt.Sprintf("10.0.0.%d:7400", i+1)
		m.controllers = append(m.controllers, location)
		m.placements = append(m.placements, NewPlacement(location, maxSessions, modelMigrationsPerRound))
		m.down = append(m.down, false)
		m.sessionCounts = append(m.sessionCounts, 0)
	}
	return m
}

func (m *placementModel) addNodes(count int, region, zone string) {
	for range count {
		m.nodes = append(m.nodes, modelNode{region: region, zone: zone, controller: -1, migrateTo: -1})
	}
}

func (m *placementModel) sessions(controller int) int { return m.sessionCounts[controller] }

// setController ends a node's session, if any, and opens one at a controller; -1: none.
func (m *placementModel) setController(n *modelNode, controller int) {
	if n.controller >= 0 {
		m.sessionCounts[n.controller]--
	}
	n.controller = controller
	if controller >= 0 {
		m.sessionCounts[controller]++
		m.peakSessions = max(m.peakSessions, m.sessionCounts[controller])
	}
}

func (m *placementModel) index(address string) int {
	return slices.IndexFunc(m.controllers, func(controller configapi.ControllerAddress) bool { return controller.Address == address })
}

// requestSession lets a node try up to three controllers until one admits it. If none does, the node tries again in the
// next round.
func (m *placementModel) requestSession(n *modelNode, firstController int) {
	target := firstController
	for range 3 {
		if m.down[target] {
			target = m.preferredController(n, target+1)
			continue
		}
		m.placements[target].SetSessions(m.sessions(target))
		admitted, alternatives := m.placements[target].Admit(SessionRequest{Region: n.region, Zone: n.zone, WatchRejections: n.rejections})
		if admitted {
			m.setController(n, target)
			n.rejections = 0
			return
		}
		n.rejections++
		if len(alternatives) == 0 {
			return
		}
		target = m.index(alternatives[0].Address)
	}
}

// preferredController returns the controller that a node tries first: one in its region if any is available, else any
// controller. Different values of spread select different controllers.
func (m *placementModel) preferredController(n *modelNode, spread int) int {
	var sameRegion []int
	for i, controller := range m.controllers {
		if controller.Region == n.region && !m.down[i] {
			sameRegion = append(sameRegion, i)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion[spread%len(sameRegion)]
	}
	return spread % len(m.controllers)
}

func (m *placementModel) runRound() {
	for i := range m.nodes {
		n := &m.nodes[i]
		switch {
		case n.controller >= 0 && m.down[n.controller]:
			m.setController(n, -1)
			n.migrateTo = -1
		case n.controller >= 0 && n.migrateTo >= 0:
			m.requestSession(n, n.migrateTo) // a node opens the new watch before it ends the old one
			n.migrateTo = -1
		}
		if n.controller < 0 {
			m.requestSession(n, m.preferredController(n, i))
		}
	}
	m.exchangeReports()
}

func (m *placementModel) exchangeReports() {
	for i, placement := range m.placements {
		if m.down[i] {
			continue
		}
		var loads []ControllerLoad
		for j, controller := range m.controllers {
			if i != j {
				loads = append(loads, ControllerLoad{Controller: controller, Sessions: m.sessions(j), Available: !m.down[j]})
			}
		}
		placement.SetSessions(m.sessions(i))
		placement.SetOtherControllers(loads)
	}
	for i, placement := range m.placements {
		if m.down[i] {
			continue
		}
		var candidates []MigrationCandidate
		for id, node := range m.nodes {
			if node.controller == i {
				candidates = append(candidates, MigrationCandidate{ID: uint64(id), Region: node.region, Zone: node.zone})
			}
		}
		planned := placement.PlanMigrations(candidates)
		m.migrations += len(planned)
		m.maxMigrationsInRound = max(m.maxMigrationsInRound, len(planned))
		for _, migration := range planned {
			m.nodes[migration.ID].migrateTo = m.index(migration.Target.Address)
		}
	}
}

func (m *placementModel) connected() (count int) {
	for _, node := range m.nodes {
		if node.controller >= 0 {
			count++
		}
	}
	return count
}

// checkEven returns an error unless all available controllers are within the tolerance of the even share.
func (m *placementModel) checkEven() error {
	available := 0
	for _, down := range m.down {
		if !down {
			available++
		}
	}
	share := (m.connected() + available - 1) / available
	for i := range m.controllers {
		if m.down[i] {
			continue
		}
		if n := m.sessions(i); n < share-shareTolerance(share) || n > share+shareTolerance(share) {
			return fmt.Errorf("controller %d has %d sessions, the even share is %d", i, n, share)
		}
	}
	return nil
}

// controllersInFourRegions returns seven controllers in four regions, the size of the intended deployment.
func controllersInFourRegions() []configapi.ControllerAddress {
	return []configapi.ControllerAddress{{Region: "a", Zone: "a1"}, {Region: "a", Zone: "a2"}, {Region: "b", Zone: "b1"}, {Region: "b", Zone: "b2"},
		{Region: "c", Zone: "c1"}, {Region: "c", Zone: "c2"}, {Region: "d", Zone: "d1"}}
}

func addNodesInFourRegions(m *placementModel, perZone int) {
	for _, region := range []string{"a", "b", "c", "d"} {
		for zone := range 4 {
			m.addNodes(perZone, region, fmt.Sprintf("%s%d", region, zone+1))
		}
	}
}

// convergenceRounds is the number of rounds within which the session counts must become even.
const convergenceRounds = 60 // 30 s at two reports per second

func checkConvergence(t interface{ Fatalf(string, ...any) }, m *placementModel) {
	for range convergenceRounds {
		m.runRound()
	}
	if m.connected() != len(m.nodes) {
		t.Fatalf("%d of %d nodes have a session", m.connected(), len(m.nodes))
	}
	if err := m.checkEven(); err != nil {
		t.Fatalf("%v", err)
	}
	m.migrations = 0
	for range 5 {
		m.runRound()
	}
	if m.migrations > 0 {
		t.Fatalf("%d sessions migrate after the session counts are even", m.migrations)
	}
}

// All nodes of a fleet start at the same time, before the controllers know each other's load. All nodes have a session
// after one round, and the session counts become even.
func TestPlacementWhenAllNodesStartAtOnce(t *testing.T) {
	m := newPlacementModel(controllersInFourRegions(), modelMaxSessions)
	m.exchangeReports()
	addNodesInFourRegions(m, 119)
	m.runRound()
	if m.connected() != len(m.nodes) {
		t.Errorf("after the first round %d of %d nodes have a session", m.connected(), len(m.nodes))
	}
	checkConvergence(t, m)
	if m.peakSessions > modelMaxSessions {
		t.Errorf("a controller had %d sessions, its limit is %d", m.peakSessions, modelMaxSessions)
	}
}

// All nodes know only the same single controller. It does not exceed its limit, and the others get their share.
func TestPlacementWhenNodesKnowOneController(t *testing.T) {
	locations := make([]configapi.ControllerAddress, 7)
	locations[0] = configapi.ControllerAddress{Region: "a"}
	m := newPlacementModel(locations, modelMaxSessions)
	m.exchangeReports()
	m.addNodes(1900, "a", "a1")
	checkConvergence(t, m)
	if m.peakSessions > modelMaxSessions {
		t.Errorf("a controller had %d sessions, its limit is %d", m.peakSessions, modelMaxSessions)
	}
}

// A controller that recovers gets its share at a bounded rate. Not many more sessions migrate than it gets.
func TestPlacementAfterControllerRecovers(t *testing.T) {
	m := newPlacementModel(controllersInFourRegions(), modelMaxSessions)
	m.exchangeReports()
	addNodesInFourRegions(m, 119)
	checkConvergence(t, m)
	m.down[6] = true
	checkConvergence(t, m)
	m.down[6] = false
	m.migrations, m.maxMigrationsInRound = 0, 0
	for range convergenceRounds {
		m.runRound()
	}
	if err := m.checkEven(); err != nil {
		t.Error(err)
	}
	recovered := m.sessions(6)
	if m.migrations > recovered*12/10 {
		t.Errorf("%d sessions migrated to give the recovered controller %d", m.migrations, recovered)
	}
	if m.maxMigrationsInRound > modelMigrationsPerRound {
		t.Errorf("a controller migrated %d sessions in one round, the limit is %d", m.maxMigrationsInRound, modelMigrationsPerRound)
	}
}

// Three of seven controllers fail. The other four admit all nodes without exceeding their limits.
func TestPlacementWithThreeControllersDown(t *testing.T) {
	m := newPlacementModel(controllersInFourRegions(), modelMaxSessions)
	m.exchangeReports()
	addNodesInFourRegions(m, 119)
	checkConvergence(t, m)
	m.down[1], m.down[3], m.down[6] = true, true, true
	m.exchangeReports()
	checkConvergence(t, m)
	if m.peakSessions > modelMaxSessions {
		t.Errorf("a controller had %d sessions, its limit is %d", m.peakSessions, modelMaxSessions)
	}
}

// Nodes get a controller in their region as far as the even share allows, because regions are often cut off from each
// other.
func TestPlacementPrefersRegionOfNode(t *testing.T) {
	m := newPlacementModel([]configapi.ControllerAddress{{Region: "a"}, {Region: "b"}, {Region: "c"}}, modelMaxSessions)
	m.exchangeReports()
	for _, region := range []string{"a", "b", "c"} {
		m.addNodes(100, region, region+"1")
	}
	checkConvergence(t, m)
	for i, node := range m.nodes {
		if m.controllers[node.controller].Region != node.region {
			t.Fatalf("node %d of region %s is at %+v, although its region has capacity", i, node.region, m.controllers[node.controller])
		}
	}
}

// A controller that can reach no other one admits nodes up to its limit, because it cannot redirect them.
func TestIsolatedControllerAdmitsUpToLimit(t *testing.T) {
	p := NewPlacement(configapi.ControllerAddress{Address: "127.0.0.1:7400"}, 3, 1)
	p.SetOtherControllers([]ControllerLoad{{Controller: configapi.ControllerAddress{Address: "127.0.0.1:7401"}, Available: false}})
	for sessions := range 3 {
		p.SetSessions(sessions)
		if admitted, _ := p.Admit(SessionRequest{}); !admitted {
			t.Errorf("rejected with %d of at most 3 sessions and no other controller available", sessions)
		}
	}
	p.SetSessions(3)
	if admitted, alternatives := p.Admit(SessionRequest{}); admitted || len(alternatives) > 0 {
		t.Errorf("with 3 of at most 3 sessions: admitted %v, alternatives %v", admitted, alternatives)
	}
}

// Many nodes are redirected between two reports. They are spread according to the load of the other controllers, and
// not all sent to the one that had the fewest sessions in the report.
func TestPlacementSpreadsRedirectedNodes(t *testing.T) {
	p := NewPlacement(configapi.ControllerAddress{Address: "a:1"}, 10, 1)
	p.SetSessions(10)
	p.SetOtherControllers([]ControllerLoad{
		{Controller: configapi.ControllerAddress{Address: "b:1"}, Sessions: 2, Available: true},
		{Controller: configapi.ControllerAddress{Address: "c:1"}, Sessions: 4, Available: true},
		{Controller: configapi.ControllerAddress{Address: "d:1"}, Sessions: 0, Available: false}})
	sent := map[string]int{}
	for range 10 {
		admitted, alternatives := p.Admit(SessionRequest{})
		if admitted || len(alternatives) != 2 {
			t.Fatalf("admitted %v, alternatives %v", admitted, alternatives)
		}
		sent[alternatives[0].Address]++
	}
	if sent["b:1"] != 6 || sent["c:1"] != 4 {
		t.Errorf("the ten nodes were sent to %v; want 6 to b and 4 to c, so that both have 8", sent)
	}
}

// For any number of nodes and controllers, also after a controller fails and recovers: all nodes get a session if there
// is capacity, no controller exceeds its limit, the session counts become even, and then no session migrates any more.
func TestPlacementConverges(t *testing.T) {
	const maxSessions = 40
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"a", "b", "c", "d"}
		count := rapid.IntRange(1, 7).Draw(t, "controllers")
		var locations []configapi.ControllerAddress
		for range count {
			locations = append(locations, configapi.ControllerAddress{Region: rapid.SampledFrom(regions).Draw(t, "region")})
		}
		m := newPlacementModel(locations, maxSessions)
		m.exchangeReports()
		for _, region := range regions {
			m.addNodes(rapid.IntRange(0, 6*count).Draw(t, "nodes"), region, region+"1")
		}
		m.nodes = m.nodes[:min(len(m.nodes), (maxSessions-4)*max(1, count-1))] // leaves enough capacity if one controller fails
		checkConvergence(t, m)
		if count > 1 && rapid.Bool().Draw(t, "one fails and recovers") {
			failed := rapid.IntRange(0, count-1).Draw(t, "gone")
			m.down[failed] = true
			m.exchangeReports()
			checkConvergence(t, m)
			m.down[failed] = false
			checkConvergence(t, m)
		}
		if m.peakSessions > maxSessions {
			t.Fatalf("a controller had %d sessions, its limit is %d", m.peakSessions, maxSessions)
		}
	})
}
