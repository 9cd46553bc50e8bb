// Package hotrestart lets one process of a node take over from another while both run: the new one, the heir, gets the
// listening socket and what the node knows over a Unix socket, and the two tell each other what operators say until one
// of them ends. It carries; what it means is the node's.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
)

// Version is that of what is handed over. Another version hands nothing over.
const Version = 1

const (
	patience = time.Second // for the whole of what is handed over; a process that is hung must not hold up its heir
	longest  = 100         // bytes of a socket's path; the system takes 107
)

// HandoverState is what a node knows.
type HandoverState struct {
	Version       int               `json:"Version"`
	Node          string            `json:"Node"`
	Listen        string            `json:"Listen"`
	Settings      json.RawMessage   `json:"Settings"` // the module's, by which Module was made
	BalancerState json.RawMessage   `json:"Module"`   // as deckrelay.Inherit takes it
	Endpoints     []engine.Endpoint `json:"Boxes"`    // in service
	ListVersion   int64             `json:"Seq"`      // of discovery
	ListAge       time.Duration     `json:"ListAge"`  // since it was last known to be all that discovery had; earlier builds do not say
	OperatorState
}

// OperatorState is the part of an estate that also stands in a file.
type OperatorState struct {
	DisabledServers []string `json:"Out"`     // servers out by hand
	OutOfService    bool     `json:"Drained"` // clients are sent away
}

// Message is what one process tells the other.
type Message struct {
	ID           int    `json:"n,omitempty"`   // asks for an answer
	AckID        int    `json:"ack,omitempty"` // is one
	Serving      bool   `json:"serves,omitempty"`
	Server       string `json:"server,omitempty"` // by hand
	Disabled     bool   `json:"out,omitempty"`
	OutOfService *bool  `json:"drain,omitempty"` // clients are sent away, or taken again
}

// SocketPath is where the processes of a node meet, and beside which it keeps what operators said. An error says that they
// can't meet there; what is kept can be.
func SocketPath(dir, node, listen string) (string, error) {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\n%s", node, listen)
	path := filepath.Join(dir, fmt.Sprintf("hookwalk-%016x.sock", sum.Sum64()))
	if len(path) > longest {
		return path, errors.New("the path of $TMPDIR is too long for a socket")
	}
	return path, nil
}

// ---- The heir ----

// TakeOver asks the process that serves at a path for its estate. The link is to be run.
func TakeOver(path, node, listen string) (HandoverState, net.Listener, *Conn, error) {
	var e HandoverState
	nc, err := net.DialTimeout("unix", path, patience)
	if err != nil {
		return e, nil, nil, err
	}
	c := nc.(*net.UnixConn)
	c.SetDeadline(time.Now().Add(patience))
	ln, err := takeListener(c)
	if err != nil {
		c.Close()
		return e, nil, nil, err
	}
	link := newLink(c)
	if err = link.in.Decode(&e); err == nil && (e.Version != Version || e.Node != node || e.Listen != listen) {
		err = fmt.Errorf("an estate of version %d, node %q at %q", e.Version, e.Node, e.Listen)
	}
	if err != nil {
		ln.Close()
		c.Close()
		return e, nil, nil, err
	}
	c.SetDeadline(time.Time{})
	return e, ln, link, nil
}

// takeListener reads the one byte that carries the listening socket.
func takeListener(c *net.UnixConn) (net.Listener, error) {
	b, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, err
	}
	msgs, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(msgs) != 1 {
		return nil, fmt.Errorf("no listener came: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("no listener came: %v", err)
	}
	syscall.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	return net.FileListener(f)
}

// ---- The one that hands over ----

// Listener is a place where heirs can ask.
type Listener struct {
	ln *net.UnixListener
}

// Listen opens the place, in the stead of whoever had it before.
func Listen(path string) (*Listener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be another's
	if err := os.Rename(fresh, path); err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, err
	}
	return &Listener{ln}, nil
}

// Accept waits for an heir.
func (o *Listener) Accept() (*Conn, error) {
	c, err := o.ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(c), nil
}

// Close ends Accept. The path stays: nobody answers there.
func (o *Listener) Close() error { return o.ln.Close() }

// HandOver hands an estate and the listener to an heir. Words that were told meanwhile follow it.
func (l *Conn) HandOver(e HandoverState, ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	l.c.SetDeadline(time.Now().Add(patience))
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = l.c.WriteMsgUnix([]byte{'h'}, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sent != nil {
		return sent
	}
	e.Version = Version
	if err := json.NewEncoder(l.c).Encode(e); err != nil {
		return err
	}
	return l.c.SetDeadline(time.Time{})
}

// ---- Both ----

// Conn is the connection between two processes of a node.
type Conn struct {
	c  *net.UnixConn
	in *json.Decoder

	mu    sync.Mutex // over writing
	next  int
	waits map[int]chan struct{}
	over  chan struct{}
	end   sync.Once
}

func newLink(c *net.UnixConn) *Conn {
	return &Conn{c: c, in: json.NewDecoder(c), waits: map[int]chan struct{}{}, over: make(chan struct{})}
}

// ErrPeerGone says that the other process is gone, or does not answer.
var ErrPeerGone = errors.New("the other process is gone")

// Run hands every word of the other process to take, in order, and answers it after, until the link ends.
func (l *Conn) Run(take func(Message)) {
	defer l.Close()
	for {
		var w Message
		if l.in.Decode(&w) != nil {
			return
		}
		if w.AckID > 0 {
			l.mu.Lock()
			if done := l.waits[w.AckID]; done != nil {
				close(done)
				delete(l.waits, w.AckID)
			}
			l.mu.Unlock()
			continue
		}
		take(w)
		if w.ID > 0 && l.write(Message{AckID: w.ID}) != nil {
			return
		}
	}
}

// Send tells the other process a word and waits until it has taken it.
func (l *Conn) Send(w Message, patience time.Duration) error {
	done := make(chan struct{})
	l.mu.Lock()
	l.next++
	w.ID = l.next
	l.waits[w.ID] = done
	l.mu.Unlock()
	if err := l.write(w); err != nil {
		return err
	}
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case <-done:
		return nil
	case <-l.over:
	case <-late.C:
		l.mu.Lock()
		delete(l.waits, w.ID)
		l.mu.Unlock()
	}
	return ErrPeerGone
}

func (l *Conn) write(w Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(patience))
	return json.NewEncoder(l.c).Encode(w)
}

// Done is closed when the link has ended.
func (l *Conn) Done() <-chan struct{} { return l.over }

// Close ends the link.
func (l *Conn) Close() {
	l.end.Do(func() {
		close(l.over)
		l.c.Close()
	})
}
