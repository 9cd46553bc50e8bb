package loopback

import (
	"context"
	"os/exec"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// replace replaces the node's process as operators do: it starts a successor and sends SIGTERM to the older process
// once the successor is ready. replace returns when the older process has exited. It does nothing if the node is not
// running or is already being replaced.
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
	if !ok { // the node was killed in the meantime: kill the successor as well
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
	previous.Process.Signal(syscall.SIGTERM) // an error means that the process has already exited
	select {
	case <-previousExited:
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.runs(started.cmd, name) {
		p.world.sleep(socketSlack) // clients may still be reading the last responses of the older process
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

// setSuccessor makes a started process the node's newest process and returns its admin address. It returns false if the
// older process is no longer the node's.
func (p *process) setSuccessor(started startedProcess, previous *exec.Cmd, previousExited chan struct{}) (adminAddr string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != previous {
		return "", false
	}
	p.cmd, p.exited, p.previous, p.previousExited = started.cmd, started.exited, previous, previousExited
	return p.adminAddr, true
}

// runs reports whether a process is still the node's newest in the named incarnation.
func (p *process) runs(cmd *exec.Cmd, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == cmd && p.name == name
}

// endReplacement ends the replacement and removes the older process from the node.
func (p *process) endReplacement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.previous, p.previousExited, p.replacing = nil, nil, false
}
