package node

import (
	"context"
	"errors"
	"time"

	"hookwalk.example/hookwalk/internal/hotrestart"
	"hookwalk.example/hookwalk/internal/lifecycle"
)

// adminService is a node as its operators can call it.
type adminService struct{ n *Node }

// CheckReady says why the process does not take clients, if it does not. One that has sent its clients away takes
// whoever comes all the same: that it is out of service is the front's to know, from /ready.
func (o adminService) CheckReady() error {
	if synced := o.n.kin.synced; synced != nil {
		select {
		case <-synced:
		default:
			return errors.New("it has not all that the process before it knows")
		}
	}
	switch life := o.n.life.Load(); {
	case life.ShuttingDown():
		return errors.New("the process is about to end")
	case !o.n.heard.Load():
		return errors.New("it has no list of servers yet")
	case !life.Running() || !o.n.engine.HasListedServer():
		return errors.New("it knows no server in service")
	}
	return nil
}

// PeersView is what the node knows of its peers, to be read as JSON; nil: it has none.
func (o adminService) Sites() any {
	if o.n.PeersView == nil {
		return nil
	}
	return o.n.PeersView()
}

// SetServerDisabled takes a server out of use, or puts it back.
func (o adminService) SetServerDisabled(ctx context.Context, id string, out bool) error {
	if err := o.n.engine.SetServerDisabled(ctx, id, out); err != nil {
		return err
	}
	o.n.pass(ctx, hotrestart.Message{Server: id, Disabled: out})
	return nil
}

// SetInService sends clients away, or takes them again.
func (o adminService) SetInService(ctx context.Context, in bool) error {
	o.n.setService(in)
	out := !in
	o.n.pass(ctx, hotrestart.Message{OutOfService: &out})
	return nil
}

// setService puts the node in service, or out of it.
func (n *Node) setService(in bool) {
	if in {
		n.step(lifecycle.InService)
		return
	}
	n.sweepAfter(n.step(lifecycle.OutOfService))
}

// sweepAfter closes connections at rest for as long as the node stays as it is.
func (n *Node) sweepAfter(m lifecycle.Machine) {
	n.sweeps.Go(func() {
		tick := time.NewTicker(sweepEvery)
		defer tick.Stop()
		for *n.life.Load() == m {
			select {
			case <-tick.C:
			case <-n.ended:
				return
			}
			if rest, yes := m.ClosesIdleConnections(n.clock.Now()); yes {
				n.in.sweep(rest)
			}
		}
	})
}
