package controller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// The replicated log uses raft's own TCP transport. Raft does not check whether a connection reaches the intended
// server and cluster. Therefore, each connection begins with a greeting that names both, and the accepting controller
// closes the connection if they are not its own. Without this check, a controller with an emptied disk, which has a new
// server ID, could be mistaken for the server that voted before, and two clusters on the same addresses could mix their
// logs.

const (
	// raftMessageTimeout is how long one message between controllers may take, and how long a greeting may take.
	raftMessageTimeout = 2 * time.Second
	// maxRaftConnections is the maximum number of accepted connections from other controllers that are open at the same
	// time.
	maxRaftConnections = 128
	// raftIdleConnections is how many idle connections are kept open to each other controller.
	raftIdleConnections = 3

	// maxGreetingBytes is the maximum length of a greeting.
	maxGreetingBytes = 512
	// greetingProtocol is the first field of a greeting: the name and the version of the protocol.
	greetingProtocol = "hookwalk-raft/1"
	// greetingFieldCount is the number of fields of a greeting: the protocol, the intended server ID, the cluster.
	greetingFieldCount = 3
	// noClusterToken replaces the cluster if a controller has none yet. It matches any cluster.
	noClusterToken = "-"
	// addressSeparator separates the network address from the server ID in a raft.ServerAddress.
	addressSeparator = "|"
)

// GreetingError reports that a raft connection reached a different server or cluster than intended.
type GreetingError struct {
	Got  string // the received greeting
	Want string // the greeting that this server expects
}

func (e *GreetingError) Error() string {
	return fmt.Sprintf("a raft connection for %q reached %q: two controllers may have the same address, or the cluster may have been created twice", e.Got, e.Want)
}

// raftStream is the raft.StreamLayer of a controller: it dials and accepts connections between controllers.
type raftStream struct {
	listener  net.Listener
	name      raftAddress
	serverID  string // this controller's raft server ID
	cluster   func() configapi.Cluster
	slots     chan struct{} // holds one element for each open accepted connection
	closing   chan struct{} // closed by Close
	closeOnce sync.Once
	// enabled is set while this controller takes part in the replicated log. While it is false, nothing is sent or
	// read, not even on connections that are already open, because it is not known yet whether the disk may be used to
	// vote.
	enabled atomic.Bool
}

// raftAddress is the name of a controller as a net.Addr.
type raftAddress string

// Network returns "tcp".
func (a raftAddress) Network() string { return "tcp" }

// String returns the name.
func (a raftAddress) String() string { return string(a) }

func newRaftStream(listener net.Listener, name, server string, cluster func() configapi.Cluster) *raftStream {
	return &raftStream{listener: listener, name: raftAddress(name), serverID: server, cluster: cluster,
		slots: make(chan struct{}, maxRaftConnections), closing: make(chan struct{})}
}

// dialAddress combines the network address and the ID of a server, so that Dial knows which server the connection is
// for.
func dialAddress(address, id string) raft.ServerAddress {
	return raft.ServerAddress(address + addressSeparator + id)
}

// Dial connects to a server at an address from dialAddress, and sends the greeting.
func (s *raftStream) Dial(target raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if !s.enabled.Load() {
		return nil, errStreamDisabled
	}
	address, id, _ := strings.Cut(string(target), addressSeparator)
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s %s %s\n", greetingProtocol, id, clusterToken(s.cluster())); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return &guardedConn{conn, s}, nil
}

// Accept returns the next connection. The first Read on it reads and checks the greeting, so that a slow connection
// does not delay others.
func (s *raftStream) Accept() (net.Conn, error) {
	select {
	case s.slots <- struct{}{}:
	case <-s.closing:
		return nil, net.ErrClosed
	}
	conn, err := s.listener.Accept()
	if err != nil {
		<-s.slots
		return nil, err
	}
	return &inboundConn{guardedConn: guardedConn{conn, s}}, nil
}

// Close closes the listener.
func (s *raftStream) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	return s.listener.Close()
}

// Addr returns the controller's address in the raft configuration.
func (s *raftStream) Addr() net.Addr { return s.name }

// checkGreeting compares the greeting of a connection with the ID and the cluster of this server. Its error is a
// GreetingError.
func (s *raftStream) checkGreeting(greeting string) error {
	fields := strings.Fields(greeting)
	own := clusterToken(s.cluster())
	want := strings.Join([]string{greetingProtocol, s.serverID, own}, " ")
	if !s.enabled.Load() || len(fields) != greetingFieldCount || fields[0] != greetingProtocol || fields[1] != s.serverID {
		return &GreetingError{greeting, want}
	}
	if fields[2] != own && fields[2] != noClusterToken && own != noClusterToken {
		return &GreetingError{greeting, want}
	}
	return nil
}

// clusterToken returns a cluster as it is written in a greeting.
func clusterToken(c configapi.Cluster) string {
	if c == "" {
		return noClusterToken
	}
	return string(c)
}

// errStreamDisabled reports that this controller does not take part in the replicated log yet.
var errStreamDisabled = errors.New("controller: this controller does not take part in the replicated log yet")

// guardedConn is a connection that fails while its stream is not enabled.
type guardedConn struct {
	net.Conn
	stream *raftStream
}

func (g *guardedConn) Read(into []byte) (int, error) {
	n, err := g.Conn.Read(into)
	if err == nil && !g.stream.enabled.Load() {
		return 0, errStreamDisabled
	}
	return n, err
}

func (g *guardedConn) Write(from []byte) (int, error) {
	if !g.stream.enabled.Load() {
		return 0, errStreamDisabled
	}
	return g.Conn.Write(from)
}

// inboundConn is a connection that another controller has opened.
type inboundConn struct {
	guardedConn
	greetingChecked bool
	releaseSlot     sync.Once
}

// Read returns the data after the greeting. The first call reads and checks the greeting.
func (c *inboundConn) Read(into []byte) (int, error) {
	if !c.greetingChecked {
		if err := c.readGreeting(); err != nil {
			return 0, err
		}
		c.greetingChecked = true
	}
	return c.guardedConn.Read(into)
}

// readGreeting reads and checks the greeting. It reads byte by byte, because the data after the greeting belongs to
// raft. It returns io.EOF for any failure, because raft would log other errors as its own.
func (c *inboundConn) readGreeting() error {
	_ = c.SetReadDeadline(time.Now().Add(raftMessageTimeout))
	var line bytes.Buffer
	oneByte := make([]byte, 1)
	for line.Len() < maxGreetingBytes {
		if _, err := io.ReadFull(c.Conn, oneByte); err != nil {
			return io.EOF
		}
		if oneByte[0] == '\n' {
			_ = c.SetReadDeadline(time.Time{})
			if err := c.stream.checkGreeting(line.String()); err != nil {
				return io.EOF
			}
			return nil
		}
		line.WriteByte(oneByte[0])
	}
	return io.EOF
}

// Close closes the connection and releases its slot.
func (c *inboundConn) Close() error {
	c.releaseSlot.Do(func() { <-c.stream.slots })
	return c.Conn.Close()
}
