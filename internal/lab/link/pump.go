// The bytes of one stream through a link, in both directions, with its faults.

package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

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

// pair is one connection and its continuation.
type pair struct {
	near, far net.Conn
	left      atomic.Bool // the caller has ended it
	answered  atomic.Bool // something has come back to it
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
