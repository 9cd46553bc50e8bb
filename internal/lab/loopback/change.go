package loopback

import (
	"fmt"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// applyChanges carries out changes at their times, until the world ends.
func (w *World) applyChanges(changes []model.Change) error {
	for _, c := range changes {
		if !w.sleep(c.At - w.now()) {
			return nil
		}
		if err := w.applyChange(c); err != nil {
			return fmt.Errorf("%v at %v: %w", c.Kind, c.At, err)
		}
	}
	return nil
}

// applyChange carries out one change of the world.
func (w *World) applyChange(c model.Change) error {
	switch c.Kind {
	case model.NodeTerminate:
		w.terminateNode(c.Index)
	case model.NodeKill:
		w.killNode(c.Index)
	case model.NodeStart:
		w.goOwned(func() {
			if w.ingress.nodes[c.Index].start(w.ctx) == nil {
				w.ingress.setServing(c.Index, true)
			}
		})
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		return w.discovery.applyChange(c.Kind)
	case model.Overload:
		w.locked(func() { w.arrivals.SetFactor(c.Magnitude) })
	case model.RetryStorm:
		w.locked(func() { w.retryStorm = c.Magnitude })
	case model.HeavyTail:
		w.locked(func() {
			for class := range w.heavyTails {
				if c.Class < 0 || c.Class == class {
					w.heavyTails[class] = heavyTail{c.Magnitude, c.Share}
				}
			}
		})
	default:
		return w.applyServerChange(c, w.servers[c.Tier][c.Index])
	}
	return nil
}

// applyServerChange carries out a change of one server.
func (w *World) applyServerChange(c model.Change, b *server) error {
	delays := w.scenario.Discovery
	switch c.Kind {
	case model.Crash:
		w.crashServer(b, b.inState(model.Draining))
	case model.Start:
		return w.bootServer(b)
	case model.Drain:
		if b.inState(model.Up) {
			b.locked(func() { b.model.State = model.Draining })
			w.updateEndpoint(b, HealthDraining, 0, delays.DrainDelay)
		}
	case model.Disconnect:
		w.updateEndpoint(b, HealthRemoved, 0, delays.UnreachableDelay)
		return b.disconnect()
	case model.Reconnect:
		b.locked(b.reconnect)
		if b.inState(model.Up) {
			w.updateEndpoint(b, HealthReady, 0, delays.AddDelay)
		}
	case model.ScaleSpeed:
		b.locked(func() {
			b.model.SetSpeedFactor(w.now(), b.model.SpeedFactor*c.Magnitude)
			b.scheduleCompletion()
		})
	case model.BreakAnswers:
		b.locked(func() { b.brokenShare = c.Magnitude * c.Share })
	case model.ResetIdleConnections:
		b.resetIdle(c.Share)
	}
	return nil
}

// crashServer ends a server, and its node with it.
func (w *World) crashServer(b *server, planned bool) {
	if b.inState(model.Down) {
		return
	}
	switch {
	case w.worker != nil:
		w.worker.send(Message{Operation: OpServerDied, Tier: b.model.Tier, Index: b.model.Index})
	case b.node != nil:
		w.observations.nodeKilled(w.now(), b.node.incarnationName())
		b.node.signal(syscall.SIGKILL)
	}
	b.stop()
	delay := w.scenario.Discovery.CrashDelay
	if planned {
		delay = w.scenario.Discovery.DrainDelay
	}
	w.updateEndpoint(b, HealthRemoved, 0, delay)
}

// updateEndpoint has discovery list a server's state after a while.
func (w *World) updateEndpoint(b *server, health string, startTime, wait time.Duration) {
	if w.worker != nil {
		w.worker.send(Message{Operation: OpEndpointState, Tier: b.model.Tier, Index: b.model.Index, Health: health, StartTime: startTime, Delay: wait})
		return
	}
	w.discovery.updateEndpoint(b, health, startTime, wait)
}

// bootServer starts a server that is down, to warm up, once its node is ready.
func (w *World) bootServer(b *server) error {
	switch {
	case !b.inState(model.Down):
		return nil
	case b.node == nil:
		return w.startServer(b)
	case w.worker != nil: // the parent starts the node, and answers with OpServerStart
		w.worker.send(Message{Operation: OpStartNode, Node: b.node.base, Tier: b.model.Tier, Index: b.model.Index})
		return nil
	}
	w.goOwned(func() {
		if b.node.start(w.ctx) == nil {
			w.startServer(b)
		}
	})
	return nil
}

// startServer starts a server now.
func (w *World) startServer(b *server) error {
	now := w.now()
	b.locked(func() { b.model.Start(now) })
	w.observations.record(blackbox.Event{At: now, Kind: blackbox.ServerStarted, Server: b.model.ID})
	if err := b.start(); err != nil {
		return err
	}
	if w.worker != nil {
		w.worker.send(Message{Operation: OpServerStart, Tier: b.model.Tier, Index: b.model.Index, Addr: b.addr})
	}
	w.updateEndpoint(b, HealthReady, now, w.scenario.Discovery.AddDelay)
	return nil
}

// terminateNode sends SIGTERM to an ingress node.
func (w *World) terminateNode(i int) {
	exited, name := w.ingress.nodes[i].signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.afterDelay(model.IngressDrainDelay, func() { w.ingress.setServing(i, false) })
	w.goOwned(func() {
		<-exited
		w.sleep(socketSlack) // its last answers are still being read
		w.observations.nodeStopped(w.now(), name)
	})
}

// killNode sends SIGKILL to an ingress node. The ingress notices later, unless the node runs again by then.
func (w *World) killNode(i int) {
	w.goOwned(w.ingress.nodes[i].kill)
	w.afterDelay(w.scenario.Ingress.FailureDetection, func() {
		if exited, _ := w.ingress.nodes[i].signal(noSignal); exited == nil {
			w.ingress.setServing(i, false)
		}
	})
}

// locked does something under the lock of what the clients and faults share.
func (w *World) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// randomFloat draws from the world's stream.
func (w *World) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// workFactor is a factor on a request's work, drawn while its class has a heavy tail.
func (w *World) workFactor(class int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.heavyTails[class]; t.factor > 1 && w.rng.Float64() < t.share {
		return t.factor
	}
	return 1
}

// maxRetries is how often a client retries now.
func (w *World) maxRetries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.MaxRetries(w.scenario, w.retryStorm)
}

// inRetryStorm says that clients retry at once now.
func (w *World) inRetryStorm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retryStorm > 1
}
