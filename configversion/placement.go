package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Placement decides at one controller which sessions it admits, where it redirects the others (this file), and which
// of its own sessions it migrates (migration.go).
//
// Its input are the session counts that the controllers read from each other several times a second, plus what this
// one has itself redirected or migrated to the others since, so that many nodes that arrive between two reports are
// spread and not all sent to the controller that was the emptiest.
//
// Admission, with the even share as the sessions of all controllers divided by their number:
//   - A node that was not rejected before is admitted up to a quarter above the even share, and in any case up to a
//     quarter of MaxSessions: when a controller fails, its nodes come before the reports of the others show it.
//   - A node that was rejected before is admitted up to MaxSessions, so that it is not passed around.
//   - No node is admitted above MaxSessions: it bounds the controller's memory and connections.
//
// It guards against a controller that is overloaded while others idle, and against nodes that find no controller after
// several have failed. It shows as uneven numbers of sessions in `hookwalk config status`, and as watches rejected with
// "full".
//
// A Placement must not be used by several goroutines at once.
type Placement struct {
	// MaxSessions is the limit of sessions at each controller.
	MaxSessions int
	// MaxMigrationsPerPlan is how many sessions a call of PlanMigrations returns at most.
	MaxMigrationsPerPlan int

	self      configapi.Endpoint
	sessions  int // own
	peers     []peerLoad
	migrating bool // see PlanMigrations
}

// PeerLoad is what another controller last reported.
type PeerLoad struct {
	Endpoint configapi.Endpoint
	Sessions int
	// Available is set if the controller answers and serves nodes. One that does not is left out of all decisions.
	Available bool
}

// peerLoad is a controller's report with the sessions that this controller has sent there.
type peerLoad struct {
	PeerLoad
	sentSinceReport int // after the newest report
	// sentBeforeReport counts those sent between the two newest reports: they may be in the newest report or still on
	// their way.
	sentBeforeReport int
}

// estimate is the number of sessions that the controller has by now, as far as this one can know; never too low by what
// this one has sent.
func (p peerLoad) estimate() int { return p.Sessions + p.sentSinceReport + p.sentBeforeReport }

const (
	// admissionToleranceDivisor is the part of the even share, one in so many, by which a controller may exceed it with
	// nodes that were not rejected before. Without it, nodes would be redirected for a difference of a few sessions.
	admissionToleranceDivisor = 4
	// freeAdmissionDivisor is the part of MaxSessions, one in so many, that a controller admits whatever the others
	// have. Nodes that all start at the same time find controllers that do not know each other's load yet.
	freeAdmissionDivisor = 4
	// shareToleranceDivisor is the part of the even share, one in so many, by which a controller may be above or below
	// it before sessions are migrated: each migration costs a new connection.
	shareToleranceDivisor = 10
	// minShareTolerance is the least tolerance in sessions, for clusters with few nodes.
	minShareTolerance = 2
)

// NewPlacement makes the Placement of the controller at self.
func NewPlacement(self configapi.Endpoint, maxSessions, maxMigrationsPerPlan int) *Placement {
	return &Placement{MaxSessions: maxSessions, MaxMigrationsPerPlan: maxMigrationsPerPlan, self: self}
}

// SetSessions sets the number of the controller's own sessions.
func (p *Placement) SetSessions(sessions int) { p.sessions = sessions }

// SetPeers replaces the reports of the other controllers.
func (p *Placement) SetPeers(peers []PeerLoad) {
	next := make([]peerLoad, 0, len(peers))
	for _, peer := range peers {
		load := peerLoad{PeerLoad: peer}
		if at := p.peerIndex(peer.Endpoint.Address); at >= 0 {
			load.sentBeforeReport = p.peers[at].sentSinceReport
		}
		next = append(next, load)
	}
	p.peers = next
}

// SessionRequest is a node that asks for a session.
type SessionRequest struct {
	Region, Zone string
	// WatchRejections is how many controllers have rejected the node since it last had a session.
	WatchRejections uint64
}

// Admit decides about a node that asks for a session. If the node is not admitted, alternatives are the other
// controllers, the best one first; the node is counted as sent to the first.
func (p *Placement) Admit(r SessionRequest) (admitted bool, alternatives []configapi.Endpoint) {
	if p.sessions < p.admissionLimit(r) {
		return true, nil
	}
	return false, p.Redirect(r)
}

// admissionLimit is the number of sessions below which a node is admitted.
func (p *Placement) admissionLimit(r SessionRequest) int {
	if r.WatchRejections > 0 || !p.peersHaveCapacity() {
		return p.MaxSessions
	}
	share := p.evenShare(1)
	tolerated := share + max(share/admissionToleranceDivisor, minShareTolerance)
	return min(p.MaxSessions, max(tolerated, p.MaxSessions/freeAdmissionDivisor))
}

// Redirect returns the other controllers for a node, the best one first, and counts the node as sent to the first.
func (p *Placement) Redirect(r SessionRequest) (alternatives []configapi.Endpoint) {
	alternatives = p.Alternatives(r)
	if len(alternatives) > 0 {
		p.recordSent(alternatives[0].Address)
	}
	return alternatives
}

// Alternatives returns the other controllers, the best one for a node first: those below the even share in its zone, in
// its region, elsewhere; then those at or above it. Of equals the least loaded comes first.
func (p *Placement) Alternatives(r SessionRequest) []configapi.Endpoint {
	share := p.evenShare(1)
	peers := p.available()
	slices.SortStableFunc(peers, func(x, y peerLoad) int {
		return cmp.Or(
			cmp.Compare(rankPeer(x, r, share), rankPeer(y, r, share)),
			cmp.Compare(x.estimate(), y.estimate()),
			cmp.Compare(x.Endpoint.Address, y.Endpoint.Address))
	})
	var endpoints []configapi.Endpoint
	for _, peer := range peers {
		endpoints = append(endpoints, peer.Endpoint)
	}
	return endpoints
}

// peerRank orders controllers for a node; the least comes first.
type peerRank int

const (
	peerInZone      peerRank = iota // below the even share, in the node's zone
	peerInRegion                    // below it, in another zone of the node's region
	peerOtherRegion                 // below it, in another region
	peerAboveShare                  // at the even share or above
)

func rankPeer(peer peerLoad, r SessionRequest, share int) peerRank {
	switch at := peer.Endpoint; {
	case peer.estimate() >= share:
		return peerAboveShare
	case at.Region == r.Region && at.Zone == r.Zone:
		return peerInZone
	case at.Region == r.Region:
		return peerInRegion
	}
	return peerOtherRegion
}

// peersHaveCapacity reports whether another controller could admit a node that this one rejects.
func (p *Placement) peersHaveCapacity() bool {
	return slices.ContainsFunc(p.available(), func(peer peerLoad) bool { return peer.estimate() < p.MaxSessions })
}

// evenShare is the even share of all known sessions and of some that are arriving, rounded up.
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

// controllerCount is the number of available controllers, this one included.
func (p *Placement) controllerCount() int { return 1 + len(p.available()) }

func (p *Placement) available() []peerLoad {
	return slices.DeleteFunc(slices.Clone(p.peers), func(peer peerLoad) bool { return !peer.Available })
}

func (p *Placement) peerIndex(address string) int {
	return slices.IndexFunc(p.peers, func(peer peerLoad) bool { return peer.Endpoint.Address == address })
}

// recordSent counts a node as sent to a controller.
func (p *Placement) recordSent(address string) {
	if at := p.peerIndex(address); at >= 0 {
		p.peers[at].sentSinceReport++
	}
}
