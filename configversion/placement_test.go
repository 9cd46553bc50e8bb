package configversion

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

// placementModel is a cluster of controllers and nodes, with time in rounds: in each, nodes without a session ask for
// one, sessions that were asked to move do, and then all controllers read each other's load. Loads are stale by a round.
type placementModel struct {
	endpoints []configapi.Endpoint
	rules     []*Placement
	down      []bool
	nodes     []modelNode
	open      []int // sessions of each controller
	moves     int   // asked for since the last reset
	mostMoves int   // by one controller in one round
	mostOpen  int   // at one controller
}

type modelNode struct {
	region, zone string
	at           int // controller; -1: none
	moveTo       int // -1: nowhere
	refused      uint64
}

const (
	modelLimit         = 600
	modelMovesPerRound = 10
)

func newPlacementModel(places []configapi.Endpoint, limit int) *placementModel {
	m := &placementModel{}
	for i, place := range places {
		place.Address = fmt.Sprintf("10.0.0.%d:7400", i+1)
		m.endpoints = append(m.endpoints, place)
		m.rules = append(m.rules, NewPlacement(place, limit, modelMovesPerRound))
		m.down = append(m.down, false)
		m.open = append(m.open, 0)
	}
	return m
}

func (m *placementModel) addNodes(count int, region, zone string) {
	for range count {
		m.nodes = append(m.nodes, modelNode{region: region, zone: zone, at: -1, moveTo: -1})
	}
}

func (m *placementModel) sessions(controller int) int { return m.open[controller] }

// attach has a node end its session and have one at another controller; -1: none.
func (m *placementModel) attach(n *modelNode, controller int) {
	if n.at >= 0 {
		m.open[n.at]--
	}
	n.at = controller
	if controller >= 0 {
		m.open[controller]++
		m.mostOpen = max(m.mostOpen, m.open[controller])
	}
}

func (m *placementModel) index(address string) int {
	return slices.IndexFunc(m.endpoints, func(e configapi.Endpoint) bool { return e.Address == address })
}

// ask has a node ask controllers until one lets it in or three have refused: then it tries again in the next round.
func (m *placementModel) ask(n *modelNode, first int) {
	target := first
	for range 3 {
		if m.down[target] {
			target = m.ownPlace(n, target+1)
			continue
		}
		m.rules[target].SetSessions(m.sessions(target))
		admitted, elsewhere := m.rules[target].Admit(SessionRequest{Region: n.region, Zone: n.zone, WatchRejections: n.refused})
		if admitted {
			m.attach(n, target)
			n.refused = 0
			return
		}
		n.refused++
		if len(elsewhere) == 0 {
			return
		}
		target = m.index(elsewhere[0].Address)
	}
}

// ownPlace is the controller that a node asks first: one of its region, if there is one, else any; spread picks.
func (m *placementModel) ownPlace(n *modelNode, spread int) int {
	var own []int
	for i, endpoint := range m.endpoints {
		if endpoint.Region == n.region && !m.down[i] {
			own = append(own, i)
		}
	}
	if len(own) > 0 {
		return own[spread%len(own)]
	}
	return spread % len(m.endpoints)
}

func (m *placementModel) round() {
	for i := range m.nodes {
		n := &m.nodes[i]
		switch {
		case n.at >= 0 && m.down[n.at]:
			m.attach(n, -1)
			n.moveTo = -1
		case n.at >= 0 && n.moveTo >= 0:
			m.ask(n, n.moveTo) // it opens the new watch before it ends the old one
			n.moveTo = -1
		}
		if n.at < 0 {
			m.ask(n, m.ownPlace(n, i))
		}
	}
	m.readLoads()
}

func (m *placementModel) readLoads() {
	for i, rules := range m.rules {
		if m.down[i] {
			continue
		}
		var peers []PeerLoad
		for j, endpoint := range m.endpoints {
			if i != j {
				peers = append(peers, PeerLoad{Endpoint: endpoint, Sessions: m.sessions(j), Available: !m.down[j]})
			}
		}
		rules.SetSessions(m.sessions(i))
		rules.SetPeers(peers)
	}
	for i, rules := range m.rules {
		if m.down[i] {
			continue
		}
		var own []MigrationCandidate
		for id, node := range m.nodes {
			if node.at == i {
				own = append(own, MigrationCandidate{ID: uint64(id), Region: node.region, Zone: node.zone})
			}
		}
		moves := rules.PlanMigrations(own)
		m.moves += len(moves)
		m.mostMoves = max(m.mostMoves, len(moves))
		for _, move := range moves {
			m.nodes[move.ID].moveTo = m.index(move.Target.Address)
		}
	}
}

