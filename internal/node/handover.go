package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/hotrestart"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/state"
)

const (
	peerAckTimeout  = 400 * time.Millisecond // for the other process to take what an operator said; an answer is owed in 1 s
	clientDrainPoll = 50 * time.Millisecond  // between two looks at whether the last client has left
)

// kin is the other process of the node, while two run. Only a node with operators has any.
type peerProcess struct {
	socketPath string            // where the processes meet; "": they can't
	store      *hotrestart.Store // nil: it has no folder

	mu          sync.Mutex
	conn        *hotrestart.Conn // nil: this process is alone
	isSuccessor bool             // the other one is the newer
	serving     bool             // and takes clients
	closed      bool             // this process has ended: nobody takes over any more
	synced      chan struct{}    // closed when all that the older one had to tell was taken; nil: this process took over from none
}

// listen opens the clients' listener: the one that another process of the node hands over, else one of its own.
// Where operators may replace the process, the address can be had twice, for a process that is hung hands nothing over.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	if n.cfg.AdminAddress != "" {
		if ln := n.takeOver(); ln != nil {
			return ln, nil
		}
		lc.Control = func(_, _ string, c syscall.RawConn) (err error) {
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); e != nil {
				return e
			}
			return err
		}
	}
	return lc.Listen(ctx, "tcp", n.cfg.Listen)
}

// claim takes over from another process of the node, if there is one. Without it, it knows at least what stands on
// disk of what operators said.
func (n *Node) takeOver() net.Listener {
	path, err := hotrestart.SocketPath(os.TempDir(), n.cfg.Name, n.cfg.Listen)
	n.peer.store = hotrestart.NewStore(path, n.cfg.Name, n.cfg.Listen, func() {
		n.log.Warn("another process of the node hangs with what operators said")
	})
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		n.restoreOperatorState()
		return nil
	}
	n.peer.socketPath = path
	estate, ln, link, err := hotrestart.TakeOver(n.peer.socketPath, n.cfg.Name, n.cfg.Listen)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn("nothing was handed over", "err", err)
		}
		n.restoreOperatorState()
		return nil
	}
	n.applyHandover(estate)
	n.peer.conn, n.peer.synced = link, make(chan struct{})
	n.pool.shareWithPeer(true)
	n.log.Info("took over", "servers", len(estate.Endpoints), "out", estate.DisabledServers, "drained", estate.OutOfService)
	return ln
}

// recall takes what operators said to the processes before from disk.
func (n *Node) restoreOperatorState() {
	kept, found := n.peer.store.Read()
	for _, err := range found.Errors {
		n.log.Warn("what stood on disk is passed over", "err", err)
	}
	if found.Body == nil {
		return
	}
	n.log.Info("what operators said is found on disk", "servers", len(kept.DisabledServers), "drained", kept.OutOfService,
		"age", formatAge(found.Age), "before", found.Previous)
	n.engine.Balancer.RestoreDisabled(kept.DisabledServers)
	if kept.OutOfService {
		n.transition(lifecycle.OutOfService)
	}
}

// inherit makes an estate this node's, before it serves. What was learned under other settings is of no use: then
// the servers and what operators said of them must do.
func (n *Node) applyHandover(e hotrestart.HandoverState) {
	now := n.currentSettings()
	set, err := json.Marshal(now)
	if err == nil && bytes.Equal(set, e.Settings) {
		var b *balancer.Balancer
		if b, err = balancer.RestoreSuccessor(now, e.BalancerState, n.cfg.Seed); err == nil {
			n.engine.Balancer = b
		}
	}
	if err != nil {
		n.log.Warn("what was learned is passed over", "err", err)
	}
	n.engine.Balancer.RestoreDisabled(e.DisabledServers)
	n.inheritedEndpoints = e.Endpoints
	n.discovery.ResumeFrom(e.ListVersion)
	n.discovery.InheritAge(e.ListAge)
	n.hasEndpointList.Store(true)
	if e.OutOfService {
		n.transition(lifecycle.OutOfService)
	}
}

// meet runs the link to the process that this one took over from, and lets others take over from this one.
func (n *Node) connectPeers(ln net.Listener, own func(func())) (end func()) {
	if n.peer.socketPath == "" {
		return func() {}
	}
	if link := n.peer.conn; link != nil {
		own(func() { n.receiveFromPeer(link) })
		own(func() {
			// All that was told before this comes first; and the older process knows that it may go.
			if link.Send(hotrestart.Message{Serving: true}, 2*time.Second) != nil {
				n.log.Warn("the process before this one is gone")
			}
			close(n.peer.synced)
		})
	}
	offer, err := hotrestart.Listen(n.peer.socketPath)
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		offer = nil
	} else {
		own(func() { n.acceptSuccessors(offer, ln, own) })
	}
	return func() {
		if offer != nil {
			offer.Close()
		}
		n.peer.mu.Lock()
		defer n.peer.mu.Unlock()
		n.peer.closed = true
		if n.peer.conn != nil {
			n.peer.conn.Close()
		}
	}
}

