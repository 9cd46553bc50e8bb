// Package link is the network between two processes of a rig: a TCP relay on loopback with an address of its own for
// each pair, so that the rig knows who calls whom, and with the faults of a network: silence in one direction or both,
// delay, a narrow line, resets, refusals, an end that never arrives, a break after so many bytes.
//
// A rig opens a Link for a pair, gives its Addr to the calling side, and changes its Fault while connections run.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// pair is one connection and its continuation.
type pair struct {
	near, far net.Conn
	left      atomic.Bool // the caller has ended it
	answered  atomic.Bool // something has come back to it
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

// The system takes the ports of outgoing connections, and of listeners that ask for any, from 32768 on. An address that
// is given up for a while and opened again must not be taken meanwhile, so it is below; and each rig has a block of its
// own, for what was meant for one must not reach another.
const (
	firstPort = 12000
	blocks    = 5
	block     = 4000
)

// Claim takes a block of ports for a rig, until release, and gives its first. Where all are taken it waits for one: two
// rigs in one block would take each other's addresses while these are given up for a fault.
func Claim(ctx context.Context) (ports int, release func(), err error) {
	var firsts []int
	for n := range blocks {
		firsts = append(firsts, firstPort+n*block)
	}
	return claim(ctx, firsts)
}

func claim(ctx context.Context, firsts []int) (ports int, release func(), err error) {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		for _, n := range rand.Perm(len(firsts)) {
			first := firsts[n]
			if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil { // held: others see that it is taken
				return first, func() { ln.Close() }, nil
			}
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("link: all ports are other rigs': %w", context.Cause(ctx))
		}
	}
}

// Use is what an address is for: one that is closed for a while must not be taken for another use meanwhile.
type Use int

// Uses. A box that starts again gets another address.
const (
	ForLink Use = iota
	ForDoor
	ForNode // and the operators' address beside it
	ForBox
)

var uses = [...]struct{ from, to int }{ForLink: {1, 2500}, ForDoor: {2500, 3000}, ForNode: {3000, 3500}, ForBox: {3500, block}}

// Listen opens a listener on loopback, in a rig's block of ports if that is above 0, at an address that is nobody's for
// another use.
func Listen(ports int, use Use) (*net.TCPListener, error) {
	first, many := firstPort, blocks*block
	if ports > 0 {
		first, many = ports+uses[use].from, uses[use].to-uses[use].from
	}
	var last error
	for range 1000 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(many)))
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		last = err
	}
	return nil, last
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

// dialTime is how long the far side's machine may take to accept; its processes may be stopped, its kernel is not.
const dialTime = 2 * time.Second

// relay joins a caller's connection to one to the far side until both have ended.
func (l *Link) relay(near net.Conn) {
	to := l.to()
	if to == "" { // nobody is there: the address of before may be another's by now
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", to, dialTime)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.pairs[p] = true
	l.opened++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
		near.Close()
		far.Close()
	}()
	ended := make(chan struct{}, 2)
	l.wg.Go(func() { l.pump(p, Out, near, far); ended <- struct{}{} })
	l.wg.Go(func() { l.pump(p, Back, far, near); ended <- struct{}{} })
	<-ended
	<-ended
}

func (p *pair) reset() {
	reset(p.near)
	reset(p.far)
}

// piece is what was read at once, and when it may arrive.
type piece struct {
	b   []byte
	due time.Time
}

const (
	pieceMost  = 16 << 10
	pieceQueue = 32 // on their way at once: half a MiB, like a socket's buffer
	backlog    = 1024
)

// pump carries one direction. Reading and writing are apart, for a delay must not make the line narrow.
func (l *Link) pump(p *pair, way Way, from, to net.Conn) {
	pieces := make(chan piece, pieceQueue)
	gone := make(chan struct{})
	var end error
	l.wg.Go(func() {
		defer close(pieces)
		var free time.Time
		for {
			b := make([]byte, pieceMost)
			n, err := from.Read(b)
			if n > 0 {
				f, _, _ := l.now()
				due := time.Now()
				if f.Rate > 0 {
					if free.Before(due) {
						free = due
					}
					free = free.Add(time.Duration(float64(n) / f.Rate * float64(time.Second)))
					due = free
				}
				due = due.Add(f.Delay)
				if f.Jitter > 0 {
					due = due.Add(rand.N(f.Jitter))
				}
				select {
				case pieces <- piece{b[:n], due}:
				case <-gone:
					return
				}
			}
			if err != nil {
				end = err
				if way == Out {
					p.left.Store(true)
				}
				return
			}
		}
	})
	defer close(gone)
	var passed int64
	for c := range pieces {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		f, open := l.heard(way)
		if !open {
			p.reset()
			return
		}
		if way == Back && f.Break > 0 && passed+int64(len(c.b)) > f.Break {
			to.Write(c.b[:max(f.Break-passed, 0)]) // one that has gone away reads nothing
			p.reset()
			return
		}
		if way == Back {
			p.answered.Store(true)
		}
		if _, err := to.Write(c.b); err != nil {
			p.reset()
			return
		}
		passed += int64(len(c.b))
	}
	f, open := l.heard(way)
	switch {
	case !open:
	case f.Deaf[way]: // the other side believes that all is well, until the fault is over or it ends itself
		l.untilHeard(way)
		finish(p, to, end)
	default:
		finish(p, to, end)
	}
}

// finish tells the other side how this one ended.
func finish(p *pair, to net.Conn, end error) {
	if end != nil && !errors.Is(end, io.EOF) {
		p.reset()
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// heard waits while a way is silent. False: the link is closed.
func (l *Link) heard(way Way) (Fault, bool) {
	for {
		f, changed, closed := l.now()
		if closed || !f.Silent[way] {
			return f, !closed
		}
		<-changed
	}
}

// untilHeard waits while ends do not arrive.
func (l *Link) untilHeard(way Way) {
	for {
		f, changed, closed := l.now()
		if closed || !f.Deaf[way] {
			return
		}
		<-changed
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func release(fill []net.Conn) []net.Conn {
	for _, c := range fill {
		reset(c)
	}
	return nil
}

// Hush has no new connection come up at a listener, as if its machine were off the network: its queue is made short and
// kept full by the connections returned. Accept ends with a deadline; whoever accepts must wait. Reset them, and set
// backlog and deadline anew, to end it.
func Hush(ln *net.TCPListener) (fill []net.Conn, err error) {
	ln.SetDeadline(time.Now())
	if err := Backlog(ln, 0); err != nil {
		return nil, err
	}
	for range 16 { // one would do, but on a busy machine the queue's count lags behind
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
		cancel()
		switch {
		case err == nil:
			fill = append(fill, c)
		case full(ln): // else it was the machine that was slow
			return fill, nil
		}
	}
	return fill, nil
}

// full says that a listener's queue takes no more: of one that listens the system tells here how many wait, and how many
// may.
func full(ln *net.TCPListener) (yes bool) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err != nil || info.Unacked > info.Sacked
	})
	return yes
}

// Backlog sets how many connections wait at a listener to be accepted.
func Backlog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}
