package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Placement decides at a controller which sessions it lets in, where it sends the others, and which of its own it hands
// on. It goes by the loads that the controllers read from each other about once a second, and counts what it has itself
// inFlight to the others since, so that many nodes that arrive between two readings are spread.
//
// The rules: a node that asks first is let in while the controller is less than a quarter above the even share, or has few
// sessions (the nodes of a controller that is gone come before the others' loads show it); a node that another controller has refused is let in up to the limit, so that it is not sent round; nobody
// is let in above the limit. A controller that is over its share, while another is under, hands the excess on: a bounded
// number a second, the sum of what all hand on within the room of those who take it.
type Placement struct {
	// MaxSessions is the limit of sessions at each controller.
	MaxSessions int
	// MaxMigrationsPerPlan is how many sessions a controller hands on between two calls of Moves, at most.
	MaxMigrationsPerPlan int

	self      configapi.Endpoint
	sessions  int // own
	peers     []peerLoad
	migrating bool
}

// PeerLoad is what another controller said of itself last.
type PeerLoad struct {
	Endpoint configapi.Endpoint
	Sessions int
	// Available says that it answered lately and serves nodes. One that is not counts for nothing.
	Available bool
}

// peerLoad is a controller's load with what this one has sent there since it was read.
type peerLoad struct {
	PeerLoad
	sentSinceReport  int // since the newest reading
	sentBeforeReport int // between the reading before and the newest: may be in the newest already, or still on the way
}

// estimate is the number of sessions that the controller has by now, as far as this one can know.
func (p peerLoad) estimate() int { return p.Sessions + p.sentSinceReport + p.sentBeforeReport }

const (
	// shareToleranceDivisor is the part of the even share by which a controller may be above or below it: one in shareToleranceDivisor.
	shareToleranceDivisor = 10
	// minShareTolerance is the least tolerance, in sessions, for clusters with few nodes.
	minShareTolerance = 2
	// admissionToleranceDivisor is the part of the even share up to which nodes that ask first are let in above it.
	admissionToleranceDivisor = 4
	// freeAdmissionDivisor is the part of MaxSessions that a controller lets in whatever the others have: one in
	// freeAdmissionDivisor. Nodes that all start at the same time find controllers that do not know each other's load yet.
	freeAdmissionDivisor = 4
)

// NewPlacement makes the rules of the controller at self.
func NewPlacement(self configapi.Endpoint, maxSessions, movesPerTick int) *Placement {
	return &Placement{MaxSessions: maxSessions, MaxMigrationsPerPlan: movesPerTick, self: self}
}

// SetSessions says how many sessions the controller has itself.
func (p *Placement) SetSessions(sessions int) { p.sessions = sessions }

// SetPeers takes a new reading of the others' loads.
func (p *Placement) SetPeers(peers []PeerLoad) {
	next := make([]peerLoad, 0, len(peers))
	for _, peer := range peers {
		n := peerLoad{PeerLoad: peer}
		if at := p.peerIndex(peer.Endpoint.Address); at >= 0 {
			n.sentBeforeReport = p.peers[at].sentSinceReport
		}
		next = append(next, n)
	}
	p.peers = next
}

// SessionRequest is a node that asks for a session.
type SessionRequest struct {
	Region, Zone string
	// WatchRejections is how many controllers have refused the node since it last had a session.
	WatchRejections uint64
}

// Admit decides about a node that asks for a session. If it is refused, elsewhere lists the other controllers, the best
// one first; the first one is counted as having the node.
func (p *Placement) Admit(a SessionRequest) (admitted bool, alternatives []configapi.Endpoint) {
	limit := p.MaxSessions
	if a.WatchRejections == 0 && p.peersHaveCapacity() {
		share := p.evenShare(1)
		limit = min(limit, max(share+max(share/admissionToleranceDivisor, minShareTolerance), p.MaxSessions/freeAdmissionDivisor))
	}
	if p.sessions < limit {
		return true, nil
	}
	return false, p.Redirect(a)
}

// Alternatives lists the other controllers, the best one for a node first: those below the even share, of its zone, of its
// region, the others; then the rest, the least loaded first.
func (p *Placement) Alternatives(a SessionRequest) []configapi.Endpoint {
	share := p.evenShare(1)
	list := p.available()
	slices.SortStableFunc(list, func(x, y peerLoad) int {
		return cmp.Or(
			cmp.Compare(placementRank(x, a, share), placementRank(y, a, share)),
			cmp.Compare(x.estimate(), y.estimate()),
			cmp.Compare(x.Endpoint.Address, y.Endpoint.Address))
	})
	var endpoints []configapi.Endpoint
	for _, peer := range list {
		endpoints = append(endpoints, peer.Endpoint)
	}
	return endpoints
}

// placementRank orders controllers for a node: 0 is the best.
func placementRank(peer peerLoad, a SessionRequest, share int) int {
	switch at := peer.Endpoint; {
	case peer.estimate() >= share:
		return 3
	case at.Region == a.Region && at.Zone == a.Zone:
		return 0
	case at.Region == a.Region:
		return 1
	}
	return 2
}

// MigrationCandidate is a session that may be handed on.
type MigrationCandidate struct {
	ID           uint64 // the caller's, given back in Migration
	Region, Zone string
}

// Migration asks for a session to be handed on.
type Migration struct {
	ID     uint64
	Target configapi.Endpoint
}