func (m *placementModel) connected() (count int) {
	for _, node := range m.nodes {
		if node.at >= 0 {
			count++
		}
	}
	return count
}

// even says whether all running controllers are within the tolerance of the even share.
func (m *placementModel) even() error {
	up := 0
	for _, down := range m.down {
		if !down {
			up++
		}
	}
	share := (m.connected() + up - 1) / up
	for i := range m.endpoints {
		if m.down[i] {
			continue
		}
		if n := m.sessions(i); n < share-shareTolerance(share) || n > share+shareTolerance(share) {
			return fmt.Errorf("controller %d has %d sessions, the share is %d", i, n, share)
		}
	}
	return nil
}

// fourRegions are seven controllers in four regions, as the target has them.
func fourRegions() []configapi.Endpoint {
	return []configapi.Endpoint{{Region: "a", Zone: "a1"}, {Region: "a", Zone: "a2"}, {Region: "b", Zone: "b1"}, {Region: "b", Zone: "b2"},
		{Region: "c", Zone: "c1"}, {Region: "c", Zone: "c2"}, {Region: "d", Zone: "d1"}}
}

func addFourRegions(m *placementModel, perZone int) {
	for _, region := range []string{"a", "b", "c", "d"} {
		for zone := range 4 {
			m.addNodes(perZone, region, fmt.Sprintf("%s%d", region, zone+1))
		}
	}
}

const settleRounds = 60 // 30 s at two readings a second

func settle(t interface{ Fatalf(string, ...any) }, m *placementModel) {
	for range settleRounds {
		m.round()
	}
	if m.connected() != len(m.nodes) {
		t.Fatalf("%d of %d nodes have a session", m.connected(), len(m.nodes))
	}
	if err := m.even(); err != nil {
		t.Fatalf("%v", err)
	}
	m.moves = 0
	for range 5 {
		m.round()
	}
	if m.moves > 0 {
		t.Fatalf("%d sessions still move after the shares are even", m.moves)
	}
}

// 1,904 nodes that arrive at the same time all have a session after one round, and the shares get even.
func TestPlacementOfAllNodesAtOnce(t *testing.T) {
	m := newPlacementModel(fourRegions(), modelLimit)
	m.readLoads()
	addFourRegions(m, 119)
	m.round()
	if m.connected() != len(m.nodes) {
		t.Errorf("after the first round %d of %d nodes have a session", m.connected(), len(m.nodes))
	}
	settle(t, m)
	if m.mostOpen > modelLimit {
		t.Errorf("a controller had %d sessions, its limit is %d", m.mostOpen, modelLimit)
	}
}

// All nodes know one controller only: its limit holds, and the others get their share.
func TestPlacementWithOneAddressKnown(t *testing.T) {
	places := make([]configapi.Endpoint, 7)
	places[0] = configapi.Endpoint{Region: "a"}
	m := newPlacementModel(places, modelLimit)
	m.readLoads()
	m.addNodes(1900, "a", "a1")
	settle(t, m)
	if m.mostOpen > modelLimit {
		t.Errorf("a controller had %d sessions, its limit is %d", m.mostOpen, modelLimit)
	}
}

// A controller that returns gets its share at a bounded rate; what moves is about as much as it gets, not more.
func TestPlacementAfterAControllerReturns(t *testing.T) {
	m := newPlacementModel(fourRegions(), modelLimit)
	m.readLoads()
	addFourRegions(m, 119)
	settle(t, m)
	m.down[6] = true
	settle(t, m)
	m.down[6] = false
	m.moves, m.mostMoves = 0, 0
	for range settleRounds {
		m.round()
	}
	if err := m.even(); err != nil {
		t.Error(err)
	}
	got := m.sessions(6)
	if m.moves > got*12/10 {
		t.Errorf("%d sessions moved to give one controller %d", m.moves, got)
	}
	if m.mostMoves > modelMovesPerRound {
		t.Errorf("a controller handed %d sessions on in one round, the most is %d", m.mostMoves, modelMovesPerRound)
	}
}

