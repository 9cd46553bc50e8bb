package loopback

import (
	"fmt"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// applyChanges applies each change at its time, until the world is shut down.
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

// applyChange applies one change of the world.
func (w *World) applyChange(c model.Change) error {
	switch c.Kind {
	case model.NodeTerminate:
		w.terminateNode(c.Index)
	case model.NodeKill:
		w.killNode(c.Index)
	case model.NodeStart:
		w.spawn(func() {
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

// applyServerChange applies a change of one server.
func (w *World) applyServerChange(c model.Change, s *server) error {
	delays := w.scenario.Discovery
	switch c.Kind {
	case model.Crash:
		w.crashServer(s, s.inState(model.Draining))
	case model.Start:
		return w.bootServer(s)
	case model.Drain:
		if s.inState(model.Up) {
			s.locked(func() { s.model.State = model.Draining })
			w.updateEndpoint(s, HealthDraining, 0, delays.DrainDelay)
		}
	case model.Disconnect:
		w.updateEndpoint(s, HealthRemoved, 0, delays.UnreachableDelay)
		return s.disconnect()
	case model.Reconnect:
		s.locked(s.reconnect)
		if s.inState(model.Up) {
			w.updateEndpoint(s, HealthReady, 0, delays.AddDelay)
		}
	case model.ScaleSpeed:
		s.locked(func() {
			s.model.SetSpeedFactor(w.now(), s.model.SpeedFactor*c.Magnitude)
			s.scheduleCompletion()
		})
	case model.BreakAnswers:
		s.locked(func() { s.truncatedShare = c.Magnitude * c.Share })
	case model.ResetIdleConnections:
		s.resetIdle(c.Share)
	}
	return nil
}

// crashServer stops a server and kills its node. planned: the server was draining.
func (w *World) crashServer(s *server, planned bool) {
	if s.inState(model.Down) {
		return
	}
	switch {
	case w.worker != nil:
		w.worker.send(Message{Operation: OpServerDied, Tier: s.model.Tier, Index: s.model.Index})
	case s.node != nil:
		w.observations.nodeKilled(w.now(), s.node.incarnationName())
		s.node.signal(syscall.SIGKILL)
	}
	s.stop()
	delay := w.scenario.Discovery.CrashDelay
	if planned {
		delay = w.scenario.Discovery.DrainDelay
	}
	w.updateEndpoint(s, HealthRemoved, 0, delay)
}

// updateEndpoint makes discovery publish a server's state after a delay. startTime is when the server started again, or
// 0.
func (w *World) updateEndpoint(s *server, health string, startTime, wait time.Duration) {
	if w.worker != nil {
		w.worker.send(Message{Operation: OpEndpointState, Tier: s.model.Tier, Index: s.model.Index, Health: health, StartTime: startTime, Delay: wait})
		return
	}
	w.discovery.updateEndpoint(s, health, startTime, wait)
}

// bootServer starts a server that is down, once its node is ready. The server is then warming up.
func (w *World) bootServer(s *server) error {
	switch {
	case !s.inState(model.Down):
		return nil
	case s.node == nil:
		return w.startServer(s)
	case w.worker != nil: // the parent starts the node and replies with OpServerStart
		w.worker.send(Message{Operation: OpStartNode, Node: s.node.base, Tier: s.model.Tier, Index: s.model.Index})
		return nil
	}
	w.spawn(func() {
		if s.node.start(w.ctx) == nil {
			w.startServer(s)
		}
	})
	return nil
}

// startServer starts a server immediately.
func (w *World) startServer(s *server) error {
	now := w.now()
	s.locked(func() { s.model.Start(now) })
	w.observations.record(blackbox.Event{At: now, Kind: blackbox.ServerStarted, Server: s.model.ID})
	if err := s.start(); err != nil {
		return err
	}
	if w.worker != nil {
		w.worker.send(Message{Operation: OpServerStart, Tier: s.model.Tier, Index: s.model.Index, Addr: s.addr})
	}
	w.updateEndpoint(s, HealthReady, now, w.scenario.Discovery.AddDelay)
	return nil
}

// terminateNode sends SIGTERM to an ingress node. After a delay the ingress stops sending requests to the node.
func (w *World) terminateNode(i int) {
	exited, name := w.ingress.nodes[i].signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.afterDelay(model.IngressDrainDelay, func() { w.ingress.setServing(i, false) })
	w.spawn(func() {
		<-exited
		w.sleep(socketSlack) // clients may still be reading the node's last responses
		w.observations.nodeStopped(w.now(), name)
	})
}

// killNode sends SIGKILL to an ingress node. The ingress detects the failure after a delay, unless the node is running
// again by then.
func (w *World) killNode(i int) {
	w.spawn(w.ingress.nodes[i].kill)
	w.afterDelay(w.scenario.Ingress.FailureDetection, func() {
		if exited, _ := w.ingress.nodes[i].signal(probeSignal); exited == nil {
			w.ingress.setServing(i, false)
		}
	})
}

// locked calls f with the lock of the state that clients and faults share.
func (w *World) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// randomFloat draws a number in [0, 1) from the world's random stream.
func (w *World) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// workFactor returns the factor on a request's work: drawn while its class has a heavy tail, otherwise 1.
func (w *World) workFactor(class int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.heavyTails[class]; t.factor > 1 && w.rng.Float64() < t.share {
		return t.factor
	}
	return 1
}

// maxRetries returns the current limit on a client's retries.
func (w *World) maxRetries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.MaxRetries(w.scenario, w.retryStorm)
}

// inRetryStorm reports whether a retry storm is active, in which clients retry without a pause.
func (w *World) inRetryStorm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retryStorm > 1
}
