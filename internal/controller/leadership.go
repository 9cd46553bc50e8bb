package controller

import (
	"context"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// leaderContactTimeout is how long after the last message from the leader a follower still counts as in contact with
// it. Nodes of a controller that has lost this contact search for another controller.
const leaderContactTimeout = time.Second

// runLeaderTasks does the work of the leader while this controller is the leader, until ctx ends.
func (c *Controller) runLeaderTasks(ctx context.Context, running *consensus) {
	tick := time.NewTicker(reportPollInterval)
	defer tick.Stop()
	for {
		if running.isLeader() && !running.isReadyLeader() {
			running.prepareLeadership()
		}
		running.reconcileMembership(c.reports.valid(time.Now()), c.processID)
		select {
		case <-tick.C:
		case <-running.leaderChanges:
		case <-ctx.Done():
			return
		}
	}
}

// prepareLeadership prepares a leader that was just elected: it applies all entries that were committed before, and
// gives a new cluster its identity. The leader must not answer publish requests before that, because it may not know
// yet of one that is already committed.
func (c *consensus) prepareLeadership() {
	term := c.raft.CurrentTerm()
	if err := c.raft.Barrier(commitTimeout).Error(); err != nil {
		c.log.Warn("the new leader could not apply the log", "err", err)
		return
	}
	if c.views.load().state.Cluster == "" {
		identity := configapi.Cluster(randomText())
		if _, err := c.propose(command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{identity}}); err != nil {
			c.log.Warn("giving the new cluster an identity failed", "err", err)
			return
		}
		c.log.Info("new cluster created", "cluster", c.views.load().state.Cluster)
	}
	if c.isLeader() && c.raft.CurrentTerm() == term {
		c.readyTerm.Store(term)
		c.log.Info("leading", "term", term, "version", c.views.load().state.Version)
	}
}

// isLeader reports whether this controller is the leader, as far as it knows.
func (c *consensus) isLeader() bool { return c.raft.State() == raft.Leader }

// isReadyLeader reports whether this controller is the leader and has applied all entries that were committed before
// its term.
func (c *consensus) isReadyLeader() bool {
	term := c.readyTerm.Load()
	return term != 0 && c.isLeader() && c.raft.CurrentTerm() == term
}

// leader returns the current leader, as far as this controller knows.
func (c *consensus) leader() (Member, bool) {
	_, id := c.raft.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return c.config.member(controllerName(id))
}

// hasLeaderContact reports whether this controller is in contact with the leader of a quorum, or is that leader. It is
// false while the cluster has no identity. A leader that loses its quorum steps down by itself when its lease ends.
func (c *consensus) hasLeaderContact(now time.Time) bool {
	if c.views.load().state.Cluster == "" {
		return false
	}
	if c.isLeader() {
		return true
	}
	_, known := c.leader()
	return known && now.Sub(c.raft.LastContact()) < leaderContactTimeout
}

// transferLeadership transfers the leadership to another controller, if this one is the leader and there is another, so
// that publish requests need not wait for an election.
func (c *consensus) transferLeadership() {
	if !c.isLeader() || len(c.config.Members) < 2 {
		return
	}
	if err := c.raft.LeadershipTransfer().Error(); err != nil {
		c.log.Warn("leadership transfer failed; the other controllers will elect a leader", "err", err)
	}
}
