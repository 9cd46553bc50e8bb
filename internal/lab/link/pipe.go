// Relaying of the bytes of a connection in both directions, with the link's faults.

package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout limits the connection to the target. Even while the target's process is stopped, its kernel accepts
// connections.
const dialTimeout = 2 * time.Second

// maxChunkBytes limits one read. It is small compared with the bytes of a second, so that limited bandwidth is smooth.
const maxChunkBytes = 16 << 10

// chunkQueueLength is the maximum number of chunks in transit in one direction: half a MiB, like a socket's buffer.
const chunkQueueLength = 32

// session is a client's connection and the connection to the target that it is relayed to.
type session struct {
	client, server net.Conn
	clientClosed   atomic.Bool // the client has closed or reset its connection
	answered       atomic.Bool // the client has been sent data
}

// reset resets both sides.
func (s *session) reset() {
	reset(s.client)
	reset(s.server)
}

// chunk is the data of one read and the time at which it is delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// relayStream connects a client to the target and relays bytes until both directions have ended.
func (l *Link) relayStream(client net.Conn) {
	target := l.target()
	if target == "" { // the target's previous address may belong to another process by now
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

// addSession registers a session. It returns false once the link is closed.
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

// removeSession removes a session and closes both of its connections.
func (l *Link) removeSession(s *session) {
	l.mu.Lock()
	delete(l.sessions, s)
	l.mu.Unlock()
	s.client.Close()
	s.server.Close()
}

// pipe relays one direction. Reading and writing run on separate goroutines, so that a delay does not limit the
// bandwidth.
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
	fault, open := l.waitWhileStalled(direction)
	if !open {
		return
	}
	if fault.HoldFIN[direction] { // the receiver considers the connection open until the fault ends
		l.waitWhileFINHeld(direction)
	}
	propagateEnd(s, to, readErr)
}

// readChunks reads until the connection ends and returns the read error, or nil if the writer has ended first.
func (l *Link) readChunks(from net.Conn, chunks chan<- chunk, writerDone <-chan struct{}) error {
	var linkFreeAt time.Time // when the limited bandwidth has transmitted everything read so far
	for {
		data := make([]byte, maxChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			fault, _, _ := l.state()
			var due time.Time
			due, linkFreeAt = arrivalTime(fault, n, linkFreeAt)
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

// arrivalTime returns when n bytes that were read now are delivered under a fault, and when the limited bandwidth is
// free for further bytes.
func arrivalTime(fault Fault, n int, linkFreeAt time.Time) (due, nextFreeAt time.Time) {
	due, nextFreeAt = time.Now(), linkFreeAt
	if fault.BytesPerSecond > 0 {
		if nextFreeAt.Before(due) {
			nextFreeAt = due
		}
		nextFreeAt = nextFreeAt.Add(time.Duration(float64(n) / fault.BytesPerSecond * float64(time.Second)))
		due = nextFreeAt
	}
	due = due.Add(fault.Delay)
	if fault.Jitter > 0 {
		due = due.Add(rand.N(fault.Jitter))
	}
	return due, nextFreeAt
}

// writeChunks writes each chunk when it is due. It returns false if the connection has to be reset.
func (l *Link) writeChunks(s *session, direction Direction, chunks <-chan chunk, to net.Conn) bool {
	var passed int64
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		fault, open := l.waitWhileStalled(direction)
		if !open {
			return false
		}
		size := int64(len(c.data))
		if direction == Downstream && fault.ResetAfter > 0 && passed+size > fault.ResetAfter {
			to.Write(c.data[:max(fault.ResetAfter-passed, 0)]) // an error doesn't matter: the connection is reset next
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

// propagateEnd ends the writing side in the way in which the reading side has ended: with a FIN after io.EOF, otherwise
// with a reset of both connections.
func propagateEnd(s *session, to net.Conn, readErr error) {
	if readErr != nil && !errors.Is(readErr, io.EOF) {
		s.reset()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// waitWhileStalled waits while a direction is stalled and returns the fault after that. open is false if the link has
// been closed.
func (l *Link) waitWhileStalled(direction Direction) (fault Fault, open bool) {
	for {
		fault, changed, closed := l.state()
		if closed || !fault.Stall[direction] {
			return fault, !closed
		}
		<-changed
	}
}

// waitWhileFINHeld waits while the FIN of a direction is held back.
func (l *Link) waitWhileFINHeld(direction Direction) {
	for {
		fault, changed, closed := l.state()
		if closed || !fault.HoldFIN[direction] {
			return
		}
		<-changed
	}
}

// reset closes a connection with a TCP reset. Data that the other side has not read is lost, as when a process is
// killed.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
