package node

import (
	"context"
	"errors"

	"hookwalk.example/hookwalk/internal/hotrestart"
)

// Reasons why a process does not accept clients, as the admin API reports them.
var (
	errNotSynced      = errors.New("it has not all that the process before it knows")
	errShuttingDown   = errors.New("the process is about to end")
	errNoList         = errors.New("it has no list of servers yet")
	errNoListedServer = errors.New("it knows no server in service")
)

// adminService provides the operations of the admin API on a node. It implements adminapi.Node.
type adminService struct{ node *Node }

// CheckReady returns the reason why the process does not accept clients, or nil. Being out of service is not such a reason:
// the process still accepts clients then, and /ready tells the load balancer in front of the nodes to send no more.
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

// Peers returns what the node knows about its peers, in a form that can be encoded as JSON, or nil if it has no peers.
func (s adminService) Peers() any {
	if s.node.PeersView == nil {
		return nil
	}
	return s.node.PeersView()
}

// SetServerDisabled disables a server or enables it again. The change is also sent to the other process of the node and
// saved in the persisted operator state.
func (s adminService) SetServerDisabled(ctx context.Context, id string, disabled bool) error {
	if err := s.node.engine.SetServerDisabled(ctx, id, disabled); err != nil {
		return err
	}
	s.node.recordOperatorCall(ctx, hotrestart.Message{Server: id, Disabled: disabled})
	return nil
}

// SetInService puts the node in service or takes it out of service. The change is also sent to the other process of the
// node and saved in the persisted operator state.
func (s adminService) SetInService(ctx context.Context, inService bool) error {
	s.node.setInService(inService)
	outOfService := !inService
	s.node.recordOperatorCall(ctx, hotrestart.Message{OutOfService: &outOfService})
	return nil
}
