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

// The replicated log uses raft's own TCP transport. Raft does not check that a connection reaches the server and the
// cluster that it means: each connection therefore begins with a greeting that names both, and the other end closes it
// if they are not its own. It guards against two failures: a controller with an emptied disk, which has another server
// ID, must not be mistaken for the server that voted before; and two clusters on the same addresses must not mix their
// logs.

const (
	// raftMessageTimeout is how long one message between controllers, and a greeting, may take.
	raftMessageTimeout = 2 * time.Second
	// maxRaftConnections is how many connections of other controllers are accepted at the same time.
	maxRaftConnections = 128
	// raftIdleConnections is how many idle connections stay open to each other controller.
	raftIdleConnections = 3

	// maxGreetingBytes bounds a greeting.
	maxGreetingBytes = 512
	// greetingProtocol begins a greeting; another version of the protocol has another text.
	greetingProtocol = "hookwalk-raft/1"
	// greetingFieldCount are the fields of a greeting: the protocol, the server ID that the connection is for, the cluster.
	greetingFieldCount = 3
	// noClusterToken stands for the cluster where a controller has none yet; it matches any.
	noClusterToken = "-"
	// addressSeparator stands between the network address and the server ID in a raft.ServerAddress.
	addressSeparator = "|"
)

// GreetingError reports that a raft connection reached another server or cluster than it was for.
type GreetingError struct {
	Got  string // the greeting
	Want string // this server's
}

func (e *GreetingError) Error() string {
	return fmt.Sprintf("a raft connection for %q reached %q: do two controllers have one address, or was a cluster built twice?", e.Got, e.Want)
}

// raftStream is the raft.StreamLayer of a controller: it dials and accepts connections between controllers.
type raftStream struct {
	listener  net.Listener
	name      raftAddress
	serverID  string // its own raft server ID
	cluster   func() configapi.Cluster
	slots     chan struct{} // one for each accepted connection
	closing   chan struct{} // closed by Close
	closeOnce sync.Once
	// enabled is set while this controller takes part in the log. While it is false nothing is sent or read, on
	// connections that are open neither: it is not clear yet whether the disk may vote.
	enabled atomic.Bool
}

// raftAddress is a net.Addr of its text.
type raftAddress string

// Network is always tcp.
func (a raftAddress) Network() string { return "tcp" }

// String returns the text.
func (a raftAddress) String() string { return string(a) }

func newRaftStream(listener net.Listener, name, server string, cluster func() configapi.Cluster) *raftStream {
	return &raftStream{listener: listener, name: raftAddress(name), serverID: server, cluster: cluster,
		slots: make(chan struct{}, maxRaftConnections), closing: make(chan struct{})}
}

// dialAddress appends a server's ID to its network address, so that Dial knows which server it is for.
func dialAddress(address, id string) raft.ServerAddress {
	return raft.ServerAddress(address + addressSeparator + id)
}

// Dial connects to a server whose address serverAddress made, and sends the greeting.
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

// Accept returns the next connection. Its greeting is read and checked by the first Read, so that a slow one holds up
// no other.
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

// Addr is the controller's address in the log.
func (s *raftStream) Addr() net.Addr { return s.name }

// checkGreeting compares a connection's greeting with what this server is. Its error is a GreetingError.
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

// clusterToken is the cluster in a greeting.
func clusterToken(c configapi.Cluster) string {
	if c == "" {
		return noClusterToken
	}
	return string(c)
}

// errStreamDisabled reports that this controller does not take part in the replicated log yet.
var errStreamDisabled = errors.New("controller: raft is not open to the others")

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

// Read reads what follows the greeting, which it checks first.
func (c *inboundConn) Read(into []byte) (int, error) {
	if !c.greetingChecked {
		if err := c.readGreeting(); err != nil {
			return 0, err
		}
		c.greetingChecked = true
	}
	return c.guardedConn.Read(into)
}

// readGreeting reads and checks the greeting. It reads byte by byte, because what follows is raft's. Any fault is
// io.EOF: raft would log others as errors of its own.
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
