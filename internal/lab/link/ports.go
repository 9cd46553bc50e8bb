// Blocks of ports, one for each rig on the machine, and what the addresses in them are for.

package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// The system takes the ports of outgoing connections, and of listeners that ask for any, from 32768 on. An address that
// is given up for a while and opened again must not be taken meanwhile, so it is below; and each rig has a block of its
// own, for what was meant for one must not reach another.
const (
	firstBlockPort = 12000
	blockCount     = 5
	portsPerBlock  = 4000
)

// Blocks are of one loopback address; those who have none share the ports of another one. With the same address they would
// take ports that a block's rig has given up for a while.
const (
	blockHost  = "127.0.0.1"
	sharedHost = "127.0.0.2"
)

// Claim takes a block of ports for a rig, until release, and gives its first. Where all are taken it waits for one: two
// rigs in one block would take each other's addresses while these are given up for a fault.
func ClaimPorts(ctx context.Context) (ports int, release func(), err error) {
	var firsts []int
	for n := range blockCount {
		firsts = append(firsts, firstBlockPort+n*portsPerBlock)
	}
	return claimPorts(ctx, blockHost, firsts)
}

func claimPorts(ctx context.Context, host string, firsts []int) (ports int, release func(), err error) {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		for _, n := range rand.Perm(len(firsts)) {
			first := firsts[n]
			if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first)); err == nil { // held: others see that it is taken
				return first, func() { ln.Close() }, nil
			}
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("link: all ports are other rigs': %w", context.Cause(ctx))
		}
	}
}

// Use is what an address is for: one that is closed for a while must not be taken for another use meanwhile.
type PortUse int

// Uses. A box that starts again gets another address.
const (
	ForLink PortUse = iota
	ForDiscovery
	ForNode // and the operators' address beside it
	ForServer
)

var portRanges = [...]struct{ from, to int }{ForLink: {1, 2500}, ForDiscovery: {2500, 3000}, ForNode: {3000, 3500}, ForServer: {3500, portsPerBlock}}

// Listen opens a listener on loopback, at an address of a rig's block of ports that is nobody's for another use; where
// ports is 0, at one that is in no block.
func Listen(ports int, use PortUse) (*net.TCPListener, error) {
	host, first, many := sharedHost, firstBlockPort, blockCount*portsPerBlock
	if ports > 0 {
		host, first, many = blockHost, ports+portRanges[use].from, portRanges[use].to-portRanges[use].from
	}
	var last error
	for range 1000 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first+rand.IntN(many)))
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		last = err
	}
	return nil, last
}
