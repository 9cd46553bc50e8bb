// Package link is the network between two processes of a rig: a TCP relay on loopback with an address of its own for
// each pair, so that the rig knows who calls whom, and with the faults of a network: a stall in one direction or both,
// latency, limited bandwidth, resets, refused connections, a FIN that never arrives, a reset after so many bytes.
//
// A rig opens a Link for a pair, gives its Addr to the client's side, and changes its Fault while connections run.
package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Direction is that of a stream's bytes; it indexes the per-direction fields of Fault.
type Direction int

// Directions, as a proxy names them.
const (
	Upstream   Direction = iota // from the client to the server
	Downstream                  // from the server to the client
)

// Fault is what is wrong with a link. The zero Fault is none.
type Fault struct {
	Stall          [2]bool       // by Direction: bytes are held; no new connection comes up while either is set
	Refuse         bool          // new connections are refused
	Delay          time.Duration // one way, for every chunk that is read
	Jitter         time.Duration // added to Delay, uniformly drawn up to this
	BytesPerSecond float64       // in each direction; 0: no limit
	HoldFIN        [2]bool       // by Direction: the end of one side's sending does not reach the other side
	ResetAfter     int64         // connections are reset once so many bytes went downstream; 0: never
}

// stalled reports whether a direction is stalled, so that nothing new may come up.
func (f Fault) stalled() bool { return f.Stall[Upstream] || f.Stall[Downstream] }

// Link is one relay. Its methods may be called from any goroutine.
type Link struct {
	addr   string
	target func() string

	mu             sync.Mutex
	listener       *net.TCPListener // nil while connections are refused
	queueFillers   []net.Conn       // while stalled they keep the listener's queue full
	fault          Fault
	changed        chan struct{} // closed at a change of fault
	sessions       map[*session]bool
	sessionsOpened int
	closed         bool
	running        sync.WaitGroup
}

// Open listens for clients in a rig's block of ports (see ClaimPorts); ports of 0 means none. target returns the address
// that a new connection is relayed to, "" if there is none. Close must follow.
func Open(ports int, target func() string) (*Link, error) {
	l := &Link{target: target, changed: make(chan struct{}), sessions: map[*session]bool{}}
	listener, err := Listen(ports, ForLink)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.serve(listener)
	return l, nil
}

// Addr is where the client's side connects.
func (l *Link) Addr() string { return l.addr }

// SessionsOpened counts the connections that were relayed so far.
func (l *Link) SessionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessionsOpened
}

// reopen opens the client's side at an address again. The caller holds mu.
func (l *Link) reopen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	l.serve(listener.(*net.TCPListener))
	return nil
}

// serve accepts clients at a listener. The caller holds mu, or nobody else has the link yet.
func (l *Link) serve(listener *net.TCPListener) {
	l.listener, l.addr = listener, listener.Addr().String()
	l.running.Go(func() { l.accept(listener) })
}

// Set changes what is wrong with the link. Connections that are up are affected at once. What a stall held back arrives
// after it; Reset discards it. It returns net.ErrClosed after Close, and an error of the system if the listener can't be
// opened again or its queue can't be changed.
func (l *Link) Set(fault Fault) error {
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
		wasStalled = false // the new listener's queue is open
	}
	if l.listener == nil || fault.stalled() == wasStalled {
		return nil
	}
	return l.setQueueStalled(fault.stalled())
}

// setQueueStalled has no new connection come up at the listener, or ends that. The caller holds mu.
func (l *Link) setQueueStalled(stalled bool) (err error) {
	if stalled {
		l.queueFillers, err = StopConnects(l.listener)
		return err
	}
	l.queueFillers = resetAll(l.queueFillers)
	if err := SetBacklog(l.listener, defaultBacklog); err != nil {
		return err
	}
	return l.listener.SetDeadline(time.Time{})
}

// Fault is what is wrong now.
func (l *Link) Fault() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// HasLiveClient reports whether a client still has a connection on which an answer has come, whatever has become of the
// link meanwhile. One that waits in the listener's queue, or that keeps this queue full, does not count.
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

// Reset resets every connection that is up.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.reset()
	}
}

// Close ends the link and waits for all that it has started.
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

// state returns the present fault, the channel that is closed when it changes, and whether the link is closed.
func (l *Link) state() (fault Fault, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed, l.closed
}

// accept relays clients until the listener is closed.
func (l *Link) accept(listener *net.TCPListener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // stalled: clients stay in the listener's queue
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
