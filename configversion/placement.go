package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Placement decides, at one controller, which sessions to admit, where to redirect the others (this file), and which
// sessions to migrate (migration.go).
//
// It uses the session counts that the controllers read from each other several times a second, plus the nodes that this
// controller has redirected or migrated to the others since. Nodes that arrive between two reports are therefore spread
// and not all sent to the controller that had the fewest sessions.
//
// Admission depends on the even share, which is the sessions of all controllers divided by the number of controllers:
//   - A node that was not rejected before is admitted until this controller is a quarter above the even share, and in
//     any case until it has a quarter of MaxSessions. The latter matters when another controller fails: its nodes
//     arrive before the reports show the failure.
//   - A node that was rejected before is admitted until this controller has MaxSessions, so that it is not redirected
//     again and again.
//   - No node is admitted above MaxSessions, which bounds the controller's memory and connections.
//
// Placement prevents a controller from being overloaded while others are idle, and nodes from finding no controller
// after several have failed. Such faults are visible as uneven session counts in `hookwalk config status`, and as
// watches rejected with "full".
//
// A Placement must not be used by several goroutines at once.
type Placement struct {
	// MaxSessions is the maximum number of sessions at each controller.
	MaxSessions int
	// MaxMigrationsPerPlan is the maximum number of sessions that a call of PlanMigrations returns.
	MaxMigrationsPerPlan int

	self             configapi.ControllerAddress
	sessions         int // at this controller
	otherControllers []otherController
	migrating        bool // see PlanMigrations
}

// ControllerLoad is the last report of another controller.
type ControllerLoad struct {
	Controller configapi.ControllerAddress
	Sessions   int
	// Available is set if the controller responds and serves nodes. Controllers that are not available are ignored in
	// all decisions.
	Available bool
}

// otherController is the report of another controller, with the number of nodes that this controller has sent to it.
type otherController struct {
	ControllerLoad
	sentSinceReport int // nodes sent after the newest report
	// sentBeforeReport counts the nodes sent between the two newest reports. The newest report may or may not include
	// them.
	sentBeforeReport int
}

// estimate returns an estimate of the controller's current number of sessions. It includes every node that this
// controller may have sent without the newest report counting it.
func (o otherController) estimate() int { return o.Sessions + o.sentSinceReport + o.sentBeforeReport }

const (
	// admissionToleranceDivisor determines how far a controller may exceed the even share with nodes that were not
	// rejected before: by share/admissionToleranceDivisor. Without this tolerance, nodes would be redirected for a
	// difference of a few sessions.
	admissionToleranceDivisor = 4
	// unconditionalAdmissionDivisor determines how many sessions a controller admits regardless of the others:
	// MaxSessions/unconditionalAdmissionDivisor. When all nodes start at the same time, the controllers do not know
	// each other's load yet.
	unconditionalAdmissionDivisor = 4
	// shareToleranceDivisor determines how far a controller may be above or below the even share before sessions are
	// migrated: by share/shareToleranceDivisor. Each migration costs a new connection.
	shareToleranceDivisor = 10
	// minShareTolerance is the minimum tolerance in sessions, for clusters with few nodes.
	minShareTolerance = 2
)

// NewPlacement returns the Placement of the controller at self.
func NewPlacement(self configapi.ControllerAddress, maxSessions, maxMigrationsPerPlan int) *Placement {
	return &Placement{MaxSessions: maxSessions, MaxMigrationsPerPlan: maxMigrationsPerPlan, self: self}
}

// SetSessions sets the number of sessions at this controller.
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

// SessionRequest describes a node that asks for a session.
type SessionRequest struct {
	Region, Zone string
	// WatchRejections is how many controllers have rejected the node since it last had a session.
	WatchRejections uint64
}

// Admit decides whether to admit a node that asks for a session. If it does not, alternatives are the other
// controllers, the best one first, and the node is counted as sent to the first of them.
func (p *Placement) Admit(r SessionRequest) (admitted bool, alternatives []configapi.ControllerAddress) {
	if p.sessions < p.admissionLimit(r) {
		return true, nil
	}
	return false, p.Redirect(r)
}

// admissionLimit returns the number of sessions below which a node is admitted.
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

// Alternatives returns the other controllers, the best one for a node first. Controllers below the even share precede
// those at or above it; among them, the node's zone precedes its region, and its region precedes other regions. Among
// equals, the one with the fewest sessions is first.
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

// controllerRank orders controllers for a node; the best one has the least rank.
type controllerRank int

const (
	rankSameZone    controllerRank = iota // below the even share, in the node's zone
	rankSameRegion                        // below the even share, in another zone of the node's region
	rankOtherRegion                       // below the even share, in another region
	rankAboveShare                        // at or above the even share
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

// evenShare returns the number of sessions per controller, rounded up, including sessions that are about to be
// admitted.
func (p *Placement) evenShare(arriving int) int {
	count := p.controllerCount()
	return (p.totalSessions() + arriving + count - 1) / count
}

// totalSessions returns the number of all known sessions.
func (p *Placement) totalSessions() int {
	total := p.sessions
	for _, other := range p.available() {
		total += other.estimate()
	}
	return total
}

// controllerCount returns the number of available controllers, including this one.
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
