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

// The replicated log travels over raft's own TCP transport. Raft does not check that a connection reaches the server
// and the cluster that it means: each connection begins with a line that names both, and the other end closes it where
// they are not its own. So a controller with an emptied disk, which has another server ID, is not taken for the server
// that voted before, and two clusters on the same addresses do not mix their logs.

const (
	raftMessageTimeout  = 2 * time.Second // for one message between controllers, and for a connection's first line
	maxRaftConnections  = 128             // accepted at most, at the same time
	raftIdleConnections = 3               // idle connections to each other controller
	maxGreetingBytes    = 512             // bytes of a connection's first line
	greetingProtocol    = "hookwalk-raft/1"
	noClusterToken      = "-"
)

// GreetingError says that a raft connection reached another server or cluster than the one it meant.
type GreetingError struct{ Got, Want string }

func (e *GreetingError) Error() string {
	return fmt.Sprintf("a raft connection for %q reached %q: do two controllers have one address, or was a cluster built twice?", e.Got, e.Want)
}

// raftStream is the raft.StreamLayer of a controller.
type raftStream struct {
	listener net.Listener
	name     raftAddress
	serverID string // the own raft server ID
	cluster  func() configapi.Cluster
	slots    chan struct{}
	closing  chan struct{}
	once     sync.Once
	enabled  atomic.Bool // false: nothing is sent or read, on connections that exist neither
}

// raftAddress is the text of an address.
type raftAddress string

// Network is that of net.Addr.
func (a raftAddress) Network() string { return "tcp" }
func (a raftAddress) String() string  { return string(a) }

func newRaftStream(listener net.Listener, name, server string, cluster func() configapi.Cluster) *raftStream {
	return &raftStream{listener: listener, name: raftAddress(name), serverID: server, cluster: cluster,
		slots: make(chan struct{}, maxRaftConnections), closing: make(chan struct{})}
}

// serverAddress writes a server's ID into its address, so that Dial knows whom to ask for.
func serverAddress(address, id string) raft.ServerAddress {
	return raft.ServerAddress(address + "|" + id)
}

// Dial connects to a server whose address serverAddress wrote.
func (s *raftStream) Dial(target raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if !s.enabled.Load() {
		return nil, errStreamDisabled
	}
	address, id, _ := strings.Cut(string(target), "|")
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

// Accept returns the next connection. Its first line is read, and checked, by the first Read.
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
	s.once.Do(func() { close(s.closing) })
	return s.listener.Close()
}

// Addr is the controller's address in the log.
func (s *raftStream) Addr() net.Addr { return s.name }

// checkGreeting compares a connection's first line with what this server is.
func (s *raftStream) checkGreeting(line string) error {
	words := strings.Fields(line)
	own := clusterToken(s.cluster())
	want := strings.Join([]string{greetingProtocol, s.serverID, own}, " ")
	if !s.enabled.Load() || len(words) != 3 || words[0] != greetingProtocol || words[1] != s.serverID {
		return &GreetingError{line, want}
	}
	if words[2] != own && words[2] != noClusterToken && own != noClusterToken {
		return &GreetingError{line, want}
	}
	return nil
}

func clusterToken(c configapi.Cluster) string {
	if c == "" {
		return noClusterToken
	}
	return string(c)
}

// errStreamDisabled says that this controller does not take part in the replicated log at the moment.
var errStreamDisabled = errors.New("controller: raft is not open to the others")

// guardedConn is a connection that ends when its stream is not open.
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
	greeted     bool
	releaseSlot sync.Once
}

// Read reads behind the first line, which it checks.
func (c *inboundConn) Read(into []byte) (int, error) {
	if !c.greeted {
		if err := c.readGreeting(); err != nil {
			return 0, err
		}
		c.greeted = true
	}
	return c.guardedConn.Read(into)
}

// readGreeting reads byte by byte, once for each connection, because what follows is raft's.
func (c *inboundConn) readGreeting() error {
	_ = c.SetReadDeadline(time.Now().Add(raftMessageTimeout))
	var line bytes.Buffer
	one := make([]byte, 1)
	for line.Len() < maxGreetingBytes {
		if _, err := io.ReadFull(c.Conn, one); err != nil {
			return io.EOF // nothing was said: no news for raft's log
		}
		if one[0] == '\n' {
			_ = c.SetReadDeadline(time.Time{})
			if err := c.stream.checkGreeting(line.String()); err != nil {
				return io.EOF
			}
			return nil
		}
		line.WriteByte(one[0])
	}
	return io.EOF
}

// Close closes the connection and gives its place to another one.
func (c *inboundConn) Close() error {
	c.releaseSlot.Do(func() { <-c.stream.slots })
	return c.Conn.Close()
}
