package node

import (
	"context"
	"errors"
	"time"

	"hookwalk.example/hookwalk/internal/hotrestart"
	"hookwalk.example/hookwalk/internal/lifecycle"
)

// adminService is a node as its operators can call it.
type adminService struct{ node *Node }

// CheckReady says why the process does not take clients, if it does not. One that has sent its clients away takes
// whoever comes all the same: that it is out of service is the front's to know, from /ready.
func (o adminService) CheckReady() error {
	if synced := o.node.peer.synced; synced != nil {
		select {
		case <-synced:
		default:
			return errors.New("it has not all that the process before it knows")
		}
	}
	switch life := o.node.lifecycle.Load(); {
	case life.ShuttingDown():
		return errors.New("the process is about to end")
	case !o.node.hasEndpointList.Load():
		return errors.New("it has no list of servers yet")
	case !life.Running() || !o.node.engine.HasListedServer():
		return errors.New("it knows no server in service")
	}
	return nil
}

// PeersView is what the node knows of its peers, to be read as JSON; nil: it has none.
func (o adminService) Sites() any {
	if o.node.PeersView == nil {
		return nil
	}
	return o.node.PeersView()
}

// SetServerDisabled takes a server out of use, or puts it back.
func (o adminService) SetServerDisabled(ctx context.Context, id string, out bool) error {
	if err := o.node.engine.SetServerDisabled(ctx, id, out); err != nil {
		return err
	}
	o.node.replicate(ctx, hotrestart.Message{Server: id, Disabled: out})
	return nil
}

// SetInService sends clients away, or takes them again.
func (o adminService) SetInService(ctx context.Context, in bool) error {
	o.node.setInService(in)
	out := !in
	o.node.replicate(ctx, hotrestart.Message{OutOfService: &out})
	return nil
}

// setService puts the node in service, or out of it.
func (n *Node) setInService(in bool) {
	if in {
		n.transition(lifecycle.InService)
		return
	}
	n.closeIdleConnections(n.transition(lifecycle.OutOfService))
}

// sweepAfter closes connections at rest for as long as the node stays as it is.
func (n *Node) closeIdleConnections(m lifecycle.Machine) {
	n.idleClosers.Go(func() {
		tick := time.NewTicker(idleCloseInterval)
		defer tick.Stop()
		for *n.lifecycle.Load() == m {
			select {
			case <-tick.C:
			case <-n.stopped:
				return
			}
			if rest, yes := m.ClosesIdleConnections(n.clock.Now()); yes {
				n.clients.closeIdle(rest)
			}
		}
	})
}
