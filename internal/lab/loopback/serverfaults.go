package loopback

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// listenBacklog is the length of a listener's queue of connections that wait to be accepted.
const listenBacklog = 1024

// stop ends the server process: open connections are reset and new ones are refused.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.State == model.Down || s.listener == nil { // no listener: not started in this process
		return
	}
	s.reconnect()
	s.model.Stop()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.listener.Close()
	close(s.died)
	for conn := range s.connections {
		reset(conn.Conn)
	}
	s.connections = map[*connection]bool{}
}

// disconnect takes the machine off the network. Requests on open connections get no response. New connections are not
// established, because the listener's queue is shortened and kept full.
func (s *server) disconnect() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.State == model.Down || s.reconnected != nil {
		return nil
	}
	s.reconnected, s.model.Unreachable = make(chan struct{}), true
	queueFillers, err := link.BlockConnects(s.listener)
	if err != nil {
		return fmt.Errorf("server %s: disconnect from the network: %w", s.model.ID, err)
	}
	s.queueFillers = queueFillers
	return nil
}

// reconnect puts the machine on the network again. Connections on which a request is held without a response are reset.
// The caller holds mu.
func (s *server) reconnect() {
	if s.reconnected == nil {
		return
	}
	for _, c := range s.queueFillers {
		reset(c)
	}
	s.queueFillers, s.model.Unreachable = nil, false
	link.SetBacklog(s.listener, listenBacklog)
	s.listener.SetDeadline(time.Time{})
	close(s.reconnected)
	s.reconnected = nil
}

// disconnected returns a channel that is closed when the machine is on the network again, or nil if it is on the
// network.
func (s *server) disconnected() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reconnected
}

// holdUntilReconnected keeps a connection open without a response while the machine is off the network, and then resets
// it.
func holdUntilReconnected(conn *connection, reconnected, died chan struct{}) {
	select {
	case <-reconnected:
	case <-died:
	}
	reset(conn.Conn)
}

// resetIdle marks a random share of the connections to be reset at their next use.
func (s *server) resetIdle(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		if s.world.randomFloat() < share {
			conn.resetNext = true
		}
	}
}
