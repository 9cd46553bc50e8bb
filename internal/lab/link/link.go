// Package link simulates the network between two processes of a test rig. A Link is a TCP relay on loopback. Each pair
// of processes has a separate Link with a separate address, so that the rig can tell which process connects to which. A
// Link can inject network faults: a stall in one direction or both, latency, limited bandwidth, resets, refused
// connections, a FIN that never arrives, and a reset after a number of bytes.
//
// A rig opens a Link for a pair, passes its Addr to the client, and changes its Fault while connections are open.
package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Direction is the direction in which bytes flow. It indexes the per-direction fields of Fault.
type Direction int

// Directions of a relayed connection.
const (
	Upstream   Direction = iota // from the client to the server
	Downstream                  // from the server to the client
)

// Fault describes the faults injected into a link. The zero Fault injects none.
type Fault struct {
	Stall          [2]bool       // by Direction: bytes are held back; either one also blocks new connections
	Refuse         bool          // new connections are refused
	Delay          time.Duration // one-way delay of every chunk
	Jitter         time.Duration // upper bound of a uniformly drawn addition to Delay
	BytesPerSecond float64       // bandwidth in each direction; 0: unlimited
	HoldFIN        [2]bool       // by Direction: the sender's FIN does not reach the receiver
	ResetAfter     int64         // bytes sent downstream after which a connection is reset; 0: never
}

// stalled reports whether either direction is stalled. New connections are then blocked.
func (f Fault) stalled() bool { return f.Stall[Upstream] || f.Stall[Downstream] }

// Link is a TCP relay with fault injection. Its methods are safe for concurrent use.
type Link struct {
	addr   string
	target func() string

	mu             sync.Mutex
	listener       *net.TCPListener // nil while connections are refused
	queueFillers   []net.Conn       // connections that keep the listener's queue full during a stall
	fault          Fault
	changed        chan struct{} // closed when fault changes
	sessions       map[*session]bool
	sessionsOpened int
	closed         bool
	running        sync.WaitGroup
}

// Open starts a link that listens on a port of the block that begins at ports (see ClaimPorts), or outside all blocks
// if ports is 0. For each new connection, target returns the address to relay it to, or "" if there is none. The caller
// must close the link.
func Open(ports int, target func() string) (*Link, error) {
	l := &Link{target: target, changed: make(chan struct{}), sessions: map[*session]bool{}}
	listener, err := Listen(ports, ForLink)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.startAccepting(listener)
	return l, nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string { return l.addr }

// SessionsOpened returns the number of connections relayed so far.
func (l *Link) SessionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessionsOpened
}

// reopen listens for clients at the link's previous address. The caller holds mu.
func (l *Link) reopen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	l.startAccepting(listener.(*net.TCPListener))
	return nil
}

// startAccepting starts to accept clients from a listener. The caller holds mu, or no other goroutine uses the link
// yet.
func (l *Link) startAccepting(listener *net.TCPListener) {
	l.listener, l.addr = listener, listener.Addr().String()
	l.running.Go(func() { l.accept(listener) })
}

// SetFault replaces the link's fault. It affects open connections at once. Bytes that a stall has held back are
// delivered when the stall ends, unless Reset discards them. SetFault returns net.ErrClosed after Close, and the
// system's error if the listener can't be reopened or its queue can't be changed.
func (l *Link) SetFault(fault Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	wasStalled := l.fault.stalled()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case fault.Refuse && l.listener != nil:
		l.queueFillers = resetAll(l.queueFillers)
		l.listener.Close()
		l.listener = nil
	case !fault.Refuse && l.listener == nil:
		if err := l.reopen(l.addr); err != nil {
			return err
		}
		wasStalled = false // the new listener accepts connections
	}
	if l.listener == nil || fault.stalled() == wasStalled {
		return nil
	}
	return l.setConnectsBlocked(fault.stalled())
}

// setConnectsBlocked blocks new connections to the listener or lifts the block. The caller holds mu.
func (l *Link) setConnectsBlocked(blocked bool) (err error) {
	if blocked {
		l.queueFillers, err = BlockConnects(l.listener)
		return err
	}
	l.queueFillers = resetAll(l.queueFillers)
	if err := SetBacklog(l.listener, defaultBacklog); err != nil {
		return err
	}
	return l.listener.SetDeadline(time.Time{})
}

// Fault returns the link's current fault.
func (l *Link) Fault() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// HasLiveClient reports whether a client keeps open a connection on which it has received data, even if the link is
// faulty by now. Connections in the listener's queue do not count, nor do those that keep the queue full.
func (l *Link) HasLiveClient() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		if s.answered.Load() && !s.clientClosed.Load() {
			return true
		}
	}
	return false
}

// Reset resets every open connection.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.reset()
	}
}

// Close closes the link, resets its connections and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.fault = Fault{}
		close(l.changed)
		l.changed = make(chan struct{})
		l.queueFillers = resetAll(l.queueFillers)
		if l.listener != nil {
			l.listener.Close()
		}
		for s := range l.sessions {
			s.reset()
		}
	}
	l.mu.Unlock()
	l.running.Wait()
}

// state returns the current fault, a channel that is closed when the fault changes, and whether the link is closed.
func (l *Link) state() (fault Fault, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed, l.closed
}

// accept accepts and relays connections until the listener is closed.
func (l *Link) accept(listener *net.TCPListener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // new connections are blocked and stay in the listener's queue
			fault, changed, closed := l.state()
			if closed {
				return
			}
			if fault.stalled() {
				<-changed
			}
			continue
		}
		if err != nil {
			return
		}
		l.running.Go(func() { l.relayStream(client) })
	}
}
