package soak

import (
	"context"
	"net"
	"time"
)

// floodReopenInterval is the time between two passes that replace the connections that the node has closed. It also limits
// the time to open one connection.
const floodReopenInterval = 100 * time.Millisecond

// connectionFlood holds idle connections to one node. They send nothing, and are reopened if the node closes them.
type connectionFlood struct {
	address string
	conns   []*clientConn
}

// hold keeps a number of connections to the node open until ctx ends, and then closes them.
func (c *connectionFlood) hold(ctx context.Context, connections int) {
	defer c.close()
	again := time.NewTicker(floodReopenInterval)
	defer again.Stop()
	for {
		c.dropClosed()
		for len(c.conns) < connections && ctx.Err() == nil {
			if !c.open(ctx) {
				break
			}
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			return
		}
	}
}

// open opens one connection and reports whether it was established within floodReopenInterval.
func (c *connectionFlood) open(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: floodReopenInterval}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	c.conns = append(c.conns, &clientConn{Conn: conn})
	return true
}

// dropClosed removes the connections that the node has closed.
func (c *connectionFlood) dropClosed() {
	open := c.conns[:0]
	for _, conn := range c.conns {
		if conn.isOpen() {
			open = append(open, conn)
		} else {
			conn.Close()
		}
	}
	c.conns = open
}

// close closes all connections.
func (c *connectionFlood) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}
