// Blocks of ports, one for each rig on the machine, and what the addresses in them are for.

package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Blocks of ports. The system takes the ports of outgoing connections, and of listeners that ask for any, from 32768 on.
// An address that is given up for a while and opened again must not be taken meanwhile, so it is below; and each rig has
// a block of its own, for what was meant for one must not reach another.
const (
	firstBlockPort = 12000 // of the first block
	blockCount     = 5     // rigs that run at once
	portsPerBlock  = 4000  // see portRanges
)

// Hosts of ports. Blocks are of one loopback address; listeners without a block share the ports of another one. With the
// same address they would take ports that a block's rig has given up for a while.
const (
	blockHost  = "127.0.0.1" // of blocks
	sharedHost = "127.0.0.2" // of listeners without a block
)

// claimRetryInterval is how often a rig that waits for a block looks for one.
const claimRetryInterval = 50 * time.Millisecond

// listenAttempts is how many random ports Listen tries before it gives up.
const listenAttempts = 1000

// ClaimPorts takes a block of ports for a rig, until release, and returns its first port. Where all blocks are taken it
// waits for one: two rigs in one block would take each other's addresses while these are given up for a fault. It fails
// only when ctx ends first.
func ClaimPorts(ctx context.Context) (ports int, release func(), err error) {
	var firsts []int
	for n := range blockCount {
		firsts = append(firsts, firstBlockPort+n*portsPerBlock)
	}
	return claimPorts(ctx, blockHost, firsts)
}

// claimPorts claims one of some blocks. A block's claim is a listener at its first port, which other processes see.
func claimPorts(ctx context.Context, host string, firsts []int) (ports int, release func(), err error) {
	retry := time.NewTicker(claimRetryInterval)
	defer retry.Stop()
	for {
		for _, n := range rand.Perm(len(firsts)) {
			first := firsts[n]
			if claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first)); err == nil {
				return first, func() { claim.Close() }, nil
			}
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("link: all ports are other rigs': %w", context.Cause(ctx))
		}
	}
}

// PortUse is what an address is for: one that is closed for a while must not be taken for another use meanwhile.
type PortUse int

// Uses of ports. A server that starts again gets another address.
const (
	ForLink      PortUse = iota // clients of a Link
	ForDiscovery                // nodes that call discovery
	ForNode                     // clients of a node, and the operators' address beside it
	ForServer                   // nodes that call a server
)

// portRanges are the ports of each use, as offsets in a block; to is the first that is not in the range. Offset 0 is the
// block's claim.
var portRanges = [...]struct{ from, to int }{
	ForLink:      {1, 2500},
	ForDiscovery: {2500, 3000},
	ForNode:      {3000, 3500},
	ForServer:    {3500, portsPerBlock},
}

// Listen opens a listener on loopback, at an address of a rig's block of ports that has no other use; where ports is 0,
// at one that is in no block. It returns the system's last error if none of many ports is free.
func Listen(ports int, use PortUse) (*net.TCPListener, error) {
	host, first, count := sharedHost, firstBlockPort, blockCount*portsPerBlock
	if ports > 0 {
		host, first, count = blockHost, ports+portRanges[use].from, portRanges[use].to-portRanges[use].from
	}
	var last error
	for range listenAttempts {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first+rand.IntN(count)))
		if err == nil {
			return listener.(*net.TCPListener), nil
		}
		last = err
	}
	return nil, last
}
