package engine

import (
	"context"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Endpoint is a server in the endpoint list, with its address.
type Endpoint struct {
	balancer.Server
	Addr string `json:"Addr"`
}

// Update is an update from an endpoint source: a complete list, changes to the list, or the failure of the source's watch.
type Update struct {
	Version   int64 // the source's version of the list; not used by the engine
	Endpoints []Endpoint
	Complete  bool // Endpoints is the complete list: servers that are not in it have been removed
	Cached    bool // Endpoints were persisted by an earlier process of the node
	// WatchFailed means that all polls and watches of the source have failed or ended. Endpoints is empty then. After a
	// backoff, the balancer requests Options.Subscribe, which has no effect on a source that polls on its own.
	WatchFailed bool
}

// Target is a server that may receive attempts, at one address and in one run of its process. A server that moves or
// restarts becomes a new target, because it can't share connections with the old one.
type Target struct {
	ID        string
	Addr      string
	StartTime time.Duration // when the server's process started, from discovery, on the engine's clock; 0: long ago

	stoppedAt   atomic.Int64 // the time from which nothing new may be sent, on the engine's clock; 0 if sends are allowed
	outstanding int          // attempts that have not ended; accessed only by the event loop
}

// StopSending forbids new sends to the server from the time now of the engine's clock. Only the first call has an effect.
func (t *Target) StopSending(now time.Duration) { t.stoppedAt.CompareAndSwap(0, int64(now)) }

// Stopped reports whether new sends to the server are forbidden because it is draining, has left the endpoint list or is
// disabled by an operator.
func (t *Target) Stopped() bool { return t.stoppedAt.Load() != 0 }

// ApplyUpdate delivers an update of the endpoint list. When it returns nil, the update is handled before all calls and
// results that are delivered later. On error, which is ErrStopped or that of ctx, the update is not applied.
func (e *Engine) ApplyUpdate(ctx context.Context, u Update) error {
	select {
	case e.updates <- u:
		return nil
	case <-e.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HasListedServer reports whether at least one server is listed as ready, even if it is disabled by an operator. It doesn't
// block.
func (e *Engine) HasListedServer() bool { return e.hasListedServer.Load() }

// HasUsableServer reports whether at least one server is listed as ready and not disabled by an operator. It doesn't block.
func (e *Engine) HasUsableServer() bool { return e.hasUsableServer.Load() }

// handleUpdate applies an update of the endpoint list. It stops sends to servers that are no longer ready before it
// notifies the balancer, because the drain grace (invariants.DrainGrace) starts here.
func (e *Engine) handleUpdate(u Update) {
	if u.WatchFailed {
		e.dispatch(balancer.WatchFailed{})
		return
	}
	event := balancer.EndpointUpdate{Complete: u.Complete, Cached: u.Cached}
	listed := map[string]bool{}
	for _, endpoint := range u.Endpoints {
		event.Servers = append(event.Servers, endpoint.Server)
		listed[endpoint.ID] = true
		e.updateEndpoint(endpoint)
	}
	if u.Complete {
		for id := range e.endpoints {
			if !listed[id] {
				e.removeEndpoint(id)
			}
		}
	}
	if e.Capture != nil {
		e.eventContext.Addresses = map[string]string{}
		for _, endpoint := range u.Endpoints {
			e.eventContext.Addresses[endpoint.ID] = endpoint.Addr
		}
	}
	e.dispatch(event)
	e.hasUsableServer.Store(len(e.targets) > 0)
	e.hasListedServer.Store(len(e.endpoints) > 0)
}

// updateEndpoint applies the update of one server.
func (e *Engine) updateEndpoint(endpoint Endpoint) {
	if endpoint.State != balancer.Ready {
		e.removeEndpoint(endpoint.ID)
		return
	}
	target := e.targets[endpoint.ID]
	if target != nil && (target.Addr != endpoint.Addr || target.StartTime != endpoint.StartTime) {
		e.removeEndpoint(endpoint.ID)
	}
	e.endpoints[endpoint.ID] = endpoint
	e.addTarget(endpoint)
}

// removeEndpoint removes a server that is no longer listed as ready, or whose address or start time has changed.
func (e *Engine) removeEndpoint(id string) {
	e.removeTarget(id)
	delete(e.endpoints, id)
}

// addTarget allows attempts to a listed server, unless it already has a target or an operator has disabled it.
func (e *Engine) addTarget(endpoint Endpoint) {
	if e.targets[endpoint.ID] == nil && !e.Balancer.IsDisabled(endpoint.ID) {
		e.targets[endpoint.ID] = &Target{ID: endpoint.ID, Addr: endpoint.Addr, StartTime: endpoint.StartTime}
	}
}

// removeTarget stops all new sends to a server, including those of attempts that wait for a connection.
func (e *Engine) removeTarget(id string) {
	if target := e.targets[id]; target != nil {
		target.StopSending(e.Clock.Now())
		e.Sender.Retire(target)
		delete(e.targets, id)
	}
}