// offer hands over to whoever asks; the newest heir counts.
func (n *Node) acceptSuccessors(o *hotrestart.Listener, ln net.Listener, own func(func())) {
	for {
		link, err := o.Accept()
		if err != nil {
			return
		}
		if err := n.handOver(link, ln); err != nil {
			n.log.Warn("could not hand over", "err", err)
			link.Close()
			continue
		}
		own(func() { n.receiveFromPeer(link) })
	}
}

// give hands this node's estate to an heir. From then on the heir is told what operators say.
func (n *Node) handOver(link *hotrestart.Conn, ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("no socket to hand over in a %T", ln)
	}
	set, err := json.Marshal(n.currentSettings())
	if err != nil {
		return err
	}
	// What is told to the heir waits for the lock until the estate is written.
	n.peer.mu.Lock()
	defer n.peer.mu.Unlock()
	if n.peer.closed {
		return hotrestart.ErrPeerGone
	}
	e := hotrestart.HandoverState{Node: n.cfg.Name, Listen: n.cfg.Listen, Settings: set, ListVersion: n.discovery.ResumeVersion(), ListAge: n.discovery.Age()}
	e.BalancerState, e.Endpoints, e.DisabledServers, err = n.engine.SuccessorState(context.Background(), func() {
		e.OutOfService = n.lifecycle.Load().IsOutOfService()
	})
	if err != nil {
		return err
	}
	if err := link.HandOver(e, tcp); err != nil {
		return err
	}
	if n.peer.conn != nil {
		n.peer.conn.Close()
	}
	n.peer.conn, n.peer.isSuccessor, n.peer.serving = link, true, false
	n.pool.shareWithPeer(true)
	n.log.Info("handed over")
	return nil
}

// talk takes what the other process tells until one of the two ends.
func (n *Node) receiveFromPeer(link *hotrestart.Conn) {
	link.Run(func(w hotrestart.Message) {
		switch {
		case w.Serving:
			n.peer.mu.Lock()
			n.peer.serving = n.peer.conn == link
			n.peer.mu.Unlock()
		case w.OutOfService != nil:
			n.setInService(!*w.OutOfService)
		case w.Server != "":
			if err := n.engine.SetServerDisabled(context.Background(), w.Server, w.Disabled); err != nil {
				n.log.Warn("not taken from the other process", "server", w.Server, "out", w.Disabled, "err", err)
			}
		}
	})
	n.peer.mu.Lock()
	defer n.peer.mu.Unlock()
	if n.peer.conn == link {
		n.peer.conn, n.peer.serving = nil, false
		n.pool.shareWithPeer(false)
	}
}

// pass tells the other process what an operator said, if there is one, and keeps it on disk.
func (n *Node) replicate(ctx context.Context, w hotrestart.Message) {
	if n.peer.store == nil {
		return
	}
	n.peer.mu.Lock()
	link := n.peer.conn
	n.peer.mu.Unlock()
	if link != nil {
		if err := link.Send(w, peerAckTimeout); err != nil {
			n.log.Warn("the other process was not told", "err", err)
		}
	}
	err := n.peer.store.Save(ctx, func() (hotrestart.OperatorState, error) {
		_, _, out, err := n.engine.SuccessorState(ctx, func() {})
		return hotrestart.OperatorState{DisabledServers: out, OutOfService: n.lifecycle.Load().IsOutOfService()}, err
	})
	if err != nil {
		n.log.Warn("what operators said is not on disk", "err", err)
	}
}

// age is that of something on disk, for the log.
func formatAge(d time.Duration) string {
	if d == state.UnknownAge {
		return "unknown"
	}
	return d.Round(time.Millisecond).String()
}

// followed says whether another process of the node takes the clients that come from now on.
func (n *Node) successorServing() bool {
	n.peer.mu.Lock()
	defer n.peer.mu.Unlock()
	return n.peer.isSuccessor && n.peer.serving
}

// known is the list that a node starts with.
func (n *Node) bootstrapUpdate() engine.Update {
	known := discovery.ToUpdate(asComplete(n.cfg.BootstrapList))
	if n.inheritedEndpoints != nil {
		known = engine.Update{Endpoints: n.inheritedEndpoints, Complete: true, Version: n.discovery.Version()}
	}
	known.Cached = true
	return known
}
