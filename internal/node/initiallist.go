package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
)

const (
	// polledListWait is how long a node waits for a first list before it uses the bootstrap list, if it polls discovery
	// or if discovery is unavailable. A list is unlikely to arrive soon then, and the node has to become ready.
	polledListWait = time.Second

	// pushedListWait is how long a node waits if discovery pushes and is available. The bootstrap list may be out of
	// date then, so discovery gets more time.
	pushedListWait = 2500 * time.Millisecond
)

// initialList gives the engine its first endpoint list.
//
// If discovery is polled, the first list is the bootstrap list. If discovery pushes, the node must follow discovery's
// list from the start. The bootstrap list may contain servers that are draining or were replaced, and
// requests sent to them would break an invariant. So requests wait for the first update, which is merged into the
// bootstrap list, or until the wait for it ends (polledListWait if discovery is unavailable, otherwise pushedListWait).
type initialList struct {
	mu      sync.Mutex
	applied bool
}

// apply gives the engine the initial list, unless the engine already has it, and an update from discovery (nil: none).
func (l *initialList) apply(ctx context.Context, n *Node, update *engine.Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.applied {
		initial := n.bootstrapUpdate()
		if update != nil {
			initial, update = mergeUpdate(initial, *update), nil
		}
		if err := n.engine.ApplyUpdate(ctx, initial); err != nil {
			return err
		}
		l.applied = true
	}
	if update == nil {
		return nil
	}
	return n.engine.ApplyUpdate(ctx, *update)
}

// startDiscovery watches discovery until ctx ends, and makes the engine use the bootstrap list if discovery sends no
// list in time. The returned function ends the wait for the first list.
func (n *Node) startDiscovery(ctx context.Context, goroutines *sync.WaitGroup) (stopWaiting func()) {
	if n.cfg.Settings.PollDiscovery || n.inheritedEndpoints != nil {
		n.initialList.apply(ctx, n, nil) // can't fail: neither ctx nor the engine has ended
	}
	goroutines.Go(func() { n.discovery.Run(ctx) })
	useBootstrapList := func() {
		n.initialList.apply(ctx, n, nil)
		n.initialListSettled.Store(true)
	}
	unavailableTimer := time.AfterFunc(polledListWait, func() {
		if n.cfg.Settings.PollDiscovery || n.discovery.Unavailable() {
			useBootstrapList()
		}
	})
	pushedListTimer := time.AfterFunc(pushedListWait, useBootstrapList)
	return func() {
		pushedListTimer.Stop()
		unavailableTimer.Stop()
	}
}

// applyDiscoveryUpdate gives the engine an update from discovery.
func (n *Node) applyDiscoveryUpdate(ctx context.Context, update engine.Update) error {
	if err := n.initialList.apply(ctx, n, &update); err != nil {
		return err
	}
	n.initialListSettled.Store(true)
	return nil
}

// bootstrapUpdate returns the list that a node starts with: that of the previous process, or else that of its
// configuration.
func (n *Node) bootstrapUpdate() engine.Update {
	update := discovery.ToUpdate(asComplete(n.cfg.BootstrapList))
	if n.inheritedEndpoints != nil {
		update = engine.Update{Endpoints: n.inheritedEndpoints, Complete: true, Version: n.discovery.Version()}
	}
	update.Cached = true
	return update
}

// asComplete returns the list marked as complete.
func asComplete(l discoveryapi.List) discoveryapi.List {
	l.Complete = true
	return l
}

// mergeUpdate returns a complete list with changes merged into it. Changes that are a complete list themselves, or
// report a failed watch, are returned as they are.
func mergeUpdate(list, changes engine.Update) engine.Update {
	if changes.Complete || changes.WatchFailed {
		return changes
	}
	changes.Complete = true
	for _, endpoint := range list.Endpoints {
		changed := slices.ContainsFunc(changes.Endpoints, func(c engine.Endpoint) bool { return c.ID == endpoint.ID })
		if !changed {
			changes.Endpoints = append(changes.Endpoints, endpoint)
		}
	}
	return changes
}
