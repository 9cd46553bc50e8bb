package engine

import (
	"context"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Endpoint is a server of the endpoint list and its address.
type Endpoint struct {
	balancer.Server
	Addr string `json:"Addr"`
}

// Update is what a source of endpoints hands in: a list, changes of one, or that its watch failed.
type Update struct {
	Version   int64 // as the source counts; the engine does not look at it
	Endpoints []Endpoint
	Complete  bool // Endpoints are all that there are; what is not among them has left the list
	Cached    bool // Endpoints were kept from an earlier run of the node
	// WatchFailed says that the source's polls and watches have failed or ended, and none is left; there are no Endpoints. The
	// balancer answers with Options.Subscribe after a backoff, which changes nothing at a source that polls by itself.
	WatchFailed bool
}

// Target is a server that may be sent to: at one address, and from one start of the server to the next. A server that moved
// or restarted is another target, for it shares no connection with the one before.
type Target struct {
	ID        string
	Addr      string
	StartTime time.Duration // as discovery gives it: when its process started, by the engine's clock; 0: long ago

	stoppedAt   atomic.Int64 // when sends had to stop, by the engine's clock; 0: they need not
	outstanding int          // attempts that have not ended; the loop's own
}

// StopSending says that the server gets nothing new from a time of the engine's clock on; only the first call counts.
func (t *Target) StopSending(now time.Duration) { t.stoppedAt.CompareAndSwap(0, int64(now)) }

// Stopped says that the server drains, has left the list or is disabled by an operator: nothing new may go to it.
func (t *Target) Stopped() bool { return t.stoppedAt.Load() != 0 }

// ApplyUpdate hands in an update of the endpoint list. When it returns nil, the update goes ahead of all calls and results
// that are handed in later. Errors: ErrStopped, and that of ctx if it ends first; then the update was not taken.
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

// HasListedServer says whether some server is listed as ready, be it disabled by an operator. It doesn't block.
func (e *Engine) HasListedServer() bool { return e.hasListedServer.Load() }

// HasUsableServer says whether some server is listed as ready and not disabled by an operator. It doesn't block.
func (e *Engine) HasUsableServer() bool { return e.hasUsableServer.Load() }

// handleUpdate takes over an update of the endpoint list. It stops all sends to servers that may get nothing new before it
// notifies the balancer: the drain grace counts from here.
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

// updateEndpoint takes over one server of an update.
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

// removeEndpoint forgets a server that is not listed as ready any more, or not as it was.
func (e *Engine) removeEndpoint(id string) {
	e.removeTarget(id)
	delete(e.endpoints, id)
}

// addTarget lets a listed server get attempts, unless it does already or an operator has disabled it.
func (e *Engine) addTarget(endpoint Endpoint) {
	if e.targets[endpoint.ID] == nil && !e.Balancer.IsDisabled(endpoint.ID) {
		e.targets[endpoint.ID] = &Target{ID: endpoint.ID, Addr: endpoint.Addr, StartTime: endpoint.StartTime}
	}
}

// removeTarget stops all new sends to a server, also those of attempts that wait for a connection.
func (e *Engine) removeTarget(id string) {
	if target := e.targets[id]; target != nil {
		target.StopSending(e.Clock.Now())
		e.Sender.Retire(target)
		delete(e.targets, id)
	}
}
