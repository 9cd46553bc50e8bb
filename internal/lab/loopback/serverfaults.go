package loopback

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// listenBacklog is the length of a listener's queue of connections that are not accepted yet.
const listenBacklog = 1024

// stop ends the process: its connections are reset and new ones refused.
func (b *server) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.listener == nil { // or it is another process's
		return
	}
	b.reconnect()
	b.model.Stop()
	if b.timer != nil {
		b.timer.Stop()
	}
	b.listener.Close()
	close(b.died)
	for k := range b.connections {
		reset(k.Conn)
	}
	b.connections = map[*connection]bool{}
}

// disconnect takes the machine off the network. What is sent to it stays unanswered; for new connections never to come up,
// the listener's queue is made short and kept full.
func (b *server) disconnect() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.reconnected != nil {
		return nil
	}
	b.reconnected, b.model.Unreachable = make(chan struct{}), true
	fill, err := link.BlockConnects(b.listener)
	if err != nil {
		return fmt.Errorf("server %s: cut off: %w", b.model.ID, err)
	}
	b.backlogFill = fill
	return nil
}

// reconnect puts the machine on the network again: connections from before are reset. The caller holds mu.
func (b *server) reconnect() {
	if b.reconnected == nil {
		return
	}
	for _, c := range b.backlogFill {
		reset(c)
	}
	b.backlogFill, b.model.Unreachable = nil, false
	link.SetBacklog(b.listener, listenBacklog)
	b.listener.SetDeadline(time.Time{})
	close(b.reconnected)
	b.reconnected = nil
}

// disconnected returns what is closed when the machine is on the network again; nil: it is.
func (b *server) disconnected() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reconnected
}

// holdUntilReconnected keeps a connection open without an answer while the machine is off the network, and then resets it.
func holdUntilReconnected(k *connection, reconnected, died chan struct{}) {
	select {
	case <-reconnected:
	case <-died:
	}
	reset(k.Conn)
}

// resetIdle marks a drawn share of the connections to be reset when they are next used.
func (b *server) resetIdle(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.connections {
		if b.world.randomFloat() < share {
			k.resetNext = true
		}
	}
}
