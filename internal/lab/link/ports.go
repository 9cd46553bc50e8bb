// Allocation of ports: each rig on the machine claims a block, which is divided by the use of the addresses.

package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Layout of the port blocks. The blocks are below 32768, where the system's ephemeral ports begin: while a fault closes
// a listener, no outgoing connection or other listener may take its port. Each rig has a separate block, so that
// traffic for one rig can't reach another.
const (
	firstBlockPort = 12000 // first port of the first block
	blockCount     = 5     // maximum number of rigs that run at the same time
	portsPerBlock  = 4000  // see portRanges
)

// Loopback addresses of listeners. Blocks and listeners without a block use different addresses. With the same address,
// a listener without a block could take a port that a rig has closed temporarily.
const (
	blockHost  = "127.0.0.1" // for ports of blocks
	sharedHost = "127.0.0.2" // for listeners without a block
)

// claimRetryInterval is the time between two searches for a free block.
const claimRetryInterval = 50 * time.Millisecond

// listenAttempts limits how many random ports Listen tries.
const listenAttempts = 1000

// ClaimPorts claims a block of ports for a rig until release is called, and returns the block's first port. If all
// blocks are claimed, it waits for one: two rigs in one block could take each other's addresses while a fault closes
// them. It fails only if ctx ends first.
func ClaimPorts(ctx context.Context) (ports int, release func(), err error) {
	var firstPorts []int
	for n := range blockCount {
		firstPorts = append(firstPorts, firstBlockPort+n*portsPerBlock)
	}
	return claimPorts(ctx, blockHost, firstPorts)
}

// claimPorts claims one of the blocks that begin at firstPorts. The claim is a listener on the block's first port, so
// that it is visible to other processes.
func claimPorts(ctx context.Context, host string, firstPorts []int) (ports int, release func(), err error) {
	retry := time.NewTicker(claimRetryInterval)
	defer retry.Stop()
	for {
		for _, n := range rand.Perm(len(firstPorts)) {
			first := firstPorts[n]
			if claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first)); err == nil {
				return first, func() { claim.Close() }, nil
			}
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("link: all %d blocks of ports are in use: %w", len(firstPorts), context.Cause(ctx))
		}
	}
}

// PortUse is the purpose of a listener. Each purpose has a separate range of ports, so that a port that is temporarily
// closed is not taken for another purpose.
type PortUse int

// Purposes of listeners. A server that restarts gets another address.
const (
	ForLink      PortUse = iota // connections from the clients of a Link
	ForDiscovery                // calls from nodes to discovery
	ForNode                     // requests from clients to a node, and its admin calls
	ForServer                   // requests from nodes to a server
)

// portRanges holds the ports of each use as offsets in a block, from inclusive and to exclusive. Offset 0 is the port
// that claims the block.
var portRanges = [...]struct{ from, to int }{
	ForLink:      {1, 2500},
	ForDiscovery: {2500, 3000},
	ForNode:      {3000, 3500},
	ForServer:    {3500, portsPerBlock},
}

// Listen opens a listener on loopback, on a port for the given use in the block that begins at ports, or outside all
// blocks if ports is 0. It returns the last system error if every port that it tried is in use.
func Listen(ports int, use PortUse) (*net.TCPListener, error) {
	host, first, count := sharedHost, firstBlockPort, blockCount*portsPerBlock
	if ports > 0 {
		host, first, count = blockHost, ports+portRanges[use].from, portRanges[use].to-portRanges[use].from
	}
	var lastErr error
	for range listenAttempts {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, first+rand.IntN(count)))
		if err == nil {
			return listener.(*net.TCPListener), nil
		}
		lastErr = err
	}
	return nil, lastErr
}
