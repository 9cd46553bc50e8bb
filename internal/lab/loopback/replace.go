package loopback

import (
	"context"
	"os/exec"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// replace has a node's process replaced as operators do it: its successor starts beside it, and it gets SIGTERM once the
// successor is ready. replace returns when the older process has ended. A node that does not run, or is being replaced, is
// left alone.
func (p *process) replace(ctx context.Context) error {
	previous, previousExited, name, ok := p.beginReplacement()
	if !ok {
		return nil
	}
	defer p.endReplacement()
	if err := p.assignAddresses(); err != nil {
		return err
	}
	started, err := p.launch(p.world.lists.bootstrapList(p))
	if err != nil {
		return err
	}
	adminAddr, ok := p.setSuccessor(started, previous, previousExited)
	if !ok { // the node was killed: its successor goes with it
		started.cmd.Process.Kill()
		<-started.exited
		return nil
	}
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	if err := p.waitReady(ctx, "http://"+adminAddr+"/control/ready", started.exited, timeout.C); err != nil {
		return err
	}
	p.world.observations.record(blackbox.Event{At: p.world.now(), Kind: blackbox.SuccessorReady, Node: name})
	previous.Process.Signal(syscall.SIGTERM) // one that has ended by now needs none
	select {
	case <-previousExited:
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.runs(started.cmd, name) {
		p.world.sleep(socketSlack) // the last answers of the older process are still being read
		p.world.observations.record(blackbox.Event{At: p.world.now(), Kind: blackbox.NodeExited, Node: name})
	}
	return nil
}

// beginReplacement marks the node as being replaced, and returns its process.
func (p *process) beginReplacement() (cmd *exec.Cmd, exited chan struct{}, name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replacing || p.cmd == nil {
		return nil, nil, "", false
	}
	p.replacing = true
	return p.cmd, p.exited, p.name, true
}

// setSuccessor makes a started process the node's. It returns false if the older one is not the node's any more.
func (p *process) setSuccessor(started startedProcess, previous *exec.Cmd, previousExited chan struct{}) (adminAddr string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != previous {
		return "", false
	}
	p.cmd, p.exited, p.previous, p.previousExited = started.cmd, started.exited, previous, previousExited
	return p.adminAddr, true
}

// runs says that a process is still the node's in an incarnation.
func (p *process) runs(cmd *exec.Cmd, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == cmd && p.name == name
}

// endReplacement forgets the older process.
func (p *process) endReplacement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.previous, p.previousExited, p.replacing = nil, nil, false
}
