package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
)

const (
	// polledListWait is how long requests wait for a first list if the node polls discovery or if discovery is unavailable.
	// A list is unlikely to arrive soon then, and the node has to become ready.
	polledListWait = time.Second

	// pushedListWait is how long requests wait for a first list if discovery pushes and is available.
	pushedListWait = 2500 * time.Millisecond

	// maxFirstPollDelay spreads the first polls of nodes that start together.
	maxFirstPollDelay = 150 * time.Millisecond
)

// initialList gives the engine its first endpoint list.
//
// The bootstrap list may be of any age. It may contain servers that are draining or were replaced, and requests sent to them
// would break an invariant. So requests wait for the first update, which is merged into the bootstrap list. If no
// update comes, the wait ends when a poll fails, or after polledListWait, if discovery is polled; otherwise after polledListWait
// if discovery is unavailable, and after pushedListWait if it is not. From then on requests are rejected at once, because the
// bootstrap list has no lease (endpointlease.Tracker), until discovery sends a list.
//
// The list that another process hands over is used at once. Its lease is handed over with it.
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
		if update != nil && !update.WatchFailed {
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
	useBootstrapList := func() {
		n.initialList.apply(ctx, n, nil)
		n.initialListSettled.Store(true)
	}
	if n.inheritedEndpoints != nil {
		useBootstrapList()
	}
	goroutines.Go(func() { n.discovery.Run(ctx) })
	if !n.cfg.Settings.PollDiscovery {
		unavailable := time.AfterFunc(polledListWait, func() {
			if n.discovery.Unavailable() {
				useBootstrapList()
			}
		})
		return stopTimers(unavailable, time.AfterFunc(pushedListWait, useBootstrapList))
	}
	firstPoll := time.AfterFunc(time.Duration(rand.Int64N(int64(maxFirstPollDelay))), n.discovery.RequestPoll)
	return stopTimers(firstPoll, time.AfterFunc(polledListWait, useBootstrapList))
}

// stopTimers returns a function that stops timers.
func stopTimers(timers ...*time.Timer) func() {
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
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

// mergeUpdate returns a complete list with changes merged into it. Changes that are a complete list themselves are returned
// as they are.
func mergeUpdate(list, changes engine.Update) engine.Update {
	if changes.Complete {
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
