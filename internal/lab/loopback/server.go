package loopback

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// connectionTimeout is how long a stand-in server waits for the rest of a request, or for its answer to be taken.
const connectionTimeout = 5 * time.Second

// server is a stand-in server: the model's server behind a listener, with faults made on its real connections.
type server struct {
	world *World
	addr  string
	tier  scenario.Tier
	node  *process // through which it calls the next tier; nil: the last tier

	mu          sync.Mutex
	model       *model.Server
	listener    *net.TCPListener
	connections map[*connection]bool
	died        chan struct{} // closed when the process ends
	reconnected chan struct{} // closed when the machine is on the network again; nil: it is
	backlogFill []net.Conn    // of a machine that is off the network: they keep its listener's queue full
	timer       *time.Timer   // of the next completion
	brokenShare float64
}

// connection is one connection from a node.
type connection struct {
	net.Conn
	resetNext bool // under the server's mu
}

// start listens, at the old address if there was one.
func (b *server) start() error {
	addr := b.addr
	if b.world.worker != nil { // its links know where it is: nobody keeps the address of a server that is down
		addr = ""
	}
	ln, err := b.world.listenAt(addr, link.ForServer)
	if err != nil {
		return fmt.Errorf("server %s: %w", b.model.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.addr = ln, ln.Addr().String()
	b.connections, b.died = map[*connection]bool{}, make(chan struct{})
	b.world.goOwned(func() { b.accept(b.listener, b.died) })
	return nil
}

// listenAt listens at an address; "": at a free one.
func (w *World) listenAt(addr string, use link.PortUse) (*net.TCPListener, error) {
	if addr == "" {
		return link.Listen(w.options.Ports, use)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// accept accepts connections until the process ends. Off the network it waits until it is back.
func (b *server) accept(ln *net.TCPListener, died chan struct{}) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !b.waitReconnected(died) {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		k, ok := b.addConnection(c)
		if !ok {
			reset(c)
			continue
		}
		b.world.observations.connectionOpened(b.world.now(), b.model.ID)
		b.world.goOwned(func() { b.serve(k, died) })
	}
}

// waitReconnected waits until the machine is on the network. It returns false if the process has ended.
func (b *server) waitReconnected(died chan struct{}) bool {
	reconnected := b.disconnected()
	if reconnected == nil {
		return true
	}
	select {
	case <-reconnected:
		return true
	case <-died:
		return false
	}
}

// addConnection counts a connection. It returns false if the server has as many as it may have.
func (b *server) addConnection(c net.Conn) (*connection, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.Connections >= b.model.Kind.MaxConnections {
		return nil, false
	}
	k := &connection{Conn: c}
	b.connections[k] = true
	b.model.Connections++
	return k, true
}

// closeConnection closes a connection, and counts it no more unless the process has ended.
func (b *server) closeConnection(k *connection) {
	k.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connections[k] {
		delete(b.connections, k)
		b.model.Connections--
	}
}

// reset ends a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// serve answers a connection's requests, one at a time.
func (b *server) serve(k *connection, died chan struct{}) {
	defer b.closeConnection(k)
	reader := bufio.NewReader(k)
	for first := true; ; first = false {
		r, ok := b.readRequest(k, reader)
		if !ok {
			return
		}
		closed := make(chan struct{}) // by the node
		next := make(chan struct{})   // the next request has begun, or the connection is closed
		go func() {
			defer close(next)
			if _, err := reader.Peek(1); err != nil {
				close(closed)
			}
		}()
		if !b.serveRequest(k, r, first, closed, died) || !b.waitNext(next, died) {
			k.Close()
			<-next
			return
		}
	}
}

// readRequest reads a connection's next request. It returns false if the connection is over.
func (b *server) readRequest(k *connection, reader *bufio.Reader) (*http.Request, bool) {
	k.SetReadDeadline(time.Now().Add(b.world.scenario.Network.IdleTimeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, false
	}
	b.mu.Lock()
	resetNow := k.resetNext
	b.mu.Unlock()
	if resetNow {
		reset(k.Conn)
		return nil, false
	}
	k.SetReadDeadline(time.Now().Add(connectionTimeout))
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return nil, false
	}
	k.SetReadDeadline(time.Time{})
	return r, true
}

// waitNext waits on an idle connection. It returns false if it is to be closed.
func (b *server) waitNext(next, died chan struct{}) bool {
	select {
	case <-next:
		return true
	case <-time.After(b.world.scenario.Network.IdleTimeout):
	case <-died:
	}
	return false
}

// writeResponse writes a complete response. It returns false if the connection is over.
func writeResponse(c net.Conn, status int, headers []string, body string) bool {
	c.SetWriteDeadline(time.Now().Add(connectionTimeout))
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

// locked does something under the server's lock.
func (b *server) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// inState says that the server is in a state now.
func (b *server) inState(s model.ServerState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.State == s
}
