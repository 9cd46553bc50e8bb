package controller

import (
	"context"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// leaderContactTimeout is how long ago a follower may have heard from the leader to call itself current. Nodes of a
// controller that is not current search for another one.
const leaderContactTimeout = time.Second

// runLeaderTasks does the work of a leader while the controller is one, until ctx ends.
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

// prepareLeadership readies a leader that was just elected: it applies what was committed before, and gives a new
// cluster its identity. Until then the leader must not answer publish requests: it might not know one that it has
// committed.
func (c *consensus) prepareLeadership() {
	term := c.raft.CurrentTerm()
	if err := c.raft.Barrier(commitTimeout).Error(); err != nil {
		c.log.Warn("leadership lost again before the log was applied", "err", err)
		return
	}
	if c.views.load().state.Cluster == "" {
		identity := configapi.Cluster(randomText())
		if _, err := c.propose(command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{identity}}); err != nil {
			c.log.Warn("the new cluster has no identity yet", "err", err)
			return
		}
		c.log.Info("a new cluster has begun", "cluster", c.views.load().state.Cluster)
	}
	if c.isLeader() && c.raft.CurrentTerm() == term {
		c.readyTerm.Store(term)
		c.log.Info("leading", "term", term, "version", c.views.load().state.Version)
	}
}

// isLeader reports whether this controller is the leader, as far as it knows.
func (c *consensus) isLeader() bool { return c.raft.State() == raft.Leader }

// isReadyLeader reports whether this controller is the leader and has applied all that was committed before its term.
func (c *consensus) isReadyLeader() bool {
	term := c.readyTerm.Load()
	return term != 0 && c.isLeader() && c.raft.CurrentTerm() == term
}

// leader is the controller that leads, as far as this one knows.
func (c *consensus) leader() (Member, bool) {
	_, id := c.raft.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return c.config.member(controllerName(id))
}

// hasLeaderContact reports whether the controller is in contact with the leader of a quorum. A leader that loses its quorum
// steps down by itself when its lease ends.
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

// transferLeadership hands the leadership to another controller, if this one leads and there is another: publish
// requests then need not wait for an election.
func (c *consensus) transferLeadership() {
	if !c.isLeader() || len(c.config.Members) < 2 {
		return
	}
	if err := c.raft.LeadershipTransfer().Error(); err != nil {
		c.log.Warn("the leadership transfer failed; the others elect a leader", "err", err)
	}
}
