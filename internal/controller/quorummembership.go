package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// Membership of the quorum: a controller whose disk was lost or is an old copy takes part as a new raft server, because
// the old server's votes are not on its disk. The leader brings raft's configuration in line with the reports: it
// removes the old server, adds the new one as a nonvoter, and makes it a voter once it has the log, so that a quorum
// never counts on a disk that is still empty. At most one change is in progress; raft commits each by a quorum.

// membershipChangeTimeout is how long one change of raft's configuration may take before it is tried again.
const membershipChangeTimeout = 5 * time.Second

// reconcileMembership makes the membership changes that the valid reports ask for, at the leader, and records the controllers'
// starts. It is called after each reading; what can't be done yet is done by a later call.
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
			c.log.Warn("a controller could not be made a member", "controller", member.Name, "server", report.ServerID, "err", err)
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
			c.log.Info("a controller has another disk than before: its old server leaves the cluster", "controller", member.Name, "server", existing.ID)
			if err := c.raft.RemoveServer(existing.ID, 0, membershipChangeTimeout).Error(); err != nil {
				return err
			}
		}
	}
	if report.Phase != phaseJoining {
		return nil
	}
	c.log.Info("a controller joins", "controller", member.Name, "server", server)
	return c.raft.AddNonvoter(server, configurationAddress(member), 0, membershipChangeTimeout).Error()
}

// maxPromotionLag is how many log entries a nonvoter may lack when it becomes a voter: one message brings them.
const maxPromotionLag = appendBatch

// promoteToVoter makes a nonvoter a voter once its log is at most maxPromotionLag entries behind.
func (c *consensus) promoteToVoter(member Member, report memberReport) error {
	if report.AppliedIndex+maxPromotionLag < c.raft.CommitIndex() || report.Cluster != c.views.load().state.Cluster {
		return nil
	}
	c.log.Info("a controller that joined has the log and may vote", "controller", member.Name, "server", report.ServerID)
	return c.raft.AddVoter(raft.ServerID(report.ServerID), configurationAddress(member), 0, membershipChangeTimeout).Error()
}

// recordStart writes a controller's start to the log, once for each. judgeDisk compares with these records.
func (c *consensus) recordStart(server string, start memberStart) {
	if recorded := c.views.load().state.Starts[server]; recorded.Start >= start.Start {
		return
	}
	proposal := command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{server, start.Start, start.ProcessID}}
	if _, err := c.propose(proposal); err != nil {
		c.log.Warn("a controller's start was not recorded", "server", server, "err", err)
	}
}
