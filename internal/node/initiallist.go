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
	// polledListWait is how long a node that polls discovery, or finds it unavailable, waits for a first list before it
	// settles for the bootstrap list: no list is likely to come soon, and the node is to be ready.
	polledListWait = time.Second

	// pushedListWait is the same where discovery pushes and is available. The bootstrap list may be out of date there,
	// so discovery gets more time.
	pushedListWait = 2500 * time.Millisecond
)

// initialList is the first endpoint list that the engine is given.
//
// Where discovery is polled, that is the bootstrap list. Where discovery pushes, what it has counts as known from the
// first moment on, and the bootstrap list may contain servers that drain or were replaced; requests sent there would
// break a rule. So requests wait for the first update, which then changes the bootstrap list in one step, or until
// discovery has had its time.
type initialList struct {
	mu      sync.Mutex
	applied bool
}

// apply gives the engine the list that the node begins with, unless it has it, and an update of discovery (nil: none).
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

// startDiscovery watches discovery until ctx ends, and sees to it that the engine has a list in time. The function that
// it returns ends the wait for the first list.
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

// applyDiscoveryUpdate gives the engine what discovery has sent.
func (n *Node) applyDiscoveryUpdate(ctx context.Context, update engine.Update) error {
	if err := n.initialList.apply(ctx, n, &update); err != nil {
		return err
	}
	n.initialListSettled.Store(true)
	return nil
}

// bootstrapUpdate is the list that a node begins with: that of the process before, else that of its configuration.
func (n *Node) bootstrapUpdate() engine.Update {
	update := discovery.ToUpdate(asComplete(n.cfg.BootstrapList))
	if n.inheritedEndpoints != nil {
		update = engine.Update{Endpoints: n.inheritedEndpoints, Complete: true, Version: n.discovery.Version()}
	}
	update.Cached = true
	return update
}

// asComplete marks the list that a node starts with as complete.
func asComplete(l discoveryapi.List) discoveryapi.List {
	l.Complete = true
	return l
}

// mergeUpdate is a list with changes made to it.
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
