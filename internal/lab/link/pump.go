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
const dialTimeout = 2 * time.Second

// relay joins a caller's connection to one to the far side until both have ended.
func (l *Link) relayStream(near net.Conn) {
	to := l.target()
	if to == "" { // nobody is there: the address of before may be another's by now
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	p := &session{client: near, server: far}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.sessions[p] = true
	l.opened++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.sessions, p)
		l.mu.Unlock()
		near.Close()
		far.Close()
	}()
	ended := make(chan struct{}, 2)
	l.running.Go(func() { l.pipe(p, Upstream, near, far); ended <- struct{}{} })
	l.running.Go(func() { l.pipe(p, Downstream, far, near); ended <- struct{}{} })
	<-ended
	<-ended
}

// pair is one connection and its continuation.
type session struct {
	client, server net.Conn
	clientClosed   atomic.Bool // the caller has ended it
	answered       atomic.Bool // something has come back to it
}

func (p *session) reset() {
	reset(p.client)
	reset(p.server)
}

// piece is what was read at once, and when it may arrive.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	maxChunkBytes    = 16 << 10
	chunkQueueLength = 32 // on their way at once: half a MiB, like a socket's buffer
	defaultBacklog   = 1024
)

// pump carries one direction. Reading and writing are apart, for a delay must not make the line narrow.
func (l *Link) pipe(p *session, way Direction, from, to net.Conn) {
	pieces := make(chan chunk, chunkQueueLength)
	gone := make(chan struct{})
	var end error
	l.running.Go(func() {
		defer close(pieces)
		var free time.Time
		for {
			b := make([]byte, maxChunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				f, _, _ := l.state()
				due := time.Now()
				if f.BytesPerSecond > 0 {
					if free.Before(due) {
						free = due
					}
					free = free.Add(time.Duration(float64(n) / f.BytesPerSecond * float64(time.Second)))
					due = free
				}
				due = due.Add(f.Delay)
				if f.Jitter > 0 {
					due = due.Add(rand.N(f.Jitter))
				}
				select {
				case pieces <- chunk{b[:n], due}:
				case <-gone:
					return
				}
			}
			if err != nil {
				end = err
				if way == Upstream {
					p.clientClosed.Store(true)
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
		f, open := l.awaitFlow(way)
		if !open {
			p.reset()
			return
		}
		if way == Downstream && f.ResetAfter > 0 && passed+int64(len(c.data)) > f.ResetAfter {
			to.Write(c.data[:max(f.ResetAfter-passed, 0)]) // one that has gone away reads nothing
			p.reset()
			return
		}
		if way == Downstream {
			p.answered.Store(true)
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			return
		}
		passed += int64(len(c.data))
	}
	f, open := l.awaitFlow(way)
	switch {
	case !open:
	case f.HoldFIN[way]: // the other side believes that all is well, until the fault is over or it ends itself
		l.awaitFIN(way)
		passEnd(p, to, end)
	default:
		passEnd(p, to, end)
	}
}

// finish tells the other side how this one ended.
func passEnd(p *session, to net.Conn, end error) {
	if end != nil && !errors.Is(end, io.EOF) {
		p.reset()
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// heard waits while a way is silent. False: the link is closed.
func (l *Link) awaitFlow(way Direction) (Fault, bool) {
	for {
		f, changed, closed := l.state()
		if closed || !f.Stall[way] {
			return f, !closed
		}
		<-changed
	}
}

// untilHeard waits while ends do not arrive.
func (l *Link) awaitFIN(way Direction) {
	for {
		f, changed, closed := l.state()
		if closed || !f.HoldFIN[way] {
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
