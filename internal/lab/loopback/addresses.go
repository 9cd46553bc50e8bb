package loopback

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"hookwalk.example/hookwalk/internal/lab/link"
)

// maxRecentAddresses is how many addresses are remembered as given lately: whoever was given an older one listens by now,
// or has ended.
const maxRecentAddresses = 100

// addressPool has the addresses that processes were given to listen at: nobody listens there yet, or for a while, and nobody
// else may be given the same.
type addressPool struct {
	mu       sync.Mutex
	reserved map[string]bool // as long as the world
	recent   []string        // given last
}

// next is a free address that was not given lately.
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
		g.recent = g.recent[max(0, len(g.recent)-maxRecentAddresses):]
		return addr, nil
	}
}

// reserve keeps an address for whoever has it now.
func (g *addressPool) reserve(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reserved == nil {
		g.reserved = map[string]bool{}
	}
	g.reserved[addr] = true
}

// assignAddresses gives a node that takes admin calls an address for them, a new one for each process, and one for clients
// that stays over its incarnations, as the platform's nodes have them.
func (p *process) assignAddresses() error {
	if !p.world.scenario.Fleet.AdminCalls {
		return nil
	}
	adminAddr, err := p.freeAddress()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adminAddr = adminAddr
	if p.addr != "" {
		return nil
	}
	if p.addr, err = p.freeAddress(); err == nil {
		p.world.addresses.reserve(p.addr)
	}
	return err
}

// freeAddress is an address that nobody else has.
func (p *process) freeAddress() (string, error) {
	addr, err := p.world.addresses.next(func() (*net.TCPListener, error) { return link.Listen(p.world.options.Ports, link.ForNode) })
	if err != nil {
		return "", fmt.Errorf("node %s: %w", p.base, err)
	}
	return addr, nil
}
