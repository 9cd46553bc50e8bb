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

// operated gives a node that operators may call an address of their own, a new one for each process, and one for
// clients that stays over its lives, as the platform's nodes have them.
func (p *process) operated() error {
	if !p.w.s.Fleet.Control {
		return nil
	}
	addr := func() (string, error) {
		addr, err := p.w.given.next(func() (*net.TCPListener, error) { return link.Listen(p.w.opt.Ports, link.ForNode) })
		if err != nil {
			return "", fmt.Errorf("node %s: %w", p.place, err)
		}
		return addr, nil
	}
	control, err := addr()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = control
	if p.addr == "" {
		if p.addr, err = addr(); err == nil {
			p.w.given.keep(p.addr)
		}
	}
	return err
}

// given are addresses that processes were told to listen at: nobody listens there yet, or for a while, and nobody else may
// be told the same.
type given struct {
	mu   sync.Mutex
	kept map[string]bool // as long as the world
	last []string        // told last; the older ones listen by now, or have ended
}

const lastGiven = 100

// next is a free address that was not given lately.
func (g *given) next(listen func() (*net.TCPListener, error)) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		ln.Close()
		if g.kept[addr] || slices.Contains(g.last, addr) {
			continue
		}
		g.last = append(g.last, addr)
		g.last = g.last[max(0, len(g.last)-lastGiven):]
		return addr, nil
	}
}

func (g *given) keep(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.kept == nil {
		g.kept = map[string]bool{}
	}
	g.kept[addr] = true
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
	defer p.replaced()
	if err := p.operated(); err != nil {
		return err
	}
	cmd, exited, _, err := p.launch(p.w.lists.known(p))
	if err != nil {
		return err
	}
	p.mu.Lock()
	alive, control := p.cmd == before, p.control
	if alive {
		p.cmd, p.exited, p.before, p.ended = cmd, exited, before, ended
	}
	p.mu.Unlock()
	if !alive { // killed meanwhile: the newer one with it
		cmd.Process.Kill()
		<-exited
		return nil
	}
	late := time.NewTimer(readyWithin)
	defer late.Stop()
	if err := p.ready(ctx, "http://"+control+"/control/ready", exited, late.C); err != nil {
		return err
	}
	p.w.facts.seen(blackbox.Event{At: p.w.now(), What: blackbox.Heir, Node: name})
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
		p.w.sleep(socketSlack) // its last answers are still being read
		p.w.facts.seen(blackbox.Event{At: p.w.now(), What: blackbox.Exit, Node: name})
	}
	return nil
}

// replaced forgets the older process.
func (p *process) replaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.ended, p.replacing = nil, nil, false
}

// Replace has a node's process replaced, beside it, by one of the program that all but old builds have.
func (n *Nodes) Replace(ctx context.Context, i int) error {
	n.SetProgram(i, nil)
	return n.w.processes[i].replace(ctx)
}

// Control is a node's name in its present life, and where operators call it; "": it does not run, or takes no calls.
func (n *Nodes) Control(i int) (life, addr string) {
	p := n.w.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.name, ""
	}
	return p.name, p.control
}

// SetFolder gives a node a $TMPDIR of its own, from its next process on; starts is told of each process that begins.
func (n *Nodes) SetFolder(i int, dir string, starts func(*exec.Cmd)) {
	n.w.processes[i].tmp, n.w.processes[i].starts = dir, starts
}
