package node

import (
	"context"
	"errors"
	"time"

	"hookwalk.example/hookwalk/internal/lifecycle"
)

// operated is a node as its operators can call it.
type operated struct{ n *Node }

// TakesClients says why the process does not take clients, if it does not. One that has sent its clients away takes
// whoever comes all the same: that it is out of service is the front's to know, from /ready.
func (o operated) TakesClients() error {
	switch life := o.n.life.Load(); {
	case life.Leaving():
		return errors.New("the process is about to end")
	case !o.n.heard.Load():
		return errors.New("it has no list of servers yet")
	case !life.Running() || !o.n.engine.Listed():
		return errors.New("it knows no server in service")
	}
	return nil
}

// Hand takes a server out of use, or puts it back.
func (o operated) Hand(ctx context.Context, id string, out bool) error {
	return o.n.engine.Hand(ctx, id, out)
}

// Serve sends clients away, or takes them again.
func (o operated) Serve(_ context.Context, in bool) error {
	if in {
		o.n.step(lifecycle.InService)
		return nil
	}
	o.n.sweepAfter(o.n.step(lifecycle.OutOfService))
	return nil
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
			if rest, yes := m.Sweeps(n.clock.Now()); yes {
				n.in.sweep(rest)
			}
		}
	})
}
