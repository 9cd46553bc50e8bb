// Package link is the network between two processes of a rig: a TCP relay on loopback with an address of its own for
// each pair, so that the rig knows who calls whom, and with the faults of a network: silence in one direction or both,
// delay, a narrow line, resets, refusals, an end that never arrives, a break after so many bytes.
//
// A rig opens a Link for a pair, gives its Addr to the calling side, and changes its Fault while connections run.
package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Way is a direction, seen from the side that calls.
type Direction int

// Ways.
const (
	Upstream   Direction = iota // from the caller
	Downstream                  // to the caller
)

// Fault is what is wrong with a link. The zero Fault is none.
type Fault struct {
	Stall          [2]bool       // by Way: bytes stay where they are; no new connection comes up while either is set
	Refuse         bool          // new connections are refused
	Delay          time.Duration // one way, for every piece
	Jitter         time.Duration // added to it, up to so much
	BytesPerSecond float64       // bytes a second each way; 0: as fast as loopback is
	HoldFIN        [2]bool       // by Way: the end of one side never reaches the other
	ResetAfter     int64         // connections are reset once so many bytes came back; 0: never
}

// silent says that nothing may come up.
func (f Fault) stalled() bool { return f.Stall[Upstream] || f.Stall[Downstream] }

// Link is one relay. Its methods may be called from any goroutine.
type Link struct {
	addr   string
	target func() string

	mu           sync.Mutex
	listener     *net.TCPListener
	queueFillers []net.Conn // while silent they keep the listener's queue full
	fault        Fault
	changed      chan struct{} // closed at a change of fault
	sessions     map[*session]bool
	opened       int
	closed       bool
	running      sync.WaitGroup
}

// Open listens for callers, in a rig's block of ports; to says where a new connection leads, "": nowhere.
func Open(ports int, to func() string) (*Link, error) {
	l := &Link{target: to, changed: make(chan struct{}), sessions: map[*session]bool{}}
	ln, err := Listen(ports, ForLink)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.serve(ln)
	return l, nil
}

// Addr is where the caller's side connects.
func (l *Link) Addr() string { return l.addr }

// Opened counts the connections that came up so far.
func (l *Link) SessionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// listen opens the caller's side. The caller holds mu, or nobody else has the link yet.
func (l *Link) reopen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	l.serve(ln.(*net.TCPListener))
	return nil
}

func (l *Link) serve(ln *net.TCPListener) {
	l.listener, l.addr = ln, ln.Addr().String()
	l.running.Go(func() { l.accept(ln) })
}

// Set changes what is wrong with the link. Connections that are up feel it at once. What was held in silence arrives
// after it; Reset throws it away.
func (l *Link) Set(f Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	old := l.fault
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case f.Refuse && l.listener != nil:
		l.queueFillers = resetAll(l.queueFillers)
		l.listener.Close()
		l.listener = nil
	case !f.Refuse && l.listener == nil:
		if err := l.reopen(l.addr); err != nil {
			return err
		}
		old = Fault{}
	}
	if l.listener == nil || f.stalled() == old.stalled() {
		return nil
	}
	if !f.stalled() {
		l.queueFillers = resetAll(l.queueFillers)
		if err := SetBacklog(l.listener, defaultBacklog); err != nil {
			return err
		}
		return l.listener.SetDeadline(time.Time{})
	}
	var err error
	l.queueFillers, err = StopConnects(l.listener)
	return err
}

// Fault is what is wrong now.
func (l *Link) Fault() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// Held says that the caller still has a connection on which something has come back, whatever has become of the link
// meanwhile. One that waits in the listener's queue, or that keeps this queue full, is none.
func (l *Link) HasLiveClient() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.sessions {
		if p.answered.Load() && !p.clientClosed.Load() {
			return true
		}
	}
	return false
}

// Reset resets every connection that is up.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.sessions {
		p.reset()
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
		for p := range l.sessions {
			p.reset()
		}
	}
	l.mu.Unlock()
	l.running.Wait()
}

// now gives the fault of a moment and what is closed when it changes.
func (l *Link) state() (Fault, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed, l.closed
}

func (l *Link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // silent: what waits in the queue waits
			f, changed, closed := l.state()
			if closed {
				return
			}
			if f.stalled() {
				<-changed
			}
			continue
		}
		if err != nil {
			return
		}
		l.running.Go(func() { l.relayStream(c) })
	}
}