// When three of seven controllers are gone, the four others have all nodes.
func TestPlacementWithThreeControllersGone(t *testing.T) {
	m := newPlacementModel(fourRegions(), modelLimit)
	m.readLoads()
	addFourRegions(m, 119)
	settle(t, m)
	m.down[1], m.down[3], m.down[6] = true, true, true
	m.readLoads()
	settle(t, m)
	if m.mostOpen > modelLimit {
		t.Errorf("a controller had %d sessions, its limit is %d", m.mostOpen, modelLimit)
	}
}

// Nodes have a controller of their own region as far as the shares allow.
func TestPlacementPrefersTheOwnRegion(t *testing.T) {
	m := newPlacementModel([]configapi.Endpoint{{Region: "a"}, {Region: "b"}, {Region: "c"}}, modelLimit)
	m.readLoads()
	for _, region := range []string{"a", "b", "c"} {
		m.addNodes(100, region, region+"1")
	}
	settle(t, m)
	for i, node := range m.nodes {
		if m.endpoints[node.at].Region != node.region {
			t.Fatalf("node %d of region %s is at %+v, though its region has room", i, node.region, m.endpoints[node.at])
		}
	}
}

func TestPlacementAloneAdmitsUpToTheLimit(t *testing.T) {
	p := NewPlacement(configapi.Endpoint{Address: "127.0.0.1:7400"}, 3, 1)
	p.SetPeers([]PeerLoad{{Endpoint: configapi.Endpoint{Address: "127.0.0.1:7401"}, Available: false}})
	for have := range 3 {
		p.SetSessions(have)
		if admitted, _ := p.Admit(SessionRequest{}); !admitted {
			t.Errorf("refused with %d sessions of at most 3 and nobody else there", have)
		}
	}
	p.SetSessions(3)
	if admitted, elsewhere := p.Admit(SessionRequest{}); admitted || len(elsewhere) > 0 {
		t.Errorf("with 3 of at most 3 sessions: admitted %v, elsewhere %v", admitted, elsewhere)
	}
}

func TestPlacementSpreadsRefusedNodes(t *testing.T) {
	p := NewPlacement(configapi.Endpoint{Address: "a:1"}, 10, 1)
	p.SetSessions(10)
	p.SetPeers([]PeerLoad{
		{Endpoint: configapi.Endpoint{Address: "b:1"}, Sessions: 2, Available: true},
		{Endpoint: configapi.Endpoint{Address: "c:1"}, Sessions: 4, Available: true},
		{Endpoint: configapi.Endpoint{Address: "d:1"}, Sessions: 0, Available: false}})
	sent := map[string]int{}
	for range 10 {
		admitted, elsewhere := p.Admit(SessionRequest{})
		if admitted || len(elsewhere) != 2 {
			t.Fatalf("admitted %v, elsewhere %v", admitted, elsewhere)
		}
		sent[elsewhere[0].Address]++
	}
	if sent["b:1"] != 6 || sent["c:1"] != 4 {
		t.Errorf("ten nodes were sent to %v; both would have 8 if 6 went to b", sent)
	}
}

// Whatever the sizes: all nodes get a session where there is room, nobody is above the limit, the shares get even, and
// then nothing moves.
func TestPlacementSettles(t *testing.T) {
	const limit = 40
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"a", "b", "c", "d"}
		count := rapid.IntRange(1, 7).Draw(t, "controllers")
		var places []configapi.Endpoint
		for range count {
			places = append(places, configapi.Endpoint{Region: rapid.SampledFrom(regions).Draw(t, "region")})
		}
		m := newPlacementModel(places, limit)
		m.readLoads()
		for _, region := range regions {
			m.addNodes(rapid.IntRange(0, 6*count).Draw(t, "nodes"), region, region+"1")
		}
		m.nodes = m.nodes[:min(len(m.nodes), (limit-4)*max(1, count-1))] // room with one controller gone
		settle(t, m)
		if count > 1 && rapid.Bool().Draw(t, "one goes and returns") {
			gone := rapid.IntRange(0, count-1).Draw(t, "gone")
			m.down[gone] = true
			m.readLoads()
			settle(t, m)
			m.down[gone] = false
			settle(t, m)
		}
		if m.mostOpen > limit {
			t.Fatalf("a controller had %d sessions, its limit is %d", m.mostOpen, limit)
		}
	})
}
