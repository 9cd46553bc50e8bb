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
	c.recordStart(c.disk.identity.Server, memberStart{c.disk.identity.Start, process})
	for _, member := range c.config.Members {
		report, ok := reports[member.Name]
		if !ok || report.Server == "" || report.Phase == phaseEmpty {
			continue
		}
		if err := c.admitServer(member, report); err != nil {
			c.log.Warn("a controller could not be made a member", "controller", member.Name, "server", report.Server, "err", err)
			return
		}
		c.recordStart(report.Server, memberStart{report.Start, report.Process})
	}
}

// admitServer takes the next steps for one controller.
func (c *consensus) admitServer(member Member, report memberReport) error {
	server := raft.ServerID(report.Server)
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
	if report.Applied+appendBatch < c.raft.CommitIndex() || report.Cluster != c.hub.view().state.Cluster {
		return nil
	}
	c.log.Info("a controller that joined has the log and may vote", "controller", member.Name, "server", report.Server)
	return c.raft.AddVoter(raft.ServerID(report.Server), logAddress(member), 0, changeTimeout).Error()
}

// recordStart has a controller's start written to the log, once for each.
func (c *consensus) recordStart(server string, start memberStart) {
	if known := c.hub.view().state.Starts[server]; known.Start >= start.Start {
		return
	}
	what := command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{server, start.Start, start.Process}}
	if _, err := c.propose(what); err != nil {
		c.log.Warn("a controller's start was not recorded", "server", server, "err", err)
	}
}

// keepSnapshots takes a snapshot a moment after each change of the state, so that a controller that starts without a
// quorum serves its nodes what it had.
func (c *consensus) keepSnapshots(done <-chan struct{}) {
	for {
		changed := c.hub.view().superseded
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
