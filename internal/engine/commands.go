package engine

import (
	"context"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/balancer"
)

// command is an operator's command or query. The event loop runs it before all pending client traffic; handleUrgent says
// why.
type command struct {
	execute func() error // called in the event loop
	result  chan error   // buffers the result of execute, so that the loop does not wait
}

// run executes a command in the event loop.
func (c command) run() { c.result <- c.execute() }

// runCommand calls execute in the event loop and returns its error. It returns ErrStopped if the engine stops, or the error
// of ctx if ctx is done, before the loop receives the command; execute is not called then.
func (e *Engine) runCommand(ctx context.Context, execute func() error) error {
	c := command{execute: execute, result: make(chan error, 1)}
	select {
	case e.commands <- c:
		return <-c.result
	case <-e.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetServerDisabled sets or removes an administrative override. A disabled server gets no requests, whatever the endpoint
// list says. Once SetServerDisabled has returned nil for a disabled server, no new request is sent to it, including
// attempts that were started earlier and still wait for a connection. On error nothing has changed. The error is one from
// Balancer.CheckOverride (such as balancer.ErrTooManyOverrides), ErrStopped, or that of ctx.
func (e *Engine) SetServerDisabled(ctx context.Context, id string, disabled bool) error {
	return e.runCommand(ctx, func() error {
		if err := e.Balancer.CheckOverride(id); err != nil {
			return err
		}
		if e.Balancer.IsDisabled(id) == disabled {
			return nil
		}
		if disabled {
			e.removeTarget(id)
		}
		e.dispatch(balancer.AdminOverride{Server: id, Disabled: disabled})
		if endpoint, listed := e.endpoints[id]; listed {
			e.addTarget(endpoint)
		}
		e.Log.Info("administrative override", "server", id, "disabled", disabled)
		e.hasUsableServer.Store(len(e.targets) > 0)
		return nil
	})
}

// ChangeSettings applies new settings, which must have passed balancer.Settings.Validate. Open calls keep the settings under
// which they were accepted. On error, which is ErrStopped or that of ctx, the old settings remain in force.
func (e *Engine) ChangeSettings(ctx context.Context, settings balancer.Settings) error {
	return e.runCommand(ctx, func() error {
		e.dispatch(balancer.SettingsChanged{Settings: settings})
		return nil
	})
}

// Servers returns the servers that are listed as ready, including those disabled by an operator, sorted by ID. The error is
// ErrStopped or that of ctx.
func (e *Engine) Servers(ctx context.Context) (servers []balancer.Server, err error) {
	err = e.runCommand(ctx, func() error {
		for _, id := range slices.Sorted(maps.Keys(e.endpoints)) {
			servers = append(servers, e.endpoints[id].Server)
		}
		return nil
	})
	return servers, err
}

// SuccessorState returns the state for the process that takes over from this one: the balancer's state, the endpoints
// listed as ready, and the IDs of disabled servers. It calls commit in the event loop after it has read the state, with no
// event in between; commit must not block. On error, which is that of Balancer.SuccessorState, ErrStopped, or that of ctx,
// commit is not called.
func (e *Engine) SuccessorState(ctx context.Context, commit func()) (
	state []byte, endpoints []Endpoint, disabled []string, err error,
) {
	err = e.runCommand(ctx, func() error {
		if state, err = e.Balancer.SuccessorState(); err != nil {
			return err
		}
		for _, id := range slices.Sorted(maps.Keys(e.endpoints)) {
			endpoints = append(endpoints, e.endpoints[id])
		}
		disabled = e.Balancer.DisabledServers()
		commit()
		return nil
	})
	return state, endpoints, disabled, err
}
