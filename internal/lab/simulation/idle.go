package simulation

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
)

// idleConnection is an idle connection of a node to a server.
type idleConnection struct {
	serverIncarnation int
	since             time.Duration
	reset             bool // it is reset when next used
}

// expireIdle periodically closes connections that have been idle for longer than the idle timeout.
func (n *node) expireIdle() {
	incarnation := n.incarnation
	n.world.after(n.world.scenario.Network.IdleTimeout/2, func() {
		if n.incarnation != incarnation {
			return
		}
		for s, connections := range n.idle {
			n.idle[s] = n.withoutExpired(s, connections)
			if len(n.idle[s]) == 0 {
				delete(n.idle, s)
			}
		}
		if n.world.now < n.world.scenario.Length {
			n.expireIdle()
		}
	})
}

// withoutExpired closes the expired connections to a server and returns the others. Connections to an earlier
// incarnation of the server are dropped.
func (n *node) withoutExpired(s *server, connections []idleConnection) []idleConnection {
	open := connections[:0]
	for _, c := range connections {
		switch {
		case c.serverIncarnation != s.Incarnation:
		case n.expired(c):
			s.Connections--
		default:
			open = append(open, c)
		}
	}
	return open
}

func (n *node) expired(c idleConnection) bool {
	return n.world.now-c.since > n.world.scenario.Network.IdleTimeout
}

// closeIdle closes all idle connections.
func (n *node) closeIdle() {
	for s, connections := range n.idle {
		for _, c := range connections {
			if c.serverIncarnation == s.Incarnation {
				s.Connections--
			}
		}
	}
	n.idle = nil
}

// resetIdle marks a drawn share of the idle connections to a server to be reset when next used.
func (n *node) resetIdle(s *server, share float64) {
	for i := range n.idle[s] {
		if n.world.rng.Float64() < share {
			n.idle[s][i].reset = true
		}
	}
}

// takeIdle takes the most recently used idle connection to a server. It returns false if there is none.
func (n *node) takeIdle(s *server) (idleConnection, bool) {
	connections := n.idle[s]
	for len(connections) > 0 {
		last := connections[len(connections)-1]
		connections = connections[:len(connections)-1]
		n.idle[s] = connections
		switch {
		case last.serverIncarnation != s.Incarnation || s.State == model.Down && !s.Unreachable: // seen to close
		case n.expired(last):
			s.Connections--
		default:
			return last, true
		}
	}
	return idleConnection{}, false
}
