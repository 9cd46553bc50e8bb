package node

import (
	"context"
	"net"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/hotrestart"
)

const (
	// otherProcessAckTimeout is how long the other process may take to confirm what an operator did. The operator's call
	// is owed an answer within 1 s.
	otherProcessAckTimeout = 400 * time.Millisecond

	// servingAckTimeout is how long the process before may take to confirm that this one serves. Until then operators
	// are told that this process is not ready.
	servingAckTimeout = 2 * time.Second
)

// otherProcess is the other process of the node, while two run for a hot restart. Only a node with an admin address has
// one. Of two processes the newer is the successor.
type otherProcess struct {
	socketPath string            // where the processes meet; "": they can't
	store      *hotrestart.Store // of operators' state on disk; nil: none

	mu          sync.Mutex
	conn        *hotrestart.Conn // nil: this process is alone
	isSuccessor bool             // the other process is the newer one
	serving     bool             // the other process serves clients
	closed      bool             // this process has ended: nobody takes over any more
	synced      chan struct{}    // closed when all that the older process had to tell has come; nil: this one took over from none
}

// isSynced reports whether this process has everything that the one before it had to tell.
func (p *otherProcess) isSynced() bool {
	if p.synced == nil {
		return true
	}
	select {
	case <-p.synced:
		return true
	default:
		return false
	}
}

// currentConn is the connection to the other process; nil: there is none.
func (p *otherProcess) currentConn() *hotrestart.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// setSuccessor makes a process that has just taken over the successor. The newest one counts; the one before is dropped. The
// caller holds p.mu.
func (p *otherProcess) setSuccessor(conn *hotrestart.Conn) {
	if p.conn != nil {
		p.conn.Close()
	}
	p.conn, p.isSuccessor, p.serving = conn, true, false
}

// markServing notes that the process at a connection serves clients, if it is still the current one.
func (p *otherProcess) markServing(conn *hotrestart.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = p.conn == conn
}

// close ends the connection, and lets nobody take over from here on.
func (p *otherProcess) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.Close()
	}
}

// successorServing reports whether another process of the node takes the clients that come from now on.
func (n *Node) successorServing() bool {
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	return n.otherProcess.isSuccessor && n.otherProcess.serving
}

// connectOtherProcess receives from the process that this one took over from, and lets others take over from this one, until
// the function that it returns is called. start starts goroutines that serve waits for.
func (n *Node) connectOtherProcess(ln net.Listener, start func(func())) (disconnect func()) {
	if n.otherProcess.socketPath == "" {
		return func() {}
	}
	if conn := n.otherProcess.conn; conn != nil {
		start(func() { n.receiveFromOtherProcess(conn) })
		start(func() { n.announceServing(conn) })
	}
	listener, err := hotrestart.Listen(n.otherProcess.socketPath)
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		return n.otherProcess.close
	}
	start(func() { n.acceptSuccessors(listener, ln, start) })
	return func() {
		listener.Close()
		n.otherProcess.close()
	}
}

// announceServing tells the process before that this one serves, so that it may shut down. Whatever that process told
// before its confirmation has come by then.
func (n *Node) announceServing(conn *hotrestart.Conn) {
	if conn.Send(hotrestart.Message{Serving: true}, servingAckTimeout) != nil {
		n.log.Warn("the process before this one has gone")
	}
	close(n.otherProcess.synced)
}

// acceptSuccessors hands over to each process that asks, until the listener is closed.
func (n *Node) acceptSuccessors(listener *hotrestart.Listener, ln net.Listener, start func(func())) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if err := n.handOver(conn, ln); err != nil {
			n.log.Warn("could not hand over", "err", err)
			conn.Close()
			continue
		}
		start(func() { n.receiveFromOtherProcess(conn) })
	}
}

// receiveFromOtherProcess applies what the other process sends, until one of the two ends.
func (n *Node) receiveFromOtherProcess(conn *hotrestart.Conn) {
	conn.Run(func(message hotrestart.Message) {
		switch {
		case message.Serving:
			n.otherProcess.markServing(conn)
		case message.OutOfService != nil:
			n.setInService(!*message.OutOfService)
		case message.Server != "":
			if err := n.engine.SetServerDisabled(context.Background(), message.Server, message.Disabled); err != nil {
				n.log.Warn("an override from the other process is not applied", "server", message.Server, "disabled", message.Disabled, "err", err)
			}
		}
	})
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	if n.otherProcess.conn == conn {
		n.otherProcess.conn, n.otherProcess.serving = nil, false
		n.pool.shareLimitWithOtherProcess(false)
	}
}

// recordOperatorCall sends what an operator did to the other process, if there is one, and saves it on disk. Neither
// failure undoes it here: the operator reads it in the log.
func (n *Node) recordOperatorCall(ctx context.Context, message hotrestart.Message) {
	if n.otherProcess.store == nil {
		return
	}
	if conn := n.otherProcess.currentConn(); conn != nil {
		if err := conn.Send(message, otherProcessAckTimeout); err != nil {
			n.log.Warn("an operator's call did not reach the other process", "err", err)
		}
	}
	err := n.otherProcess.store.Save(ctx, func() (hotrestart.OperatorState, error) {
		_, _, disabled, err := n.engine.SuccessorState(ctx, func() {})
		return hotrestart.OperatorState{DisabledServers: disabled, OutOfService: n.lifecycle.Load().IsOutOfService()}, err
	})
	if err != nil {
		n.log.Warn("operator state is not saved on disk", "err", err)
	}
}
