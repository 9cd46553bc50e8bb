package node

import (
	"context"
	"errors"

	"hookwalk.example/hookwalk/internal/hotrestart"
)

// Why a process does not take clients, as operators read it.
var (
	errNotSynced      = errors.New("it has not all that the process before it knows")
	errShuttingDown   = errors.New("the process is about to end")
	errNoList         = errors.New("it has no list of servers yet")
	errNoListedServer = errors.New("it knows no server in service")
)

// adminService is a node as its operators can call it. It implements adminapi.Node.
type adminService struct{ node *Node }

// CheckReady returns why the process does not take clients, or nil. A process that is out of service takes whoever comes
// all the same: that it is out of service is for the load balancer in front of the nodes to know, from /ready.
func (s adminService) CheckReady() error {
	if !s.node.otherProcess.isSynced() {
		return errNotSynced
	}
	switch machine := s.node.lifecycle.Load(); {
	case machine.ShuttingDown():
		return errShuttingDown
	case !s.node.initialListSettled.Load():
		return errNoList
	case !machine.Running() || !s.node.engine.HasListedServer():
		return errNoListedServer
	}
	return nil
}

// Peers is what the node knows of its peers, to be written as JSON; nil: it has none.
func (s adminService) Peers() any {
	if s.node.PeersView == nil {
		return nil
	}
	return s.node.PeersView()
}

// SetServerDisabled takes a server out of use, or puts it back.
func (s adminService) SetServerDisabled(ctx context.Context, id string, disabled bool) error {
	if err := s.node.engine.SetServerDisabled(ctx, id, disabled); err != nil {
		return err
	}
	s.node.recordOperatorCall(ctx, hotrestart.Message{Server: id, Disabled: disabled})
	return nil
}

// SetInService takes clients again, or sends them away.
func (s adminService) SetInService(ctx context.Context, inService bool) error {
	s.node.setInService(inService)
	outOfService := !inService
	s.node.recordOperatorCall(ctx, hotrestart.Message{OutOfService: &outOfService})
	return nil
}
