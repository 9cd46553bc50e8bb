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

// listenOrTakeOver returns the listener for clients: the one that another process of the node hands over, or else a new
// one.
//
// If the node has an admin address, a successor can replace this process, and the new listener shares its address
// (SO_REUSEPORT). A process that hangs can't hand over its listener, and its successor must be able to listen on the
// same address.
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

// setReusePort sets SO_REUSEPORT on a socket. It is the Control function of a net.ListenConfig.
func setReusePort(_, _ string, c syscall.RawConn) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// takeOver takes over from another process of the node and returns its listener. It returns nil if there is no such
// process, or the handover fails; then it restores the operator state from disk.
func (n *Node) takeOver() net.Listener {
	path, err := hotrestart.SocketPath(os.TempDir(), n.cfg.Name, n.cfg.Listen)
	n.otherProcess.store = hotrestart.NewStore(path, n.cfg.Name, n.cfg.Listen, func() {
		n.log.Warn("operator state is locked by another process of the node")
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
			n.log.Warn("taking over from the other process of the node failed", "err", err)
		}
		if failed := (*hotrestart.FailedTakeOverError)(nil); errors.As(err, &failed) && failed.Process.ID != 0 {
			n.shareLimitsWith(failed.Process, nil)
		}
		n.restoreOperatorState()
		return nil
	}
	n.applyHandover(handover)
	n.otherProcess.conn, n.otherProcess.synced = conn, make(chan struct{})
	n.shareLimitsWithPeer(conn, handover.EarlierProcesses)
	n.log.Info("took over from the previous process", "servers", len(handover.Endpoints), "disabled", handover.DisabledServers, "out_of_service", handover.OutOfService)
	return ln
}

// restoreOperatorState restores from disk which servers operators have disabled, and whether they have taken the node
// out of service.
func (n *Node) restoreOperatorState() {
	operatorState, snapshot := n.otherProcess.store.Read()
	for _, err := range snapshot.Errors {
		n.log.Warn("reading a file with operator state failed", "err", err)
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

// formatAge formats the age of a file for the log.
func formatAge(age time.Duration) string {
	if age == state.UnknownAge {
		return "unknown"
	}
	return age.Round(time.Millisecond).String()
}

// applyHandover takes over the state that the previous process handed over. It is called before the node serves.
func (n *Node) applyHandover(handover hotrestart.HandoverState) {
	if err := n.restoreBalancer(handover); err != nil {
		n.log.Warn("taking over the balancer's state failed", "err", err)
	}
	n.engine.Balancer.RestoreDisabled(handover.DisabledServers)
	n.inheritedEndpoints = handover.Endpoints
	n.discovery.ResumeFrom(handover.ListVersion)
	n.discovery.Inherit(handover.ListAge, handover.ListEvidence)
	n.initialListSettled.Store(true)
	if handover.OutOfService {
		n.transition(lifecycle.OutOfService)
	}
}

// restoreBalancer takes over what the balancer of the previous process has learned. State learned with different
// settings can't be used: then the balancer starts without it, and there is no error.
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

// handOver hands this node's state and listener over to a successor. From then on operators' calls are also sent to the
// successor. Calls that arrive during the handover wait for the lock until the state is written, so that none is lost.
func (n *Node) handOver(conn *hotrestart.Conn, ln net.Listener) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("can't hand over a listener of type %T", ln)
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
	listAge, listEvidence := n.discovery.Lease()
	handover := hotrestart.HandoverState{Node: n.cfg.Name, Listen: n.cfg.Listen, Settings: settings, ListVersion: n.discovery.ResumeVersion(),
		ListAge: listAge, ListEvidence: listEvidence, EarlierProcesses: n.sharedLimits.processIDs()}
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
	n.shareLimitsWithPeer(conn, nil)
	n.log.Info("handed over to a successor")
	return nil
}
