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

	self             configapi.ControllerAddress
	sessions         int // own
	otherControllers []otherController
	migrating        bool // see PlanMigrations
}

// ControllerLoad is what another controller last reported.
type ControllerLoad struct {
	Controller configapi.ControllerAddress
	Sessions   int
	// Available is set if the controller answers and serves nodes. One that does not is left out of all decisions.
	Available bool
}

// otherController is a controller's report with the sessions that this controller has sent there.
type otherController struct {
	ControllerLoad
	sentSinceReport int // after the newest report
	// sentBeforeReport counts those sent between the two newest reports: they may be in the newest report or still on
	// their way.
	sentBeforeReport int
}

// estimate is the number of sessions that the controller has by now, as far as this one can know; never too low by what
// this one has sent.
func (o otherController) estimate() int { return o.Sessions + o.sentSinceReport + o.sentBeforeReport }

const (
	// admissionToleranceDivisor is the part of the even share, one in so many, by which a controller may exceed it with
	// nodes that were not rejected before. Without it, nodes would be redirected for a difference of a few sessions.
	admissionToleranceDivisor = 4
	// unconditionalAdmissionDivisor is the part of MaxSessions, one in so many, that a controller admits whatever the others
	// have. Nodes that all start at the same time find controllers that do not know each other's load yet.
	unconditionalAdmissionDivisor = 4
	// shareToleranceDivisor is the part of the even share, one in so many, by which a controller may be above or below
	// it before sessions are migrated: each migration costs a new connection.
	shareToleranceDivisor = 10
	// minShareTolerance is the least tolerance in sessions, for clusters with few nodes.
	minShareTolerance = 2
)

// NewPlacement makes the Placement of the controller at self.
func NewPlacement(self configapi.ControllerAddress, maxSessions, maxMigrationsPerPlan int) *Placement {
	return &Placement{MaxSessions: maxSessions, MaxMigrationsPerPlan: maxMigrationsPerPlan, self: self}
}

// SetSessions sets the number of the controller's own sessions.
func (p *Placement) SetSessions(sessions int) { p.sessions = sessions }

// SetOtherControllers replaces the reports of the other controllers.
func (p *Placement) SetOtherControllers(loads []ControllerLoad) {
	next := make([]otherController, 0, len(loads))
	for _, load := range loads {
		other := otherController{ControllerLoad: load}
		if index := p.otherIndex(load.Controller.Address); index >= 0 {
			other.sentBeforeReport = p.otherControllers[index].sentSinceReport
		}
		next = append(next, other)
	}
	p.otherControllers = next
}

// SessionRequest is a node that asks for a session.
type SessionRequest struct {
	Region, Zone string
	// WatchRejections is how many controllers have rejected the node since it last had a session.
	WatchRejections uint64
}

// Admit decides about a node that asks for a session. If the node is not admitted, alternatives are the other
// controllers, the best one first; the node is counted as sent to the first.
func (p *Placement) Admit(r SessionRequest) (admitted bool, alternatives []configapi.ControllerAddress) {
	if p.sessions < p.admissionLimit(r) {
		return true, nil
	}
	return false, p.Redirect(r)
}

// admissionLimit is the number of sessions below which a node is admitted.
func (p *Placement) admissionLimit(r SessionRequest) int {
	if r.WatchRejections > 0 || !p.othersHaveCapacity() {
		return p.MaxSessions
	}
	share := p.evenShare(1)
	shareLimit := share + max(share/admissionToleranceDivisor, minShareTolerance)
	return min(p.MaxSessions, max(shareLimit, p.MaxSessions/unconditionalAdmissionDivisor))
}

// Redirect returns the other controllers for a node, the best one first, and counts the node as sent to the first.
func (p *Placement) Redirect(r SessionRequest) (alternatives []configapi.ControllerAddress) {
	alternatives = p.Alternatives(r)
	if len(alternatives) > 0 {
		p.recordSent(alternatives[0].Address)
	}
	return alternatives
}

// Alternatives returns the other controllers, the best one for a node first: those below the even share in its zone, in
// its region, elsewhere; then those at or above it. Of equals the least loaded comes first.
func (p *Placement) Alternatives(r SessionRequest) []configapi.ControllerAddress {
	share := p.evenShare(1)
	others := p.available()
	slices.SortStableFunc(others, func(x, y otherController) int {
		return cmp.Or(
			cmp.Compare(rankController(x, r, share), rankController(y, r, share)),
			cmp.Compare(x.estimate(), y.estimate()),
			cmp.Compare(x.Controller.Address, y.Controller.Address))
	})
	var addresses []configapi.ControllerAddress
	for _, other := range others {
		addresses = append(addresses, other.Controller)
	}
	return addresses
}

// controllerRank orders controllers for a node; the least comes first.
type controllerRank int

const (
	rankSameZone    controllerRank = iota // below the even share, in the node's zone
	rankSameRegion                        // below it, in another zone of the node's region
	rankOtherRegion                       // below it, in another region
	rankAboveShare                        // at the even share or above
)

func rankController(other otherController, r SessionRequest, share int) controllerRank {
	switch controller := other.Controller; {
	case other.estimate() >= share:
		return rankAboveShare
	case controller.Region == r.Region && controller.Zone == r.Zone:
		return rankSameZone
	case controller.Region == r.Region:
		return rankSameRegion
	}
	return rankOtherRegion
}

// othersHaveCapacity reports whether another controller could admit a node that this one rejects.
func (p *Placement) othersHaveCapacity() bool {
	return slices.ContainsFunc(p.available(), func(other otherController) bool { return other.estimate() < p.MaxSessions })
}

// evenShare is the even share of all known sessions and of some that are arriving, rounded up.
func (p *Placement) evenShare(arriving int) int {
	count := p.controllerCount()
	return (p.totalSessions() + arriving + count - 1) / count
}

// totalSessions is the number of all known sessions.
func (p *Placement) totalSessions() int {
	total := p.sessions
	for _, other := range p.available() {
		total += other.estimate()
	}
	return total
}

// controllerCount is the number of available controllers, this one included.
func (p *Placement) controllerCount() int { return 1 + len(p.available()) }

func (p *Placement) available() []otherController {
	return slices.DeleteFunc(slices.Clone(p.otherControllers), func(other otherController) bool { return !other.Available })
}

func (p *Placement) otherIndex(address string) int {
	return slices.IndexFunc(p.otherControllers, func(other otherController) bool { return other.Controller.Address == address })
}

// recordSent counts a node as sent to a controller.
func (p *Placement) recordSent(address string) {
	if index := p.otherIndex(address); index >= 0 {
		p.otherControllers[index].sentSinceReport++
	}
}
