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
type Way int

// Ways.
const (
	Out  Way = iota // from the caller
	Back            // to the caller
)

// Fault is what is wrong with a link. The zero Fault is none.
type Fault struct {
	Silent [2]bool       // by Way: bytes stay where they are; no new connection comes up while either is set
	Refuse bool          // new connections are refused
	Delay  time.Duration // one way, for every piece
	Jitter time.Duration // added to it, up to so much
	Rate   float64       // bytes a second each way; 0: as fast as loopback is
	Deaf   [2]bool       // by Way: the end of one side never reaches the other
	Break  int64         // connections are reset once so many bytes came back; 0: never
}

// silent says that nothing may come up.
func (f Fault) silent() bool { return f.Silent[Out] || f.Silent[Back] }

// Link is one relay. Its methods may be called from any goroutine.
type Link struct {
	addr string
	to   func() string

	mu      sync.Mutex
	ln      *net.TCPListener
	fill    []net.Conn // while silent they keep the listener's queue full
	fault   Fault
	changed chan struct{} // closed at a change of fault
	pairs   map[*pair]bool
	opened  int
	closed  bool
	wg      sync.WaitGroup
}

// Open listens for callers, in a rig's block of ports; to says where a new connection leads, "": nowhere.
func Open(ports int, to func() string) (*Link, error) {
	l := &Link{to: to, changed: make(chan struct{}), pairs: map[*pair]bool{}}
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
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// listen opens the caller's side. The caller holds mu, or nobody else has the link yet.
func (l *Link) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	l.serve(ln.(*net.TCPListener))
	return nil
}

func (l *Link) serve(ln *net.TCPListener) {
	l.ln, l.addr = ln, ln.Addr().String()
	l.wg.Go(func() { l.accept(ln) })
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
	case f.Refuse && l.ln != nil:
		l.fill = release(l.fill)
		l.ln.Close()
		l.ln = nil
	case !f.Refuse && l.ln == nil:
		if err := l.listen(l.addr); err != nil {
			return err
		}
		old = Fault{}
	}
	if l.ln == nil || f.silent() == old.silent() {
		return nil
	}
	if !f.silent() {
		l.fill = release(l.fill)
		if err := Backlog(l.ln, backlog); err != nil {
			return err
		}
		return l.ln.SetDeadline(time.Time{})
	}
	var err error
	l.fill, err = Hush(l.ln)
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
func (l *Link) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.answered.Load() && !p.left.Load() {
			return true
		}
	}
	return false
}

// Reset resets every connection that is up.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
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
		l.fill = release(l.fill)
		if l.ln != nil {
			l.ln.Close()
		}
		for p := range l.pairs {
			p.reset()
		}
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// now gives the fault of a moment and what is closed when it changes.
func (l *Link) now() (Fault, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed, l.closed
}

func (l *Link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // silent: what waits in the queue waits
			f, changed, closed := l.now()
			if closed {
				return
			}
			if f.silent() {
				<-changed
			}
			continue
		}
		if err != nil {
			return
		}
		l.wg.Go(func() { l.relay(c) })
	}
}
