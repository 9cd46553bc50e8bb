package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// MigrationCandidate is a session that may be migrated.
type MigrationCandidate struct {
	ID           uint64 // chosen by the caller, and returned in Migration
	Region, Zone string
}

// Migration is a session whose node the controller asks to move to another controller.
type Migration struct {
	ID     uint64
	Target configapi.ControllerAddress
}

// PlanMigrations decides which of the controller's sessions to migrate now. It is called once after each round of
// reports, and may reorder the given sessions: those farthest from this controller migrate first.
//
// Migration starts when this controller is above the even share by more than the tolerance, or another one is below it
// by more than the tolerance. It continues until this controller is down to its goal or no other one has capacity. All
// controllers decide at the same time without coordination. Each of them therefore uses only its quota of the capacity
// of the others (see capacityByController), and migrates at most MaxMigrationsPerPlan sessions.
//
// Without migration, a controller that has recovered would stay empty while the others serve its nodes. The tolerance
// and the quota prevent the opposite failure, sessions that migrate back and forth.
func (p *Placement) PlanMigrations(sessions []MigrationCandidate) []Migration {
	goal := p.migrationGoal()
	excess := p.sessions - goal
	if !p.migrating {
		p.migrating = excess > 0 && p.isUnbalanced()
	}
	capacity := p.capacityByController(goal)
	if excess <= 0 || len(capacity) == 0 {
		p.migrating = false
	}
	if !p.migrating {
		return nil
	}
	slices.SortStableFunc(sessions, func(x, y MigrationCandidate) int {
		return cmp.Compare(p.distanceTo(y), p.distanceTo(x))
	})
	var migrations []Migration
	for _, session := range sessions[:min(len(sessions), excess, p.MaxMigrationsPerPlan)] {
		target, ok := p.pickTarget(session, capacity)
		if !ok {
			break
		}
		capacity[target.Address]--
		p.recordSent(target.Address)
		migrations = append(migrations, Migration{session.ID, target})
	}
	return migrations
}

// isUnbalanced reports whether this controller is above the tolerance, or another one below it.
func (p *Placement) isUnbalanced() bool {
	share := p.evenShare(0)
	if p.sessions > share+shareTolerance(share) {
		return true
	}
	return slices.ContainsFunc(p.available(), func(other otherController) bool {
		return other.estimate() < share-shareTolerance(share)
	})
}

// shareTolerance returns by how many sessions a controller may differ from the even share.
func shareTolerance(share int) int { return max(share/shareToleranceDivisor, minShareTolerance) }

// migrationGoal returns the number of sessions at which this controller stops migrating: the even share. If the
// sessions cannot be divided evenly, the share is rounded down, so that other controllers exceed the goal and can
// migrate sessions to one that is far below it. It is rounded up if this controller is above the tolerance.
func (p *Placement) migrationGoal() int {
	share := p.evenShare(0)
	if p.sessions > share+shareTolerance(share) {
		return share
	}
	return p.totalSessions() / p.controllerCount()
}

// capacityByController returns how many sessions this controller may migrate to each controller below the goal. All
// controllers above the goal (the donors) divide the capacity of each target evenly. If a remainder is left, each of
// the first donors may migrate one more session.
func (p *Placement) capacityByController(goal int) map[string]int {
	rank, donors := p.donorRank(goal)
	capacity := map[string]int{}
	for _, other := range p.available() {
		freeSessions := goal - other.estimate()
		if freeSessions <= 0 {
			continue
		}
		quota := freeSessions / donors
		if rank < freeSessions%donors {
			quota++
		}
		if quota > 0 {
			capacity[other.Controller.Address] = quota
		}
	}
	return capacity
}

// donorRank returns this controller's rank among the donors, counted from 0, and the number of donors. The donor with
// the most sessions has rank 0. All controllers derive the same order from the same reports.
func (p *Placement) donorRank(goal int) (rank, donors int) {
	donors = 1
	for _, other := range p.available() {
		if other.Sessions <= goal {
			continue
		}
		donors++
		if cmp.Or(cmp.Compare(other.Sessions, p.sessions), cmp.Compare(p.self.Address, other.Controller.Address)) > 0 {
			rank++
		}
	}
	return rank, donors
}

// pickTarget chooses a controller with capacity for a session. It prefers the zone and then the region of the session's
// node, and among equals the controller with the fewest sessions.
func (p *Placement) pickTarget(s MigrationCandidate, capacity map[string]int) (configapi.ControllerAddress, bool) {
	best, found := otherController{}, false
	node := SessionRequest{Region: s.Region, Zone: s.Zone}
	rank := func(other otherController) controllerRank { return rankController(other, node, other.estimate()+1) } // ranks by location only
	for _, other := range p.available() {
		if capacity[other.Controller.Address] <= 0 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(rank(other), rank(best)), cmp.Compare(other.estimate(), best.estimate())) < 0 {
			best, found = other, true
		}
	}
	return best.Controller, found
}

// distanceTo returns how far this controller is from a session's node.
func (p *Placement) distanceTo(s MigrationCandidate) distance {
	switch {
	case s.Region != p.self.Region:
		return distanceOtherRegion
	case s.Zone != p.self.Zone:
		return distanceSameRegion
	}
	return distanceSameZone
}
