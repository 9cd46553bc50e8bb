package node

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeProgressInterval is how often it is checked whether a peer takes what was written, while a write to it waits.
const writeProgressInterval = 100 * time.Millisecond

// writeLimit decides how long the node waits for a peer to take a streamed message. All writes of the message have one limit
// (receivingPeerPace).
//
// What counts is what the peer has acknowledged. The kernel lets a writer continue only when a third of its buffer, which may have
// some megabytes, is free again: a sound slow peer may need longer for that than any timeout of one write.
type writeLimit struct {
	raw       syscall.RawConn
	written   int64 // bytes given to the kernel
	taken     int64 // of these, acknowledged by the peer; below 0 while bytes of earlier messages are not
	progress  transferProgress
	checkedAt time.Time
	// expiry, if not nil, returns until when a write may wait whatever the peer takes. It is asked again whenever that time has come.
	expiry func() time.Time
}

// newWriteLimit returns the limit of a message that is written to a socket.
func newWriteLimit(raw syscall.RawConn) *writeLimit {
	unacknowledged, _ := unacknowledgedBytes(raw)
	return &writeLimit{raw: raw, taken: -unacknowledged, progress: receivingPeerPace.begin(receivingPeerPace.maxPause)}
}

// write writes a part of the message. It fails with os.ErrDeadlineExceeded if the peer does not keep its pace, or the time has expired.
func (l *writeLimit) write(conn net.Conn, b []byte) (written int, err error) {
	l.checkedAt = time.Now() // time between writes, in which the node waits for the sender, does not count
	for {
		deadline := time.Now().Add(writeProgressInterval)
		if l.expiry != nil {
			expiry := l.expiry()
			if !time.Now().Before(expiry) {
				return written, os.ErrDeadlineExceeded
			}
			deadline = earlier(deadline, expiry)
		}
		conn.SetWriteDeadline(deadline)
		n, err := conn.Write(b[written:])
		written += n
		l.written += int64(n)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if unacknowledged, _ := unacknowledgedBytes(l.raw); !l.mayContinue(unacknowledged, time.Now()) {
			return written, err
		}
	}
}

// mayContinue reports whether a write that has waited until now may go on.
func (l *writeLimit) mayContinue(unacknowledged int64, now time.Time) bool {
	taken := l.written - unacknowledged
	sound := l.progress.record(taken-l.taken, now.Sub(l.checkedAt))
	l.taken, l.checkedAt = taken, now
	return sound
}

// unacknowledgedBytes returns how many bytes the peer of a socket has not acknowledged (SIOCOUTQ), if the system tells it. raw is nil
// if there is no socket.
func unacknowledgedBytes(raw syscall.RawConn) (bytes int64, known bool) {
	if raw == nil {
		return 0, false
	}
	raw.Control(func(fd uintptr) {
		pending, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		bytes, known = int64(pending), err == nil
	})
	return bytes, known
}
