package loopback

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"hookwalk.example/hookwalk/internal/lab/link"
)

// maxRecentAddresses is how many recently assigned addresses are remembered. A process with an older address already
// listens at it or has ended.
const maxRecentAddresses = 100

// addressPool assigns listen addresses to processes. A process does not listen at its address before it has started, or
// while it is down; in that time the pool does not assign the address to another process.
type addressPool struct {
	mu       sync.Mutex
	reserved map[string]bool // never assigned again
	recent   []string        // assigned most recently
}

// nextFree returns a free address that is not reserved and was not assigned recently.
func (p *addressPool) nextFree(listen func() (*net.TCPListener, error)) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		ln.Close()
		if p.reserved[addr] || slices.Contains(p.recent, addr) {
			continue
		}
		p.recent = append(p.recent, addr)
		p.recent = p.recent[max(0, len(p.recent)-maxRecentAddresses):]
		return addr, nil
	}
}

// reserve keeps an address for the process that has it now.
func (p *addressPool) reserve(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		p.reserved = map[string]bool{}
	}
	p.reserved[addr] = true
}

// assignAddresses assigns addresses to a node that accepts admin calls: a new address for admin calls for each process,
// and an address for clients that stays the same over all incarnations, like that of a node on the platform.
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

// freeAddress returns an address that no other process has.
func (p *process) freeAddress() (string, error) {
	addr, err := p.world.addresses.nextFree(func() (*net.TCPListener, error) { return link.Listen(p.world.options.Ports, link.ForNode) })
	if err != nil {
		return "", fmt.Errorf("node %s: %w", p.base, err)
	}
	return addr, nil
}
