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

// connectionIOTimeout limits how long a stand-in server waits for the rest of a request, or for a response to be
// written.
const connectionIOTimeout = 5 * time.Second

// server is a stand-in server. It serves the model's server on real connections and injects faults into them.
type server struct {
	world *World
	addr  string
	tier  scenario.Tier
	node  *process // node through which the server calls the next tier; nil: the server is in the last tier

	mu             sync.Mutex
	model          *model.Server
	listener       *net.TCPListener
	connections    map[*connection]bool
	died           chan struct{} // closed when the server process ends
	reconnected    chan struct{} // closed when the machine is reconnected to the network; nil: it is connected
	queueFillers   []net.Conn    // connections that keep the listener's queue full while the machine is off the network
	timer          *time.Timer   // for the next completion
	truncatedShare float64
}

// connection is one connection from a node.
type connection struct {
	net.Conn
	resetNext bool // reset the connection at its next use; guarded by server.mu
}

// start starts to listen, at the previous address if there is one.
func (s *server) start() error {
	addr := s.addr
	if s.world.worker != nil { // the address is not reserved while the server is down; its links get the new one
		addr = ""
	}
	ln, err := s.world.listenAt(addr, link.ForServer)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.model.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.addr = ln, ln.Addr().String()
	s.connections, s.died = map[*connection]bool{}, make(chan struct{})
	s.world.spawn(func() { s.accept(s.listener, s.died) })
	return nil
}

// listenAt listens at an address, or at a free address if addr is "".
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

// accept accepts connections until the server process ends. While the machine is off the network, it waits.
func (s *server) accept(ln *net.TCPListener, died chan struct{}) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !s.waitReconnected(died) {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		conn, ok := s.addConnection(c)
		if !ok {
			reset(c)
			continue
		}
		s.world.observations.connectionOpened(s.world.now(), s.model.ID)
		s.world.spawn(func() { s.serve(conn, died) })
	}
}

// waitReconnected waits until the machine is on the network. It returns false if the server process has ended.
func (s *server) waitReconnected(died chan struct{}) bool {
	reconnected := s.disconnected()
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

// addConnection registers a connection. It returns false if the server has reached its limit of connections.
func (s *server) addConnection(c net.Conn) (*connection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.Connections >= s.model.Kind.MaxConnections {
		return nil, false
	}
	conn := &connection{Conn: c}
	s.connections[conn] = true
	s.model.Connections++
	return conn, true
}

// closeConnection closes a connection and unregisters it, unless the server process has ended since.
func (s *server) closeConnection(conn *connection) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections[conn] {
		delete(s.connections, conn)
		s.model.Connections--
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// serve serves a connection's requests, one at a time.
func (s *server) serve(conn *connection, died chan struct{}) {
	defer s.closeConnection(conn)
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, ok := s.readRequest(conn, reader)
		if !ok {
			return
		}
		closed := make(chan struct{}) // closed when the node closes the connection
		next := make(chan struct{})   // closed when the next request begins or the connection is closed
		go func() {
			defer close(next)
			if _, err := reader.Peek(1); err != nil {
				close(closed)
			}
		}()
		if !s.serveRequest(conn, r, first, closed, died) || !s.waitNext(next, died) {
			conn.Close()
			<-next
			return
		}
	}
}

// readRequest reads a connection's next request. It returns false if the connection has ended.
func (s *server) readRequest(conn *connection, reader *bufio.Reader) (*http.Request, bool) {
	conn.SetReadDeadline(time.Now().Add(s.world.scenario.Network.IdleTimeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, false
	}
	s.mu.Lock()
	resetNow := conn.resetNext
	s.mu.Unlock()
	if resetNow {
		reset(conn.Conn)
		return nil, false
	}
	conn.SetReadDeadline(time.Now().Add(connectionIOTimeout))
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return nil, false
	}
	conn.SetReadDeadline(time.Time{})
	return r, true
}

// waitNext waits for the next request on an idle connection. It returns false if the server must close the connection.
func (s *server) waitNext(next, died chan struct{}) bool {
	select {
	case <-next:
		return true
	case <-time.After(s.world.scenario.Network.IdleTimeout):
	case <-died:
	}
	return false
}

// writeResponse writes a complete response. It returns false if the write fails.
func writeResponse(c net.Conn, status int, headers []string, body string) bool {
	c.SetWriteDeadline(time.Now().Add(connectionIOTimeout))
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

// locked calls f with the server's lock.
func (s *server) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// inState reports whether the server is in a state.
func (s *server) inState(state model.ServerState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.State == state
}
