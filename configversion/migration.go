package configversion

import (
	"cmp"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// MigrationCandidate is a session that may be migrated.
type MigrationCandidate struct {
	ID           uint64 // the caller's, returned in Migration
	Region, Zone string
}

// Migration is a session whose node is to be asked to move to another controller.
type Migration struct {
	ID     uint64
	Target configapi.ControllerAddress
}

// PlanMigrations decides which of the controller's sessions are migrated now. It is called once after each round of
// reports, and may reorder sessions: those farthest from this controller go first.
//
// Migration begins when this controller is above the even share by more than the tolerance, or another is below it by
// more; it goes on until this one is at its share or no other has capacity. All controllers decide at the same time
// without asking each other, so that each takes only its quota of the capacity of the others (see capacityByController), and
// at most MaxMigrationsPerPlan sessions.
//
// It guards against a controller that has returned and stays empty while the others carry its nodes, and against the
// opposite failure, sessions that are passed back and forth: hence the tolerance, and the quota.
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

// isUnbalanced reports whether a controller is outside the tolerance.
func (p *Placement) isUnbalanced() bool {
	share := p.evenShare(0)
	if p.sessions > share+shareTolerance(share) {
		return true
	}
	return slices.ContainsFunc(p.available(), func(other otherController) bool {
		return other.estimate() < share-shareTolerance(share)
	})
}

// shareTolerance is how far from a share a controller may be, in sessions.
func shareTolerance(share int) int { return max(share/shareToleranceDivisor, minShareTolerance) }

// migrationGoal is the number of sessions down to which this controller migrates. Where the sessions can't be divided
// evenly, it is the share rounded down, so that a controller far below finds some above it; if this controller is above
// the tolerance, it is the share rounded up.
func (p *Placement) migrationGoal() int {
	share := p.evenShare(0)
	if p.sessions > share+shareTolerance(share) {
		return share
	}
	return p.totalSessions() / p.controllerCount()
}

// capacityByController is how many sessions this controller may migrate to each of those below the goal. All controllers
// above the goal (the donors) divide the capacity of each target evenly; the remainder goes to the first of them.
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

// donorRank is this controller's rank among the donors, from 0, and the number of them. The one with the most sessions
// comes first; all controllers find the same order from the same reports.
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

// pickTarget chooses the controller for a session among those with capacity: in its own zone or region if it can be,
// else the one with the fewest sessions.
func (p *Placement) pickTarget(s MigrationCandidate, capacity map[string]int) (configapi.ControllerAddress, bool) {
	best, found := otherController{}, false
	node := SessionRequest{Region: s.Region, Zone: s.Zone}
	rank := func(other otherController) controllerRank { return rankController(other, node, other.estimate()+1) } // by location alone
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

// distanceTo is how far this controller is from a session's node.
func (p *Placement) distanceTo(s MigrationCandidate) distance {
	switch {
	case s.Region != p.self.Region:
		return distanceOtherRegion
	case s.Zone != p.self.Zone:
		return distanceSameRegion
	}
	return distanceSameZone
}
