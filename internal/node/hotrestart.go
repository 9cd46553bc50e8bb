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
	agreed   = 400 * time.Millisecond // for the other process to take what an operator said; an answer is owed in 1 s
	goneTime = 50 * time.Millisecond  // between two looks at whether the last client has left
)

// kin is the other process of the node, while two run. Only a node with operators has any.
type kin struct {
	path string            // where the processes meet; "": they can't
	kept *hotrestart.Store // nil: it has no folder

	mu     sync.Mutex
	link   *hotrestart.Conn // nil: this process is alone
	heir   bool             // the other one is the newer
	serves bool             // and takes clients
	over   bool             // this process has ended: nobody takes over any more
	synced chan struct{}    // closed when all that the older one had to tell was taken; nil: this process took over from none
}

// listen opens the clients' listener: the one that another process of the node hands over, else one of its own.
// Where operators may replace the process, the address can be had twice, for a process that is hung hands nothing over.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	if n.cfg.AdminAddress != "" {
		if ln := n.claim(); ln != nil {
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
func (n *Node) claim() net.Listener {
	path, err := hotrestart.SocketPath(os.TempDir(), n.cfg.Name, n.cfg.Listen)
	n.kin.kept = hotrestart.NewStore(path, n.cfg.Name, n.cfg.Listen, func() {
		n.log.Warn("another process of the node hangs with what operators said")
	})
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		n.recall()
		return nil
	}
	n.kin.path = path
	estate, ln, link, err := hotrestart.TakeOver(n.kin.path, n.cfg.Name, n.cfg.Listen)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn("nothing was handed over", "err", err)
		}
		n.recall()
		return nil
	}
	n.inherit(estate)
	n.kin.link, n.kin.synced = link, make(chan struct{})
	n.pool.share(true)
	n.log.Info("took over", "servers", len(estate.Endpoints), "out", estate.DisabledServers, "drained", estate.OutOfService)
	return ln
}

// recall takes what operators said to the processes before from disk.
func (n *Node) recall() {
	kept, found := n.kin.kept.Read()
	for _, err := range found.Errors {
		n.log.Warn("what stood on disk is passed over", "err", err)
	}
	if found.Body == nil {
		return
	}
	n.log.Info("what operators said is found on disk", "servers", len(kept.DisabledServers), "drained", kept.OutOfService,
		"age", age(found.Age), "before", found.Previous)
	n.engine.Balancer.RestoreDisabled(kept.DisabledServers)
	if kept.OutOfService {
		n.step(lifecycle.OutOfService)
	}
}

// inherit makes an estate this node's, before it serves. What was learned under other settings is of no use: then
// the servers and what operators said of them must do.
func (n *Node) inherit(e hotrestart.HandoverState) {
	now := n.settings()
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
	n.inherited = e.Endpoints
	n.disc.ResumeFrom(e.ListVersion)
	n.disc.InheritAge(e.ListAge)
	n.heard.Store(true)
	if e.OutOfService {
		n.step(lifecycle.OutOfService)
	}
}

// meet runs the link to the process that this one took over from, and lets others take over from this one.
func (n *Node) meet(ln net.Listener, own func(func())) (end func()) {
	if n.kin.path == "" {
		return func() {}
	}
	if link := n.kin.link; link != nil {
		own(func() { n.talk(link) })
		own(func() {
			// All that was told before this comes first; and the older process knows that it may go.
			if link.Send(hotrestart.Message{Serving: true}, 2*time.Second) != nil {
				n.log.Warn("the process before this one is gone")
			}
			close(n.kin.synced)
		})
	}
	offer, err := hotrestart.Listen(n.kin.path)
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		offer = nil
	} else {
		own(func() { n.offer(offer, ln, own) })
	}
	return func() {
		if offer != nil {
			offer.Close()
		}
		n.kin.mu.Lock()
		defer n.kin.mu.Unlock()
		n.kin.over = true
		if n.kin.link != nil {
			n.kin.link.Close()
		}
	}
}

