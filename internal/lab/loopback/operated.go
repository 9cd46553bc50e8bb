package loopback

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
)

// assignAddresses gives a node that operators may call an address of their own, a new one for each process, and one for
// playClients that stays over its lives, as the platform's nodes have them.
func (p *process) assignAddresses() error {
	if !p.world.scenario.Fleet.AdminCalls {
		return nil
	}
	addr := func() (string, error) {
		addr, err := p.world.addresses.next(func() (*net.TCPListener, error) { return link.Listen(p.world.options.Ports, link.ForNode) })
		if err != nil {
			return "", fmt.Errorf("node %s: %w", p.base, err)
		}
		return addr, nil
	}
	control, err := addr()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adminAddr = control
	if p.addr == "" {
		if p.addr, err = addr(); err == nil {
			p.world.addresses.reserve(p.addr)
		}
	}
	return err
}

// addresses are addresses that processes were told to listen at: nobody listens there yet, or for a while, and nobody else may
// be told the same.
type addressPool struct {
	mu       sync.Mutex
	reserved map[string]bool // as long as the world
	recent   []string        // told last; the older ones listen by now, or have ended
}

const maxRecent = 100

// lastPicked is a free address that was not given lately.
func (g *addressPool) next(listen func() (*net.TCPListener, error)) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		ln.Close()
		if g.reserved[addr] || slices.Contains(g.recent, addr) {
			continue
		}
		g.recent = append(g.recent, addr)
		g.recent = g.recent[max(0, len(g.recent)-maxRecent):]
		return addr, nil
	}
}

func (g *addressPool) reserve(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reserved == nil {
		g.reserved = map[string]bool{}
	}
	g.reserved[addr] = true
}

// replace has a node's process replaced as operators do it: another one beside it, SIGTERM to the older once the newer
// says yes. It returns when the older has ended. A node that does not run, or is being replaced, is left alone.
func (p *process) replace(ctx context.Context) error {
	p.mu.Lock()
	before, ended, name, busy := p.cmd, p.exited, p.name, p.replacing
	p.replacing = busy || before != nil
	p.mu.Unlock()
	if before == nil || busy {
		return nil
	}
	defer p.forgetPrevious()
	if err := p.assignAddresses(); err != nil {
		return err
	}
	cmd, exited, _, err := p.launch(p.world.lists.bootstrapList(p))
	if err != nil {
		return err
	}
	p.mu.Lock()
	alive, control := p.cmd == before, p.adminAddr
	if alive {
		p.cmd, p.exited, p.previous, p.previousExited = cmd, exited, before, ended
	}
	p.mu.Unlock()
	if !alive { // killed meanwhile: the newer one with it
		cmd.Process.Kill()
		<-exited
		return nil
	}
	late := time.NewTimer(startTimeout)
	defer late.Stop()
	if err := p.waitReady(ctx, "http://"+control+"/control/ready", exited, late.C); err != nil {
		return err
	}
	p.world.observations.record(blackbox.Event{At: p.world.now(), Kind: blackbox.SuccessorReady, Node: name})
	before.Process.Signal(syscall.SIGTERM) // one that has ended meanwhile needs none
	select {
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	p.mu.Lock()
	alive = p.cmd == cmd && p.name == name
	p.mu.Unlock()
	if alive {
		p.world.sleep(socketSlack) // its last answers are still being read
		p.world.observations.record(blackbox.Event{At: p.world.now(), Kind: blackbox.NodeExited, Node: name})
	}
	return nil
}

// forgetPrevious forgets the older process.
func (p *process) forgetPrevious() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.previous, p.previousExited, p.replacing = nil, nil, false
}

// Replace has a node's process replaced, beside it, by one of the program that all but old builds have.
func (n *Nodes) Replace(ctx context.Context, i int) error {
	n.SetProgram(i, nil)
	return n.world.processes[i].replace(ctx)
}

// AdminAddr is a node's name in its present life, and where operators call it; "": it does not run, or takes no calls.
func (n *Nodes) AdminAddr(i int) (life, addr string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.name, ""
	}
	return p.name, p.adminAddr
}

// SetFolder gives a node a $TMPDIR of its own, from its next process on; starts is told of each process that begins.
func (n *Nodes) SetFolder(i int, dir string, starts func(*exec.Cmd)) {
	n.world.processes[i].tempDir, n.world.processes[i].onStart = dir, starts
}
