package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// reconcile brings the cluster's members in line with what the controllers report, at the leader: a controller with a
// new disk replaces its old server, first as a nonvoter and, once it has the log, as a voter; starts are recorded. It
// makes the changes that can be made now, and is called again after the next reading.
func (c *consensus) reconcile(reports map[string]memberReport, process string) {
	if !c.isReady() {
		return
	}
	c.recordStart(c.disk.identity.ServerID, memberStart{c.disk.identity.Start, process})
	for _, member := range c.config.Members {
		report, ok := reports[member.Name]
		if !ok || report.ServerID == "" || report.Phase == phaseEmpty {
			continue
		}
		if err := c.reconcileMember(member, report); err != nil {
			c.log.Warn("a controller could not be made a member", "controller", member.Name, "server", report.ServerID, "err", err)
			return
		}
		c.recordStart(report.ServerID, memberStart{report.Start, report.ProcessID})
	}
}

// reconcileMember takes the next steps for one controller.
func (c *consensus) reconcileMember(member Member, report memberReport) error {
	server := raft.ServerID(report.ServerID)
	if controllerOf(server) != member.Name {
		return nil
	}
	configuration := c.raft.GetConfiguration()
	if err := configuration.Error(); err != nil {
		return err
	}
	for _, known := range configuration.Configuration().Servers {
		switch {
		case known.ID == server && known.Suffrage == raft.Voter:
			return nil
		case known.ID == server:
			return c.promote(member, report)
		case controllerOf(known.ID) == member.Name && report.Phase == phaseJoining:
			c.log.Info("a controller has another disk than before: its old server leaves the cluster", "controller", member.Name, "server", known.ID)
			if err := c.raft.RemoveServer(known.ID, 0, changeTimeout).Error(); err != nil {
				return err
			}
		}
	}
	if report.Phase != phaseJoining {
		return nil
	}
	c.log.Info("a controller joins", "controller", member.Name, "server", server)
	return c.raft.AddNonvoter(server, logAddress(member), 0, changeTimeout).Error()
}

// promote makes a nonvoter a voter once it has what was committed a moment ago.
func (c *consensus) promote(member Member, report memberReport) error {
	if report.AppliedIndex+appendBatch < c.raft.CommitIndex() || report.Cluster != c.views.load().state.Cluster {
		return nil
	}
	c.log.Info("a controller that joined has the log and may vote", "controller", member.Name, "server", report.ServerID)
	return c.raft.AddVoter(raft.ServerID(report.ServerID), logAddress(member), 0, changeTimeout).Error()
}

// recordStart has a controller's start written to the log, once for each.
func (c *consensus) recordStart(server string, start memberStart) {
	if known := c.views.load().state.Starts[server]; known.Start >= start.Start {
		return
	}
	what := command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{server, start.Start, start.ProcessID}}
	if _, err := c.propose(what); err != nil {
		c.log.Warn("a controller's start was not recorded", "server", server, "err", err)
	}
}

// snapshotOnChange takes a snapshot a moment after each change of the state, so that a controller that starts without a
// quorum serves its nodes what it had.
func (c *consensus) snapshotOnChange(done <-chan struct{}) {
	for {
		changed := c.views.load().superseded
		select {
		case <-changed:
		case <-done:
			return
		}
		timer := time.NewTimer(snapshotDelay)
		select {
		case <-timer.C:
		case <-done:
			timer.Stop()
			return
		}
		if err := c.raft.Snapshot().Error(); err != nil && err != raft.ErrNothingNewToSnapshot && err != raft.ErrRaftShutdown {
			c.log.Debug("no snapshot", "err", err)
		}
	}
}

// snapshotDelay is the time within which several changes share a snapshot.
const snapshotDelay = 2 * time.Second
