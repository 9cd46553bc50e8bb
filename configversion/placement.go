package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Placement decides at a controller which sessions it lets in, where it sends the others, and which of its own it hands
// on. It goes by the loads that the controllers read from each other about once a second, and counts what it has itself
// sent to the others since, so that many nodes that arrive between two readings are spread.
//
// The rules: a node that asks first is let in while the controller is less than a quarter above the even share, or has few
// sessions (the nodes of a controller that is gone come before the others' loads show it); a node that another controller has refused is let in up to the limit, so that it is not sent round; nobody
// is let in above the limit. A controller that is over its share, while another is under, hands the excess on: a bounded
// number a second, the sum of what all hand on within the room of those who take it.
type Placement struct {
	// MaxSessions is the limit of sessions at each controller.
	MaxSessions int
	// MovesPerTick is how many sessions a controller hands on between two calls of Moves, at most.
	MovesPerTick int

	self     configapi.Endpoint
	sessions int // own
	others   []peerLoad
	shedding bool
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
	sentNow    int // since the newest reading
	sentBefore int // between the reading before and the newest: may be in the newest already, or still on the way
}

// estimate is the number of sessions that the controller has by now, as far as this one can know.
func (p peerLoad) estimate() int { return p.Sessions + p.sentNow + p.sentBefore }

const (
	// shareTolerance is the part of the even share by which a controller may be above or below it: one in shareTolerance.
	shareTolerance = 10
	// minTolerance is the least tolerance, in sessions, for clusters with few nodes.
	minTolerance = 2
	// admissionTolerance is the part of the even share up to which nodes that ask first are let in above it.
	admissionTolerance = 4
	// freelyAdmitted is the part of MaxSessions that a controller lets in whatever the others have: one in
	// freelyAdmitted. Nodes that all start at the same time find controllers that do not know each other's load yet.
	freelyAdmitted = 4
)

// NewPlacement makes the rules of the controller at self.
func NewPlacement(self configapi.Endpoint, maxSessions, movesPerTick int) *Placement {
	return &Placement{MaxSessions: maxSessions, MovesPerTick: movesPerTick, self: self}
}

// SetOwn says how many sessions the controller has itself.
func (p *Placement) SetOwn(sessions int) { p.sessions = sessions }

// SetPeers takes a new reading of the others' loads.
func (p *Placement) SetPeers(peers []PeerLoad) {
	next := make([]peerLoad, 0, len(peers))
	for _, peer := range peers {
		n := peerLoad{PeerLoad: peer}
		if at := p.find(peer.Endpoint.Address); at >= 0 {
			n.sentBefore = p.others[at].sentNow
		}
		next = append(next, n)
	}
	p.others = next
}

// Arrival is a node that asks for a session.
type Arrival struct {
	Region, Zone string
	// Refused is how many controllers have refused the node since it last had a session.
	Refused uint64
}

// Admit decides about a node that asks for a session. If it is refused, elsewhere lists the other controllers, the best
// one first; the first one is counted as having the node.
func (p *Placement) Admit(a Arrival) (admitted bool, elsewhere []configapi.Endpoint) {
	limit := p.MaxSessions
	if a.Refused == 0 && p.hasRoomElsewhere() {
		share := p.share(1)
		limit = min(limit, max(share+max(share/admissionTolerance, minTolerance), p.MaxSessions/freelyAdmitted))
	}
	if p.sessions < limit {
		return true, nil
	}
	return false, p.Refuse(a)
}

// Elsewhere lists the other controllers, the best one for a node first: those below the even share, of its zone, of its
// region, the others; then the rest, the least loaded first.
func (p *Placement) Elsewhere(a Arrival) []configapi.Endpoint {
	share := p.share(1)
	list := p.available()
	slices.SortStableFunc(list, func(x, y peerLoad) int {
		return cmp.Or(
			cmp.Compare(placementClass(x, a, share), placementClass(y, a, share)),
			cmp.Compare(x.estimate(), y.estimate()),
			cmp.Compare(x.Endpoint.Address, y.Endpoint.Address))
	})
	var endpoints []configapi.Endpoint
	for _, peer := range list {
		endpoints = append(endpoints, peer.Endpoint)
	}
	return endpoints
}