// PlanMigrations decides which of the controller's sessions are handed on now; it is called once after each reading of the loads.
// It begins when the controller is over the even share by more than the tolerance, or another is under it by more; it
// goes on until the controller is at its share.
func (p *Placement) PlanMigrations(sessions []MigrationCandidate) []Migration {
	share := p.migrationGoal()
	excess := p.sessions - share
	if !p.migrating {
		p.migrating = excess > 0 && p.isUnbalanced()
	}
	capacity := p.capacityByPeer(share)
	if excess <= 0 || len(capacity) == 0 {
		p.migrating = false
	}
	if !p.migrating {
		return nil
	}
	slices.SortStableFunc(sessions, func(x, y MigrationCandidate) int { return cmp.Compare(p.sessionDistance(y), p.sessionDistance(x)) })
	var migrations []Migration
	for _, session := range sessions[:min(len(sessions), excess, p.MaxMigrationsPerPlan)] {
		to, ok := p.pickTarget(session, capacity)
		if !ok {
			break
		}
		capacity[to.Address]--
		p.recordSent(to.Address)
		migrations = append(migrations, Migration{session.ID, to})
	}
	return migrations
}

// migrationGoal is the share down to which sessions are handed on. Where the sessions can't be divided evenly, it is the
// lower share, so that a controller far below finds some above it; the upper one if this controller is far above.
func (p *Placement) migrationGoal() int {
	upper := p.evenShare(0)
	if p.sessions > upper+shareTolerance(upper) {
		return upper
	}
	return p.totalSessions() / p.controllerCount()
}

// capacityByPeer is how many sessions this controller may hand on to each of those below the share. All controllers above
// the share divide the room of each target; what is left over goes to the first of them.
func (p *Placement) capacityByPeer(share int) map[string]int {
	rank, donors := p.donorRank(share)
	capacity := map[string]int{}
	for _, peer := range p.available() {
		free := share - peer.estimate()
		if free <= 0 {
			continue
		}
		quota := free / donors
		if rank < free%donors {
			quota++
		}
		if quota > 0 {
			capacity[peer.Endpoint.Address] = quota
		}
	}
	return capacity
}

// donorRank is this controller's place among those above the share, from 0, and the number of them.
func (p *Placement) donorRank(share int) (rank, donors int) {
	donors = 1
	for _, peer := range p.available() {
		if peer.Sessions <= share {
			continue
		}
		donors++
		if cmp.Or(cmp.Compare(peer.Sessions, p.sessions), cmp.Compare(p.self.Address, peer.Endpoint.Address)) > 0 {
			rank++
		}
	}
	return rank, donors
}

// pickTarget finds a controller with room for a session, in its own zone or region if it can.
func (p *Placement) pickTarget(s MigrationCandidate, capacity map[string]int) (configapi.Endpoint, bool) {
	best, found := peerLoad{}, false
	class := func(peer peerLoad) int {
		return placementRank(peer, SessionRequest{Region: s.Region, Zone: s.Zone}, peer.estimate()+1)
	}
	for _, peer := range p.available() {
		if capacity[peer.Endpoint.Address] <= 0 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(class(peer), class(best)), cmp.Compare(peer.estimate(), best.estimate())) < 0 {
			best, found = peer, true
		}
	}
	return best.Endpoint, found
}

// sessionDistance is 0 for a session of the controller's own zone, 1 of its region, 2 of another.
func (p *Placement) sessionDistance(s MigrationCandidate) int {
	switch {
	case s.Region != p.self.Region:
		return 2
	case s.Zone != p.self.Zone:
		return 1
	}
	return 0
}

// isUnbalanced says whether a controller is outside of the tolerance.
func (p *Placement) isUnbalanced() bool {
	share := p.evenShare(0)
	if p.sessions > share+shareTolerance(share) {
		return true
	}
	return slices.ContainsFunc(p.available(), func(peer peerLoad) bool { return peer.estimate() < share-shareTolerance(share) })
}

// peersHaveCapacity says whether a node that is refused could be let in by another controller.
func (p *Placement) peersHaveCapacity() bool {
	return slices.ContainsFunc(p.available(), func(peer peerLoad) bool { return peer.estimate() < p.MaxSessions })
}

// evenShare is the even share, rounded up, of all known sessions and some more.
func (p *Placement) evenShare(arriving int) int {
	count := p.controllerCount()
	return (p.totalSessions() + arriving + count - 1) / count
}

// totalSessions is the number of all known sessions.
func (p *Placement) totalSessions() int {
	total := p.sessions
	for _, peer := range p.available() {
		total += peer.estimate()
	}
	return total
}

// countState is the number of controllers that can be used, this one included.
func (p *Placement) controllerCount() int { return 1 + len(p.available()) }

// shareToleranceDivisor is the tolerance of a share.
func shareTolerance(share int) int { return max(share/shareToleranceDivisor, minShareTolerance) }

func (p *Placement) available() []peerLoad {
	return slices.DeleteFunc(slices.Clone(p.peers), func(peer peerLoad) bool { return !peer.Available })
}

func (p *Placement) peerIndex(address string) int {
	return slices.IndexFunc(p.peers, func(peer peerLoad) bool { return peer.Endpoint.Address == address })
}

// recordSent notes that a node was sent to a controller.
func (p *Placement) recordSent(address string) {
	if at := p.peerIndex(address); at >= 0 {
		p.peers[at].sentSinceReport++
	}
}

// Redirect sends a node elsewhere whatever the shares are: the first controller of the list is counted as having it.
func (p *Placement) Redirect(a SessionRequest) (alternatives []configapi.Endpoint) {
	alternatives = p.Alternatives(a)
	if len(alternatives) > 0 {
		p.recordSent(alternatives[0].Address)
	}
	return alternatives
}
