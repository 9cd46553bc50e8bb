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
	raftTimeout     = 2 * time.Second // for one message between controllers, and for a connection's first line
	raftConnections = 128             // accepted at most, at the same time
	raftPool        = 3               // idle connections to each other controller
	maxGreeting     = 512             // bytes of a connection's first line
	greetingWord    = "hookwalk-raft/1"
	noCluster       = "-"
)

// GreetingError says that a raft connection reached another server or cluster than the one it meant.
type GreetingError struct{ Got, Want string }

func (e *GreetingError) Error() string {
	return fmt.Sprintf("a raft connection for %q reached %q: do two controllers have one address, or was a cluster built twice?", e.Got, e.Want)
}

// stream is the raft.StreamLayer of a controller.
type stream struct {
	listener net.Listener
	name     address
	server   string // the own raft server ID
	cluster  func() configapi.Cluster
	slots    chan struct{}
	closing  chan struct{}
	once     sync.Once
	open     atomic.Bool // false: nothing is sent or read, on connections that exist neither
}

// address is the text of an address.
type address string

// Network is that of net.Addr.
func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

func newStream(listener net.Listener, name, server string, cluster func() configapi.Cluster) *stream {
	return &stream{listener: listener, name: address(name), server: server, cluster: cluster,
		slots: make(chan struct{}, raftConnections), closing: make(chan struct{})}
}

// serverAddress writes a server's ID into its address, so that Dial knows whom to ask for.
func serverAddress(address, id string) raft.ServerAddress {
	return raft.ServerAddress(address + "|" + id)
}

// Dial connects to a server whose address serverAddress wrote.
func (s *stream) Dial(target raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if !s.open.Load() {
		return nil, errClosedGate
	}
	address, id, _ := strings.Cut(string(target), "|")
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s %s %s\n", greetingWord, id, clusterWord(s.cluster())); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return &gated{conn, s}, nil
}

// Accept returns the next connection. Its first line is read, and checked, by the first Read.
func (s *stream) Accept() (net.Conn, error) {
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
	return &accepted{gated: gated{conn, s}}, nil
}

// Close closes the listener.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.closing) })
	return s.listener.Close()
}

// Addr is the controller's address in the log.
func (s *stream) Addr() net.Addr { return s.name }

// check compares a connection's first line with what this server is.
func (s *stream) check(line string) error {
	words := strings.Fields(line)
	own := clusterWord(s.cluster())
	want := strings.Join([]string{greetingWord, s.server, own}, " ")
	if !s.open.Load() || len(words) != 3 || words[0] != greetingWord || words[1] != s.server {
		return &GreetingError{line, want}
	}
	if words[2] != own && words[2] != noCluster && own != noCluster {
		return &GreetingError{line, want}
	}
	return nil
}

func clusterWord(c configapi.Cluster) string {
	if c == "" {
		return noCluster
	}
	return string(c)
}

// errClosedGate says that this controller does not take part in the replicated log at the moment.
var errClosedGate = errors.New("controller: raft is not open to the others")

// gated is a connection that ends when its stream is not open.
type gated struct {
	net.Conn
	stream *stream
}

func (g *gated) Read(into []byte) (int, error) {
	n, err := g.Conn.Read(into)
	if err == nil && !g.stream.open.Load() {
		return 0, errClosedGate
	}
	return n, err
}

func (g *gated) Write(from []byte) (int, error) {
	if !g.stream.open.Load() {
		return 0, errClosedGate
	}
	return g.Conn.Write(from)
}

// accepted is a connection that another controller has opened.
type accepted struct {
	gated
	greeted bool
	release sync.Once
}

// Read reads behind the first line, which it checks.
func (c *accepted) Read(into []byte) (int, error) {
	if !c.greeted {
		if err := c.readGreeting(); err != nil {
			return 0, err
		}
		c.greeted = true
	}
	return c.gated.Read(into)
}

// readGreeting reads byte by byte, once for each connection, because what follows is raft's.
func (c *accepted) readGreeting() error {
	_ = c.SetReadDeadline(time.Now().Add(raftTimeout))
	var line bytes.Buffer
	one := make([]byte, 1)
	for line.Len() < maxGreeting {
		if _, err := io.ReadFull(c.Conn, one); err != nil {
			return io.EOF // nothing was said: no news for raft's log
		}
		if one[0] == '\n' {
			_ = c.SetReadDeadline(time.Time{})
			if err := c.stream.check(line.String()); err != nil {
				return io.EOF
			}
			return nil
		}
		line.WriteByte(one[0])
	}
	return io.EOF
}

// Close closes the connection and gives its place to another one.
func (c *accepted) Close() error {
	c.release.Do(func() { <-c.stream.slots })
	return c.Conn.Close()
}
