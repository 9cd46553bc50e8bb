package controller

import (
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// report is what this controller reports to another one; server is the raft server ID whose recorded start is asked
// for.
func (c *Controller) report(server string) memberReport {
	own, view := c.participation.Load(), c.views.load()
	r := memberReport{
		Load: configapi.Load{
			Name:             c.config.Self.Name,
			Cluster:          view.state.Cluster,
			Sessions:         c.nodes.sessions(),
			HasLeaderContact: view.hasLeaderContact,
		},
		Phase:     own.phase,
		ServerID:  own.serverID,
		Start:     own.start,
		ProcessID: c.processID,
		Founders:  own.founders,
	}
	if running := c.consensus.Load(); running != nil {
		r.AppliedIndex = running.raft.AppliedIndex()
	}
	if recorded, ok := view.state.Starts[server]; ok {
		r.RecordedStart = &recorded
	}
	return r
}

// status is what this controller reports to operators.
func (c *Controller) status() configapi.ControllerStatus {
	view := c.views.load()
	s := configapi.ControllerStatus{
		Name:             c.config.Self.Name,
		Cluster:          view.state.Cluster,
		Version:          view.state.Version,
		HasLeaderContact: view.hasLeaderContact,
		Sessions:         c.nodes.sessions(),
		Nodes:            c.nodes.list(time.Now()),
		Controllers:      c.controllerAddresses(),
	}
	if running := c.consensus.Load(); running != nil {
		if leader, known := running.leader(); known {
			s.Leader = leader.Listen
		}
	}
	return s
}

// controllerAddresses are the addresses of all controllers of the cluster.
func (c *Controller) controllerAddresses() []configapi.ControllerAddress {
	var addresses []configapi.ControllerAddress
	for _, member := range c.config.Members {
		addresses = append(addresses, member.ControllerAddress())
	}
	return addresses
}
