package node

import (
	"errors"
	"syscall"
	"time"
)

// inputWait is a read that has waited for the client, although nothing that it has sent before was unread.
type inputWait struct {
	ended   time.Time // zero: there was none
	took    time.Duration
	arrived int64 // bytes that had arrived when it ended
}

// timeWaits has waits recorded from now on.
func (a *readAheadBuffer) timeWaits() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timesWaits = true
}

func (a *readAheadBuffer) waitsAreTimed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.timesWaits
}

// takeWait returns the latest wait since it was last called. Waits are recorded from timeWaits on.
func (a *readAheadBuffer) takeWait() (wait inputWait) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait, a.lastWait = a.lastWait, inputWait{}
	return wait
}

// readSocketOnce does one non-blocking read of the socket. It always returns true, so that RawConn.Read does not repeat it.
func (a *readAheadBuffer) readSocketOnce(fd uintptr) bool {
	n := a.readNow(fd, a.scratch[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf = append(a.buf, a.scratch[:n]...)
	return true
}

// readNow reads into b what has arrived, without blocking, and records the state of the socket.
func (a *readAheadBuffer) readNow(fd uintptr, b []byte) int {
	n, err := readSocket(fd, b)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received += int64(n)
	switch {
	case err == nil:
	case errors.Is(err, syscall.EAGAIN):
		a.socketEmpty = true
	default:
		a.err = err
	}
	return n
}

// Read reads for net/http: first the buffered bytes, then from the connection.
func (a *readAheadBuffer) Read(b []byte) (n int, err error) {
	a.mu.Lock()
	if n = copy(b, a.buf); n > 0 {
		a.buf = a.buf[n:]
	} else if a.err != nil {
		err = a.err
	}
	more := len(a.buf) == 0 && a.err == nil
	a.socketEmpty = false
	mayPeek := !a.inBackgroundRead // that read must itself return the connection's end: then net/http cancels the request
	a.mu.Unlock()
	switch {
	case n == 0 && err == nil:
		n, err = a.readWaiting(b)
		more = n < len(b) && err == nil
	case more && mayPeek && n < len(b): // without this, each read of a long input would return what the last peek has read
		n += a.readMore(b[n:])
		more = n < len(b)
	}
	if more && mayPeek {
		a.peek()
	}
	return n, err
}

// readWaiting reads from the connection, and waits if nothing has arrived.
func (a *readAheadBuffer) readWaiting(b []byte) (int, error) {
	waits, began := a.waitsAreTimed() && a.kernelUnread() == 0, time.Now()
	n, err := a.conn.Read(b)
	now, unread := time.Now(), int64(0)
	if waits {
		unread = a.kernelUnread()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received += int64(n)
	if waits {
		a.lastWait = inputWait{ended: now, took: now.Sub(began), arrived: int64(n) + unread}
	}
	return n, err
}

// readMore reads into b what has arrived, without blocking. It returns 0 if nothing has, or the connection has ended.
func (a *readAheadBuffer) readMore(b []byte) (n int) {
	if a.socketFollows() {
		a.raw.Read(func(fd uintptr) bool {
			n = a.readNow(fd, b)
			return true
		})
	}
	return n
}

// peek reads without blocking what has arrived meanwhile: more data or the end of the connection. Both may have arrived if
// the connection was not read for a while.
func (a *readAheadBuffer) peek() {
	if a.socketFollows() {
		a.raw.Read(a.peekSocket)
	}
}

// socketFollows reports whether the bytes that wait in the socket are the next ones of the connection.
func (a *readAheadBuffer) socketFollows() bool {
	if a.raw == nil {
		return false
	}
	identified, ok := a.conn.(*identifiedConn)
	return !ok || identified.bufferedReader == nil
}