// offer hands over to whoever asks; the newest heir counts.
func (n *Node) offer(o *hotrestart.Listener, ln net.Listener, own func(func())) {
	for {
		link, err := o.Accept()
		if err != nil {
			return
		}
		if err := n.give(link, ln); err != nil {
			n.log.Warn("could not hand over", "err", err)
			link.Close()
			continue
		}
		own(func() { n.talk(link) })
	}
}

// give hands this node's estate to an heir. From then on the heir is told what operators say.
func (n *Node) give(link *hotrestart.Conn, ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("no socket to hand over in a %T", ln)
	}
	set, err := json.Marshal(n.settings())
	if err != nil {
		return err
	}
	// What is told to the heir waits for the lock until the estate is written.
	n.kin.mu.Lock()
	defer n.kin.mu.Unlock()
	if n.kin.over {
		return hotrestart.ErrPeerGone
	}
	e := hotrestart.HandoverState{Node: n.cfg.Name, Listen: n.cfg.Listen, Settings: set, ListVersion: n.disc.ResumeVersion(), ListAge: n.disc.Age()}
	e.BalancerState, e.Endpoints, e.DisabledServers, err = n.engine.SuccessorState(context.Background(), func() {
		e.OutOfService = n.life.Load().IsOutOfService()
	})
	if err != nil {
		return err
	}
	if err := link.HandOver(e, tcp); err != nil {
		return err
	}
	if n.kin.link != nil {
		n.kin.link.Close()
	}
	n.kin.link, n.kin.heir, n.kin.serves = link, true, false
	n.pool.share(true)
	n.log.Info("handed over")
	return nil
}

// talk takes what the other process tells until one of the two ends.
func (n *Node) talk(link *hotrestart.Conn) {
	link.Run(func(w hotrestart.Message) {
		switch {
		case w.Serving:
			n.kin.mu.Lock()
			n.kin.serves = n.kin.link == link
			n.kin.mu.Unlock()
		case w.OutOfService != nil:
			n.setService(!*w.OutOfService)
		case w.Server != "":
			if err := n.engine.SetServerDisabled(context.Background(), w.Server, w.Disabled); err != nil {
				n.log.Warn("not taken from the other process", "server", w.Server, "out", w.Disabled, "err", err)
			}
		}
	})
	n.kin.mu.Lock()
	defer n.kin.mu.Unlock()
	if n.kin.link == link {
		n.kin.link, n.kin.serves = nil, false
		n.pool.share(false)
	}
}

// pass tells the other process what an operator said, if there is one, and keeps it on disk.
func (n *Node) pass(ctx context.Context, w hotrestart.Message) {
	if n.kin.kept == nil {
		return
	}
	n.kin.mu.Lock()
	link := n.kin.link
	n.kin.mu.Unlock()
	if link != nil {
		if err := link.Send(w, agreed); err != nil {
			n.log.Warn("the other process was not told", "err", err)
		}
	}
	err := n.kin.kept.Save(ctx, func() (hotrestart.OperatorState, error) {
		_, _, out, err := n.engine.SuccessorState(ctx, func() {})
		return hotrestart.OperatorState{DisabledServers: out, OutOfService: n.life.Load().IsOutOfService()}, err
	})
	if err != nil {
		n.log.Warn("what operators said is not on disk", "err", err)
	}
}

// age is that of something on disk, for the log.
func age(d time.Duration) string {
	if d == state.UnknownAge {
		return "unknown"
	}
	return d.Round(time.Millisecond).String()
}

// followed says whether another process of the node takes the clients that come from now on.
func (n *Node) followed() bool {
	n.kin.mu.Lock()
	defer n.kin.mu.Unlock()
	return n.kin.heir && n.kin.serves
}

// known is the list that a node starts with.
func (n *Node) known() engine.Update {
	known := discovery.ToUpdate(whole(n.cfg.BootstrapList))
	if n.inherited != nil {
		known = engine.Update{Endpoints: n.inherited, Complete: true, Version: n.disc.Version()}
	}
	known.Cached = true
	return known
}
