package controller

import (
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// buildReport returns what this controller reports to another one. server is a raft server ID, whose recorded start is
// included.
func (c *Controller) buildReport(server string) memberReport {
	current, view := c.participation.Load(), c.views.load()
	r := memberReport{
		Load: configapi.Load{
			Name:             c.config.Self.Name,
			Cluster:          view.state.Cluster,
			Sessions:         c.nodes.sessionCount(),
			HasLeaderContact: view.hasLeaderContact,
		},
		Phase:     current.phase,
		ServerID:  current.serverID,
		Start:     current.start,
		ProcessID: c.processID,
		Founders:  current.founders,
	}
	if running := c.consensus.Load(); running != nil {
		r.AppliedIndex = running.raft.AppliedIndex()
	}
	if recorded, ok := view.state.Starts[server]; ok {
		r.RecordedStart = &recorded
	}
	return r
}

// buildStatus returns what this controller reports to operators.
func (c *Controller) buildStatus() configapi.ControllerStatus {
	view := c.views.load()
	s := configapi.ControllerStatus{
		Name:             c.config.Self.Name,
		Cluster:          view.state.Cluster,
		Version:          view.state.Version,
		HasLeaderContact: view.hasLeaderContact,
		Sessions:         c.nodes.sessionCount(),
		Nodes:            c.nodes.listStatuses(time.Now()),
		Controllers:      c.controllerAddresses(),
	}
	if running := c.consensus.Load(); running != nil {
		if leader, known := running.leader(); known {
			s.Leader = leader.Listen
		}
	}
	return s
}

// controllerAddresses returns the addresses of all controllers of the cluster.
func (c *Controller) controllerAddresses() []configapi.ControllerAddress {
	var addresses []configapi.ControllerAddress
	for _, member := range c.config.Members {
		addresses = append(addresses, member.ControllerAddress())
	}
	return addresses
}