// placementClass orders controllers for a node: 0 is the best.
func placementClass(peer peerLoad, a Arrival, share int) int {
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

// PlacedSession is a session that may be handed on.
type PlacedSession struct {
	ID           uint64 // the caller's, given back in SessionMove
	Region, Zone string
}

// SessionMove asks for a session to be handed on.
type SessionMove struct {
	ID uint64
	To configapi.Endpoint
}

// Moves decides which of the controller's sessions are handed on now; it is called once after each reading of the loads.
// It begins when the controller is over the even share by more than the tolerance, or another is under it by more; it
// goes on until the controller is at its share.
func (p *Placement) Moves(sessions []PlacedSession) []SessionMove {
	share := p.movingGoal()
	excess := p.sessions - share
	if !p.shedding {
		p.shedding = excess > 0 && p.unbalanced()
	}
	room := p.roomElsewhere(share)
	if excess <= 0 || len(room) == 0 {
		p.shedding = false
	}
	if !p.shedding {
		return nil
	}
	slices.SortStableFunc(sessions, func(x, y PlacedSession) int { return cmp.Compare(p.distance(y), p.distance(x)) })
	var moves []SessionMove
	for _, session := range sessions[:min(len(sessions), excess, p.MovesPerTick)] {
		to, ok := p.roomFor(session, room)
		if !ok {
			break
		}
		room[to.Address]--
		p.countSent(to.Address)
		moves = append(moves, SessionMove{session.ID, to})
	}
	return moves
}

// movingGoal is the share down to which sessions are handed on. Where the sessions can't be divided evenly, it is the
// lower share, so that a controller far below finds some above it; the upper one if this controller is far above.
func (p *Placement) movingGoal() int {
	upper := p.share(0)
	if p.sessions > upper+shareSlack(upper) {
		return upper
	}
	return p.total() / p.count()
}

// roomElsewhere is how many sessions this controller may hand on to each of those below the share. All controllers above
// the share divide the room of each target; what is left over goes to the first of them.
func (p *Placement) roomElsewhere(share int) map[string]int {
	rank, givers := p.rankAbove(share)
	rooms := map[string]int{}
	for _, peer := range p.available() {
		free := share - peer.estimate()
		if free <= 0 {
			continue
		}
		part := free / givers
		if rank < free%givers {
			part++
		}
		if part > 0 {
			rooms[peer.Endpoint.Address] = part
		}
	}
	return rooms
}

// rankAbove is this controller's place among those above the share, from 0, and the number of them.
func (p *Placement) rankAbove(share int) (rank, givers int) {
	givers = 1
	for _, peer := range p.available() {
		if peer.Sessions <= share {
			continue
		}
		givers++
		if cmp.Or(cmp.Compare(peer.Sessions, p.sessions), cmp.Compare(p.self.Address, peer.Endpoint.Address)) > 0 {
			rank++
		}
	}
	return rank, givers
}

// roomFor finds a controller with room for a session, in its own zone or region if it can.
func (p *Placement) roomFor(s PlacedSession, rooms map[string]int) (configapi.Endpoint, bool) {
	best, found := peerLoad{}, false
	class := func(peer peerLoad) int {
		return placementClass(peer, Arrival{Region: s.Region, Zone: s.Zone}, peer.estimate()+1)
	}
	for _, peer := range p.available() {
		if rooms[peer.Endpoint.Address] <= 0 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(class(peer), class(best)), cmp.Compare(peer.estimate(), best.estimate())) < 0 {
			best, found = peer, true
		}
	}
	return best.Endpoint, found
}

// distance is 0 for a session of the controller's own zone, 1 of its region, 2 of another.
func (p *Placement) distance(s PlacedSession) int {
	switch {
	case s.Region != p.self.Region:
		return 2
	case s.Zone != p.self.Zone:
		return 1
	}
	return 0
}

// unbalanced says whether a controller is outside of the tolerance.
func (p *Placement) unbalanced() bool {
	share := p.share(0)
	if p.sessions > share+shareSlack(share) {
		return true
	}
	return slices.ContainsFunc(p.available(), func(peer peerLoad) bool { return peer.estimate() < share-shareSlack(share) })
}

// hasRoomElsewhere says whether a node that is refused could be let in by another controller.
func (p *Placement) hasRoomElsewhere() bool {
	return slices.ContainsFunc(p.available(), func(peer peerLoad) bool { return peer.estimate() < p.MaxSessions })
}

// share is the even share, rounded up, of all known sessions and some more.
func (p *Placement) share(more int) int {
	count := p.count()
	return (p.total() + more + count - 1) / count
}

// total is the number of all known sessions.
func (p *Placement) total() int {
	total := p.sessions
	for _, peer := range p.available() {
		total += peer.estimate()
	}
	return total
}

// count is the number of controllers that can be used, this one included.
func (p *Placement) count() int { return 1 + len(p.available()) }

// shareSlack is the tolerance of a share.
func shareSlack(share int) int { return max(share/shareTolerance, minTolerance) }

func (p *Placement) available() []peerLoad {
	return slices.DeleteFunc(slices.Clone(p.others), func(peer peerLoad) bool { return !peer.Available })
}

func (p *Placement) find(address string) int {
	return slices.IndexFunc(p.others, func(peer peerLoad) bool { return peer.Endpoint.Address == address })
}

// countSent notes that a node was sent to a controller.
func (p *Placement) countSent(address string) {
	if at := p.find(address); at >= 0 {
		p.others[at].sentNow++
	}
}

// Refuse sends a node elsewhere whatever the shares are: the first controller of the list is counted as having it.
func (p *Placement) Refuse(a Arrival) (elsewhere []configapi.Endpoint) {
	elsewhere = p.Elsewhere(a)
	if len(elsewhere) > 0 {
		p.countSent(elsewhere[0].Address)
	}
	return elsewhere
}
