package node

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// clientProgressInterval is how often it is checked whether the client takes a response, while a write to it waits.
const clientProgressInterval = 500 * time.Millisecond

// clientWriteLimit decides how long the node waits for a client to take a streamed response. All writes of the response have one
// limit (receivingPeerPace).
//
// What counts is what the client has acknowledged. The kernel lets a writer continue only when a third of its buffer, which may have
// some megabytes, is free again: a sound slow client may need longer for that than any timeout of one write.
type clientWriteLimit struct {
	written   int64 // bytes given to the kernel
	taken     int64 // of these, acknowledged by the client; below 0 while bytes of earlier responses are not
	progress  transferProgress
	checkedAt time.Time
}

// newClientWriteLimit returns the limit of a response. unacknowledged is how many bytes of earlier responses the client has not taken.
func newClientWriteLimit(unacknowledged int64) *clientWriteLimit {
	return &clientWriteLimit{taken: -unacknowledged, progress: receivingPeerPace.begin(receivingPeerPace.maxPause)}
}

// beginWrite records that a write begins. Time between writes, in which the node waits for the server, does not count.
func (l *clientWriteLimit) beginWrite(now time.Time) { l.checkedAt = now }

// mayContinue reports whether a write that has waited until now may go on.
func (l *clientWriteLimit) mayContinue(unacknowledged int64, now time.Time) bool {
	taken := l.written - unacknowledged
	sound := l.progress.record(taken-l.taken, now.Sub(l.checkedAt))
	l.taken, l.checkedAt = taken, now
	return sound
}

// beginStream limits the writes that follow by what the client takes, until endStream. It has no effect if the system does not tell
// that.
func (c *clientConn) beginStream() {
	if unacknowledged, known := c.unacknowledged(); known {
		c.writeLimit = newClientWriteLimit(unacknowledged)
	}
}

// endStream ends the limit, and sets the write deadline for what net/http still writes.
func (c *clientConn) endStream() {
	c.writeLimit = nil
	c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// writeStream writes a part of a streamed response within its limit.
func (c *clientConn) writeStream(b []byte) (written int, err error) {
	c.writeLimit.beginWrite(time.Now())
	for {
		c.Conn.SetWriteDeadline(time.Now().Add(clientProgressInterval))
		n, err := c.Conn.Write(b[written:])
		written += n
		c.writeLimit.written += int64(n)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if unacknowledged, _ := c.unacknowledged(); !c.writeLimit.mayContinue(unacknowledged, time.Now()) {
			return written, err
		}
	}
}

// unacknowledged returns how many bytes the client has not acknowledged (SIOCOUTQ), if the system tells it.
func (c *clientConn) unacknowledged() (bytes int64, known bool) {
	if c.readAhead.raw == nil {
		return 0, false
	}
	c.readAhead.raw.Control(func(fd uintptr) {
		pending, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		bytes, known = int64(pending), err == nil
	})
	return bytes, known
}
