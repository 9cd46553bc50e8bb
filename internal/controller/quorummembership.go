package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// Membership of the quorum: a controller whose disk was lost or is an old copy takes part as a new raft server, because
// the votes of the old server are not on its disk. The leader adjusts raft's configuration to the reports: it removes
// the old server, adds the new one as a nonvoter, and makes it a voter once it has the log, so that a quorum never
// depends on a disk that is still empty. At most one change is in progress at a time, and raft commits each change with
// a quorum.

// membershipChangeTimeout is how long one change of raft's configuration may take before it is retried.
const membershipChangeTimeout = 5 * time.Second

// reconcileMembership makes the membership changes that the valid reports require, and records the controllers' starts.
// It does nothing unless this controller is the leader and ready. It is called periodically; a change that is not
// possible yet is made by a later call.
func (c *consensus) reconcileMembership(reports map[string]memberReport, processID string) {
	if !c.isReadyLeader() {
		return
	}
	c.recordStart(c.disk.identity.ServerID, memberStart{c.disk.identity.Start, processID})
	for _, member := range c.config.Members {
		report, ok := reports[member.Name]
		if !ok || report.ServerID == "" || report.Phase == phaseEmpty {
			continue
		}
		if err := c.reconcileMember(member, report); err != nil {
			c.log.Warn("changing the membership of a controller failed", "controller", member.Name, "server", report.ServerID, "err", err)
			return
		}
		c.recordStart(report.ServerID, memberStart{report.Start, report.ProcessID})
	}
}

// reconcileMember makes the next changes for one controller.
func (c *consensus) reconcileMember(member Member, report memberReport) error {
	server := raft.ServerID(report.ServerID)
	if controllerName(server) != member.Name {
		return nil
	}
	servers, err := raftServers(c.raft)
	if err != nil {
		return err
	}
	for _, existing := range servers {
		switch {
		case existing.ID == server && existing.Suffrage == raft.Voter:
			return nil
		case existing.ID == server:
			return c.promoteToVoter(member, report)
		case controllerName(existing.ID) == member.Name && report.Phase == phaseJoining:
			c.log.Info("a controller has a new disk: removing its old server from the cluster", "controller", member.Name, "server", existing.ID)
			if err := c.raft.RemoveServer(existing.ID, 0, membershipChangeTimeout).Error(); err != nil {
				return err
			}
		}
	}
	if report.Phase != phaseJoining {
		return nil
	}
	c.log.Info("adding the new server of a controller as a nonvoter", "controller", member.Name, "server", server)
	return c.raft.AddNonvoter(server, configurationAddress(member), 0, membershipChangeTimeout).Error()
}

// maxPromotionLag is the maximum number of log entries that a nonvoter may lack when it becomes a voter: one message
// can carry them.
const maxPromotionLag = appendBatch

// promoteToVoter makes a nonvoter a voter once its log is at most maxPromotionLag entries behind.
func (c *consensus) promoteToVoter(member Member, report memberReport) error {
	if report.AppliedIndex+maxPromotionLag < c.raft.CommitIndex() || report.Cluster != c.views.load().state.Cluster {
		return nil
	}
	c.log.Info("a nonvoter has copied the log: making it a voter", "controller", member.Name, "server", report.ServerID)
	return c.raft.AddVoter(raft.ServerID(report.ServerID), configurationAddress(member), 0, membershipChangeTimeout).Error()
}

// recordStart records a controller's start in the log, unless it is recorded already. checkDiskFreshness uses these
// records.
func (c *consensus) recordStart(server string, start memberStart) {
	if recorded := c.views.load().state.Starts[server]; recorded.Start >= start.Start {
		return
	}
	proposal := command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{server, start.Start, start.ProcessID}}
	if _, err := c.propose(proposal); err != nil {
		c.log.Warn("recording the start of a controller failed", "server", server, "err", err)
	}
}
