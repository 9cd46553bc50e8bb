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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/hotrestart"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/state"
)

// listenOrTakeOver opens the clients' listener: the one that another process of the node hands over, else one of its own.
//
// Where operators can replace the process, its own listener shares the address (SO_REUSEPORT): a process that hangs hands
// nothing over, and its successor must be able to listen beside it.
func (n *Node) listenOrTakeOver(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	if n.cfg.AdminAddress != "" {
		if ln := n.takeOver(); ln != nil {
			return ln, nil
		}
		config.Control = setReusePort
	}
	return config.Listen(ctx, "tcp", n.cfg.Listen)
}

func setReusePort(_, _ string, c syscall.RawConn) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// takeOver takes over from another process of the node and returns its listener, or nil if there is no such process or it
// hands nothing over. Then at least the operators' state is restored from disk.
func (n *Node) takeOver() net.Listener {
	path, err := hotrestart.SocketPath(os.TempDir(), n.cfg.Name, n.cfg.Listen)
	n.otherProcess.store = hotrestart.NewStore(path, n.cfg.Name, n.cfg.Listen, func() {
		n.log.Warn("another process of the node holds the lock of the operator state")
	})
	if err != nil {
		n.log.Warn("no process can take over from this one", "err", err)
		n.restoreOperatorState()
		return nil
	}
	n.otherProcess.socketPath = path
	handover, ln, conn, err := hotrestart.TakeOver(path, n.cfg.Name, n.cfg.Listen)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn("nothing was handed over", "err", err)
		}
		n.restoreOperatorState()
		return nil
	}
	n.applyHandover(handover)
	n.otherProcess.conn, n.otherProcess.synced = conn, make(chan struct{})
	n.pool.shareLimitWithOtherProcess(true)
	n.log.Info("took over", "servers", len(handover.Endpoints), "disabled", handover.DisabledServers, "out_of_service", handover.OutOfService)
	return ln
}

// restoreOperatorState restores from disk which servers operators have disabled, and whether the node is out of service.
func (n *Node) restoreOperatorState() {
	operatorState, snapshot := n.otherProcess.store.Read()
	for _, err := range snapshot.Errors {
		n.log.Warn("a file with operator state can't be used", "err", err)
	}
	if snapshot.Body == nil {
		return
	}
	n.log.Info("operator state restored from disk", "disabled", len(operatorState.DisabledServers), "out_of_service", operatorState.OutOfService,
		"age", formatAge(snapshot.Age), "previous_file", snapshot.Previous)
	n.engine.Balancer.RestoreDisabled(operatorState.DisabledServers)
	if operatorState.OutOfService {
		n.transition(lifecycle.OutOfService)
	}
}

// formatAge is the age of a file, for the log.
func formatAge(age time.Duration) string {
	if age == state.UnknownAge {
		return "unknown"
	}
	return age.Round(time.Millisecond).String()
}

// applyHandover makes the state of the process before this node's, before it serves.
func (n *Node) applyHandover(handover hotrestart.HandoverState) {
	if err := n.restoreBalancer(handover); err != nil {
		n.log.Warn("the balancer's state is not taken over", "err", err)
	}
	n.engine.Balancer.RestoreDisabled(handover.DisabledServers)
	n.inheritedEndpoints = handover.Endpoints
	n.discovery.ResumeFrom(handover.ListVersion)
	n.discovery.InheritAge(handover.ListAge)
	n.initialListSettled.Store(true)
	if handover.OutOfService {
		n.transition(lifecycle.OutOfService)
	}
}

// restoreBalancer takes over what the balancer of the process before has learned. What was learned under other settings
// is of no use: then the balancer begins anew, without an error.
func (n *Node) restoreBalancer(handover hotrestart.HandoverState) error {
	settings := n.currentSettings()
	text, err := json.Marshal(settings)
	if err != nil || !bytes.Equal(text, handover.Settings) {
		return err
	}
	restored, err := balancer.RestoreSuccessor(settings, handover.BalancerState, n.cfg.Seed)
	if err == nil {
		n.engine.Balancer = restored
	}
	return err
}

// handOver hands this node's state and listener to a successor. From then on the successor is told what operators do.
// What is to be told meanwhile waits for the lock until the state is written, so nothing gets lost in between.
func (n *Node) handOver(conn *hotrestart.Conn, ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("no socket to hand over in a %T", ln)
	}
	settings, err := json.Marshal(n.currentSettings())
	if err != nil {
		return err
	}
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	if n.otherProcess.closed {
		return hotrestart.ErrOtherProcessGone
	}
	handover := hotrestart.HandoverState{Node: n.cfg.Name, Listen: n.cfg.Listen, Settings: settings,
		ListVersion: n.discovery.ResumeVersion(), ListAge: n.discovery.Age()}
	handover.BalancerState, handover.Endpoints, handover.DisabledServers, err = n.engine.SuccessorState(context.Background(), func() {
		handover.OutOfService = n.lifecycle.Load().IsOutOfService()
	})
	if err != nil {
		return err
	}
	if err := conn.HandOver(handover, tcp); err != nil {
		return err
	}
	n.otherProcess.setSuccessor(conn)
	n.pool.shareLimitWithOtherProcess(true)
	n.log.Info("handed over")
	return nil
}
