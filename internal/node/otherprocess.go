package node

import (
	"context"
	"net"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/hotrestart"
)

const (
	// otherProcessAckTimeout is how long the other process may take to acknowledge an operator's call. The call has to
	// be answered within 1 s.
	otherProcessAckTimeout = 400 * time.Millisecond

	// servingAckTimeout is how long the previous process may take to acknowledge that this one serves. Until then this
	// process reports to operators that it is not ready.
	servingAckTimeout = 2 * time.Second

	// maxQueuedRuns is the maximum number of abandoned runs that the other process has not been told of yet.
	maxQueuedRuns = 256
)

// otherProcess is the other process of the node while two run during a hot restart. Only a node with an admin address
// can have one. The newer of the two processes is the successor.
type otherProcess struct {
	socketPath string            // of the Unix socket for handovers; "": none, so no process can take over
	store      *hotrestart.Store // of the operator state on disk; nil: none

	abandonedRuns chan string // IDs that the other process is to be told; buffered

	mu          sync.Mutex
	conn        *hotrestart.Conn // nil: there is no other process
	isSuccessor bool             // the other process is the newer one
	serving     bool             // the other process serves clients
	closed      bool             // this process is ending: no process can take over from it
	synced      chan struct{}    // closed when all messages of the previous process have arrived; nil: this process took over from none
}

// isSynced reports whether this process has received all messages of the previous one.
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

// currentConn returns the connection to the other process; nil: there is none.
func (p *otherProcess) currentConn() *hotrestart.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// setSuccessor records that the process at a connection has taken over. The connection to any earlier successor is
// closed. The caller holds p.mu.
func (p *otherProcess) setSuccessor(conn *hotrestart.Conn) {
	if p.conn != nil {
		p.conn.Close()
	}
	p.conn, p.isSuccessor, p.serving = conn, true, false
}

// markServing records that the process at a connection serves clients, if that is still the current connection.
func (p *otherProcess) markServing(conn *hotrestart.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = p.conn == conn
}

// close closes the connection and prevents further handovers.
func (p *otherProcess) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.Close()
	}
}

// successorServing reports whether a successor accepts new clients.
func (n *Node) successorServing() bool {
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	return n.otherProcess.isSuccessor && n.otherProcess.serving
}

// connectOtherProcess exchanges messages with the process that this one took over from, and lets successors take over
// from this one, until the returned function is called. start starts a goroutine that serve waits for.
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

// announceServing tells the previous process that this one serves, so that the previous process can shut down. All
// messages that the previous process sent before its acknowledgement have arrived by then.
func (n *Node) announceServing(conn *hotrestart.Conn) {
	if conn.Send(hotrestart.Message{Serving: true}, servingAckTimeout) != nil {
		n.log.Warn("the previous process did not acknowledge that this one serves")
	}
	close(n.otherProcess.synced)
}

// acceptSuccessors hands over to each process that connects, until the listener is closed.
func (n *Node) acceptSuccessors(listener *hotrestart.Listener, ln net.Listener, start func(func())) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if err := n.handOver(conn, ln); err != nil {
			n.log.Warn("handing over to a successor failed", "err", err)
			conn.Close()
			continue
		}
		start(n.watchOtherProcesses)
		start(func() { n.receiveFromOtherProcess(conn) })
		start(func() { n.handOverAbandonedRuns(conn) })
	}
}

// handOverAbandonedRuns tells a successor of the requests whose clients left before the handover and that must not run again.
func (n *Node) handOverAbandonedRuns(conn *hotrestart.Conn) {
	ids, err := n.engine.AbandonedRuns(context.Background())
	for _, id := range ids {
		if err != nil {
			break
		}
		err = conn.Send(hotrestart.Message{AbandonedRun: id}, otherProcessAckTimeout)
	}
	if err != nil {
		n.log.Warn("the successor was not told of all requests that may have run here", "err", err)
	}
}

// receiveFromOtherProcess applies the messages of the other process until the connection ends.
func (n *Node) receiveFromOtherProcess(conn *hotrestart.Conn) {
	conn.Run(func(message hotrestart.Message) {
		switch {
		case message.Serving:
			n.otherProcess.markServing(conn)
		case message.AbandonedRun != "":
			if err := n.engine.RememberRun(context.Background(), message.AbandonedRun); err != nil {
				n.log.Warn("a request of the other process is not remembered", "id", message.AbandonedRun, "err", err)
			}
		case message.OutOfService != nil:
			n.setInService(!*message.OutOfService)
		case message.Server != "":
			if err := n.engine.SetServerDisabled(context.Background(), message.Server, message.Disabled); err != nil {
				n.log.Warn("applying an administrative override from the other process failed", "server", message.Server, "disabled", message.Disabled, "err", err)
			}
		}
	})
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	if n.otherProcess.conn == conn {
		n.otherProcess.conn, n.otherProcess.serving = nil, false
	}
}

// queueAbandonedRun has forwardAbandonedRuns tell the other process of a request whose client left while it may run here. It does
// not block: the oldest are told first, and beyond maxQueuedRuns none is added.
func (p *otherProcess) queueAbandonedRun(id string) {
	select {
	case p.abandonedRuns <- id:
	default:
	}
}

// forwardAbandonedRuns sends the queued IDs to the other process, if there is one, until the node has stopped.
func (n *Node) forwardAbandonedRuns() {
	for {
		select {
		case id := <-n.otherProcess.abandonedRuns:
			conn := n.otherProcess.currentConn()
			if conn == nil {
				continue
			}
			if err := conn.Send(hotrestart.Message{AbandonedRun: id}, otherProcessAckTimeout); err != nil {
				n.log.Warn("the other process was not told of a request that may run here", "id", id, "err", err)
			}
		case <-n.stopped:
			return
		}
	}
}

// recordOperatorCall sends an operator's call to the other process, if there is one, and saves the operator state on
// disk. If either fails, the call remains in effect in this process, and the failure is logged.
func (n *Node) recordOperatorCall(ctx context.Context, message hotrestart.Message) {
	if n.otherProcess.store == nil {
		return
	}
	if conn := n.otherProcess.currentConn(); conn != nil {
		if err := conn.Send(message, otherProcessAckTimeout); err != nil {
			n.log.Warn("the other process did not acknowledge an operator's call", "err", err)
		}
	}
	err := n.otherProcess.store.Save(ctx, func() (hotrestart.OperatorState, error) {
		_, _, disabled, err := n.engine.SuccessorState(ctx, func() {})
		return hotrestart.OperatorState{DisabledServers: disabled, OutOfService: n.lifecycle.Load().IsOutOfService()}, err
	})
	if err != nil {
		n.log.Warn("saving operator state on disk failed", "err", err)
	}
}
