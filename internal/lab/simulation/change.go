package simulation

import (
	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// applyChange applies one change to the world.
func (w *World) applyChange(c model.Change) {
	switch c.Kind {
	case model.NodeTerminate:
		w.ingress.nodes[c.Index].terminate()
	case model.NodeKill:
		w.ingress.nodes[c.Index].kill()
	case model.NodeStart:
		w.ingress.nodes[c.Index].start()
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		w.discovery.applyChange(c.Kind)
	case model.Overload:
		w.arrivals.SetFactor(c.Magnitude)
	case model.RetryStorm:
		w.retryStorm = c.Magnitude
	case model.HeavyTail:
		for class := range w.heavyTails {
			if c.Class < 0 || c.Class == class {
				w.heavyTails[class] = heavyTail{c.Magnitude, c.Share}
			}
		}
	default:
		w.applyServerChange(c, w.servers[c.Tier][c.Index])
	}
}

// applyServerChange applies one change to a server.
func (w *World) applyServerChange(c model.Change, s *server) {
	delays := w.scenario.Discovery
	switch c.Kind {
	case model.Crash:
		w.crashServer(s, s.State == model.Draining)
	case model.Start:
		w.startServer(s)
	case model.Drain:
		if s.State == model.Up {
			s.State = model.Draining
			w.discovery.updateEndpoint(s, balancer.Draining, delays.DrainDelay)
		}
	case model.Disconnect:
		if s.State == model.Up {
			s.Unreachable = true
			w.discovery.updateEndpoint(s, balancer.Removed, delays.UnreachableDelay)
		}
	case model.Reconnect:
		if s.Unreachable {
			s.Unreachable = false
			w.discovery.updateEndpoint(s, balancer.Ready, delays.AddDelay)
		}
	case model.ScaleSpeed:
		s.SetSpeedFactor(w.now, s.SpeedFactor*c.Magnitude)
		w.scheduleCompletion(s)
	case model.BreakAnswers:
		s.brokenShare = c.Magnitude * c.Share
	case model.ResetIdleConnections:
		w.eachNode(func(n *node) { n.resetIdle(s, c.Share) })
	}
}
