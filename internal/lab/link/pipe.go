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

// dialTimeout is how long the server's machine may take to accept; its processes may be stopped, its kernel is not.
const dialTimeout = 2 * time.Second

// maxChunkBytes is the most that is read at once: small beside a second's bytes, so that a bandwidth limit is even.
const maxChunkBytes = 16 << 10

// chunkQueueLength is how many chunks of one direction are under way at once: half a MiB, like a socket's buffer.
const chunkQueueLength = 32

// session is one connection of a client and its continuation to the server.
type session struct {
	client, server net.Conn
	clientClosed   atomic.Bool // the client has ended it
	answered       atomic.Bool // something has come back to the client
}

// reset resets both sides.
func (s *session) reset() {
	reset(s.client)
	reset(s.server)
}

// chunk is what was read at once, and when it may arrive.
type chunk struct {
	data []byte
	due  time.Time
}

// relayStream joins a client's connection to one to the target until both have ended.
func (l *Link) relayStream(client net.Conn) {
	target := l.target()
	if target == "" { // an address that was given up may be another process's by now
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	s := &session{client: client, server: server}
	if !l.addSession(s) {
		s.reset()
		return
	}
	defer l.removeSession(s)
	ended := make(chan struct{}, 2)
	l.running.Go(func() { l.pipe(s, Upstream, client, server); ended <- struct{}{} })
	l.running.Go(func() { l.pipe(s, Downstream, server, client); ended <- struct{}{} })
	<-ended
	<-ended
}

// addSession enters a session. It returns false once the link is closed.
func (l *Link) addSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[s] = true
	l.sessionsOpened++
	return true
}

// removeSession closes both sides of a session and forgets it.
func (l *Link) removeSession(s *session) {
	l.mu.Lock()
	delete(l.sessions, s)
	l.mu.Unlock()
	s.client.Close()
	s.server.Close()
}

// pipe carries one direction. Reading and writing have a goroutine each, so that a delay does not limit the bandwidth.
func (l *Link) pipe(s *session, direction Direction, from, to net.Conn) {
	chunks := make(chan chunk, chunkQueueLength)
	writerDone := make(chan struct{})
	defer close(writerDone)
	var readErr error // valid once chunks is closed
	l.running.Go(func() {
		defer close(chunks)
		readErr = l.readChunks(from, chunks, writerDone)
		if direction == Upstream && readErr != nil {
			s.clientClosed.Store(true)
		}
	})
	if !l.writeChunks(s, direction, chunks, to) {
		s.reset()
		return
	}
	fault, open := l.awaitFlow(direction)
	if !open {
		return
	}
	if fault.HoldFIN[direction] { // the other side takes the connection for alive until the fault is over
		l.awaitFIN(direction)
	}
	passEnd(s, to, readErr)
}

// readChunks reads until the connection ends, and returns how it did; nil if the writer ended first.
func (l *Link) readChunks(from net.Conn, chunks chan<- chunk, writerDone <-chan struct{}) error {
	var lineFree time.Time // when a limited bandwidth has carried what was read so far
	for {
		data := make([]byte, maxChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			fault, _, _ := l.state()
			var due time.Time
			due, lineFree = arrival(fault, n, lineFree)
			select {
			case chunks <- chunk{data[:n], due}:
			case <-writerDone:
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// arrival returns when n bytes that were read now arrive under a fault, and when a limited bandwidth is free for the
// next ones.
func arrival(fault Fault, n int, lineFree time.Time) (due, free time.Time) {
	due, free = time.Now(), lineFree
	if fault.BytesPerSecond > 0 {
		if free.Before(due) {
			free = due
		}
		free = free.Add(time.Duration(float64(n) / fault.BytesPerSecond * float64(time.Second)))
		due = free
	}
	due = due.Add(fault.Delay)
	if fault.Jitter > 0 {
		due = due.Add(rand.N(fault.Jitter))
	}
	return due, free
}

// writeChunks writes each chunk when it is due. It returns false if the connection has to be reset.
func (l *Link) writeChunks(s *session, direction Direction, chunks <-chan chunk, to net.Conn) bool {
	var passed int64
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		fault, open := l.awaitFlow(direction)
		if !open {
			return false
		}
		size := int64(len(c.data))
		if direction == Downstream && fault.ResetAfter > 0 && passed+size > fault.ResetAfter {
			to.Write(c.data[:max(fault.ResetAfter-passed, 0)]) // an error changes nothing: the reset follows
			return false
		}
		if direction == Downstream {
			s.answered.Store(true)
		}
		if _, err := to.Write(c.data); err != nil {
			return false
		}
		passed += size
	}
	return true
}

// passEnd tells the other side how this one ended: a FIN after io.EOF, else a reset.
func passEnd(s *session, to net.Conn, readErr error) {
	if readErr != nil && !errors.Is(readErr, io.EOF) {
		s.reset()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// awaitFlow waits while a direction is stalled, and returns the fault then; open is false once the link is closed.
func (l *Link) awaitFlow(direction Direction) (fault Fault, open bool) {
	for {
		fault, changed, closed := l.state()
		if closed || !fault.Stall[direction] {
			return fault, !closed
		}
		<-changed
	}
}

// awaitFIN waits while the end of a direction is held back.
func (l *Link) awaitFIN(direction Direction) {
	for {
		fault, changed, closed := l.state()
		if closed || !fault.HoldFIN[direction] {
			return
		}
		<-changed
	}
}

// reset ends a connection with RST: what is unread on the other side is lost, as with a process that is killed.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
