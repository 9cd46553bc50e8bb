package engine

import (
	"context"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/balancer"
)

// order is something that an operator wants of the loop.
type order struct {
	do   func() error // in the loop
	done chan error   // takes what came of it without blocking
}

// order has the loop do something ahead of all client work. When it returns nil, it is done.
func (e *Engine) order(ctx context.Context, do func() error) error {
	o := order{do: do, done: make(chan error, 1)}
	select {
	case e.orders <- o:
		return <-o.done
	case <-e.stop:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetServerDisabled takes a server out of use by an operator's word, or puts it back. When it returns nil nothing new goes to a
// server that was taken out, also not what was chosen for it before. Else nothing has changed.
func (e *Engine) SetServerDisabled(ctx context.Context, id string, out bool) error {
	return e.order(ctx, func() error {
		if err := e.Balancer.CheckOverride(id); err != nil {
			return err
		}
		if e.Balancer.IsDisabled(id) == out {
			return nil
		}
		if out {
			e.halt(id)
		}
		e.handle(balancer.AdminOverride{Server: id, Disabled: out})
		if b, listed := e.boxes[id]; listed {
			e.aim(b)
		}
		e.Log.Info("server by hand", "server", id, "out", out)
		e.usable.Store(len(e.targets) > 0)
		return nil
	})
}

// ChangeSettings has the module take over settings, which it has said are sound. Calls that are open keep their rules.
func (e *Engine) ChangeSettings(ctx context.Context, set balancer.Settings) error {
	return e.order(ctx, func() error {
		e.handle(balancer.SettingsChanged{Settings: set})
		return nil
	})
}

// Servers are the servers that are listed as in service, those out by hand among them, in the order of their names.
func (e *Engine) Servers(ctx context.Context) (servers []balancer.Server, err error) {
	err = e.order(ctx, func() error {
		for _, id := range slices.Sorted(maps.Keys(e.boxes)) {
			servers = append(servers, e.boxes[id].Server)
		}
		return nil
	})
	return servers, err
}

// SuccessorState is what another process of the node has to know: the module's heir, the servers in service with their
// addresses, and those out by hand. commit is called in the loop with nothing happening between; it must not wait.
func (e *Engine) SuccessorState(ctx context.Context, commit func()) (heir []byte, boxes []Endpoint, out []string, err error) {
	err = e.order(ctx, func() error {
		if heir, err = e.Balancer.SuccessorState(); err != nil {
			return err
		}
		for _, id := range slices.Sorted(maps.Keys(e.boxes)) {
			boxes = append(boxes, e.boxes[id])
		}
		out = e.Balancer.DisabledServers()
		commit()
		return nil
	})
	return heir, boxes, out, err
}
