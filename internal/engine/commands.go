package engine

import (
	"context"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/balancer"
)

// command is an operator's command or query that the loop carries out ahead of all client traffic; why ahead, see
// handleUrgent.
type command struct {
	execute func() error // called in the loop
	result  chan error   // buffers what execute returned, so that the loop need not wait
}

// run carries out a command. The loop calls it.
func (c command) run() { c.result <- c.execute() }

// runCommand has the loop carry out a command, and waits until that is done. Errors: that of execute, ErrStopped, and that of
// ctx if it ends before the loop has taken the command; with the latter two nothing was done.
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

// SetServerDisabled sets or ends an administrative override: a disabled server gets nothing, whatever the endpoint list
// says. When it returns nil nothing new goes to the server, also no attempt that was chosen before and waits for a
// connection. With an error nothing has changed: balancer.ErrTooManyOverrides and others of Balancer.CheckOverride,
// ErrStopped, or that of ctx.
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

// ChangeSettings has the balancer take over settings, which must have passed balancer.Settings.Validate. Open calls keep
// the settings with which they arrived. Errors: ErrStopped, or that of ctx; then the old settings stay.
func (e *Engine) ChangeSettings(ctx context.Context, settings balancer.Settings) error {
	return e.runCommand(ctx, func() error {
		e.dispatch(balancer.SettingsChanged{Settings: settings})
		return nil
	})
}

// Servers returns the servers that are listed as ready, also those disabled by an operator, sorted by ID. Errors:
// ErrStopped, or that of ctx.
func (e *Engine) Servers(ctx context.Context) (servers []balancer.Server, err error) {
	err = e.runCommand(ctx, func() error {
		for _, id := range slices.Sorted(maps.Keys(e.endpoints)) {
			servers = append(servers, e.endpoints[id].Server)
		}
		return nil
	})
	return servers, err
}

// SuccessorState returns what the process that takes over from this one has to know: the balancer's state, the endpoints
// listed as ready, and the IDs of disabled servers. commit is called in the loop, with no event between it and the state
// that is returned; it must not block. Errors: that of Balancer.SuccessorState, ErrStopped, or that of ctx; commit was not
// called then.
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
