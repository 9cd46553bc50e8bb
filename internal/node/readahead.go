package node

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes in bytes for reading beyond the open request.
const (
	maxReadAhead = 16 << 10 // buffered after an open request, once the kernel has no more room
	peekSize     = 64       // size of a non-blocking read: enough to reach a client's FIN after a little data
)

// pastDeadlineUnix is a read deadline in the past, in seconds of Unix time. net/http sets this value to end its background
// read, and beginRead sets it to end the read-ahead goroutine. The value distinguishes a deadline that is meant to end a
// read from the expired deadline of a request body.
const pastDeadlineUnix = 1

// Numbers that the kernel uses for the TCP states in which the client has closed its side.
const (
	tcpClose     = 7 // reset, or closed in both directions
	tcpCloseWait = 8 // a FIN was received
)

// readAheadBuffer reads a client connection beyond the open request. It lets the node detect that the client has closed the
// connection, even if the client sent more bytes before it did.
//
// This prevents work for clients that have gone. net/http reads one byte beyond an open request, and after that byte it no
// longer detects a close. If a client pipelined another request or sent stray bytes and then left, its open request would
// still be forwarded and run. Therefore the connection is watched from then on (inputWatcher): the input stays in the kernel,
// which reports the end of the connection behind it. Once the input fills the kernel's buffer so far that the end could no
// longer arrive, a goroutine reads it, buffers up to maxReadAhead bytes for net/http, and discards the rest until the end: a
// client that sends so much has no other way left to tell that it leaves.
//
// Only one goroutine reads the socket at any time. Between requests, and while a body is read, net/http's goroutine reads it
// through Read. While a request is open and net/http holds the one byte that follows it, the goroutine started by
// startReader reads it; beginRead ends that goroutine before net/http reads again. clientConn closes the connection.
type readAheadBuffer struct {
	conn       net.Conn
	raw        syscall.RawConn    // nil: not a socket
	clientGone context.CancelFunc // cancels the contexts of all requests on the connection
	watcher    *inputWatcher      // nil: input is read at once

	mu                sync.Mutex
	buf               []byte // read from the socket, but not yet by net/http
	received          int64  // bytes read from the socket in all, without those that were discarded
	err               error  // how the connection ended; net/http gets it after the bytes in buf
	socketEmpty       bool   // the last non-blocking read found nothing to read
	requestOpen       bool   // a request is open, and its body has been read
	httpHasByte       bool   // net/http holds one byte that follows that request, and reads no further
	hasPipelinedBytes bool   // bytes that follow that request were read together with it; net/http has not taken them
	inBackgroundRead  bool   // net/http reads only to detect that the client of the open request leaves
	lastDiscardAt     time.Time
	discardedBytes    int // bytes that were read but not buffered; if above 0, this response must close the connection
	readerDone        chan struct{}
	stopReader        chan struct{} // closed to end the reader
	stopping          bool
	lastWait          inputWait
	timesWaits        bool      // waits for input are recorded in lastWait
	deadline          time.Time // the read deadline that net/http has set
	headDeadline      time.Time // when a head that is partly read must be complete; zero: there is none
	interrupted       bool      // reads end at once, because the connection is about to be closed
	scratch           [peekSize]byte
	peekSocket        func(fd uintptr) bool
}

func newReadAheadBuffer(nc net.Conn) *readAheadBuffer {
	a := &readAheadBuffer{conn: nc, clientGone: func() {}}
	if identified, ok := nc.(*identifiedConn); ok {
		nc = identified.Conn
	}
	if s, ok := nc.(syscall.Conn); ok {
		a.raw, _ = s.SyscallConn()
	}
	a.peekSocket = a.readSocketOnce
	return a
}

// markHTTPHasByte records that net/http holds one byte that follows the open request.
func (a *readAheadBuffer) markHTTPHasByte() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.httpHasByte = true
	a.watchInput()
}

// setHasPipelinedBytes records whether bytes that follow the current request were read together with it.
func (a *readAheadBuffer) setHasPipelinedBytes(pipelined bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasPipelinedBytes = pipelined
}

// nextRequestBegun reports whether bytes of the next request have been read while a request is open. If the response to the
// open request closed the connection, the next request would be partly read but get no response.
func (a *readAheadBuffer) nextRequestBegun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.httpHasByte || a.hasPipelinedBytes || len(a.buf) > 0
}

// beginRequest records that a completely read request is open, and reports whether its client has already gone.
func (a *readAheadBuffer) beginRequest() (gone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestOpen = true
	a.watchInput()
	return a.err != nil || !a.socketEmpty && a.clientClosedLocked() // the end may follow more bytes than peek has read
}

// endRequest records that the request has been answered. It reports whether the connection must be closed after the
// response, because bytes that followed the request were discarded.
func (a *readAheadBuffer) endRequest() (mustClose bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestOpen = false
	return a.discardedBytes > 0
}

// watchInput has the connection watched, if a request is open and net/http doesn't read. The caller holds a.mu.
func (a *readAheadBuffer) watchInput() {
	switch {
	case !a.requestOpen || !a.httpHasByte || a.err != nil:
	case a.watcher != nil && a.raw != nil:
		a.watcher.add(a)
	default:
		a.startReader()
	}
}

// checkInput is called by the watcher. It cancels the requests of a client that has gone, and starts to read if the kernel has
// no more room.
func (a *readAheadBuffer) checkInput() {
	if a.checkClientClosed() || !a.receiveBufferFull() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requestOpen && a.httpHasByte {
		a.startReader()
	}
}

// startReader starts the goroutine that reads ahead, unless it is running. The caller holds a.mu. The goroutine ends on
// beginRead or at the end of the connection.
func (a *readAheadBuffer) startReader() {
	if a.readerDone == nil && a.err == nil {
		a.readerDone, a.stopReader = make(chan struct{}), make(chan struct{})
		go a.runReader(a.readerDone, a.stopReader)
	}
}

// runReader reads ahead until the reader is stopped or the connection ends, and then closes done.
func (a *readAheadBuffer) runReader(done, stop chan struct{}) {
	defer close(done)
	if a.bufferInput() {
		a.discardInput(stop)
	}
}

// bufferInput reads into the buffer. It returns true when the buffer is full, and false if the reader must stop.
func (a *readAheadBuffer) bufferInput() (full bool) {
	for room := a.bufferRoom(); room > 0; room = a.bufferRoom() {
		if a.storeRead(a.readUpTo(room)) {
			return false
		}
	}
	return true
}

// bufferRoom returns how many bytes may still be buffered: none once input has been discarded.
func (a *readAheadBuffer) bufferRoom() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.discardedBytes > 0 {
		return 0
	}
	return max(maxReadAhead-len(a.buf), 0)
}

// storeRead stores the result of one read of the read-ahead goroutine, and reports whether the goroutine must stop.
func (a *readAheadBuffer) storeRead(b []byte, err error) (stop bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf = append(a.buf, b...)
	a.received += int64(len(b))
	return a.recordEnd(err)
}

// recordEnd records the end of the connection, if err is one, and reports whether the read-ahead goroutine must stop. The caller
// holds a.mu.
func (a *readAheadBuffer) recordEnd(err error) (stop bool) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
		a.clientGone()
	}
	return err != nil || a.stopping
}

// beginRead prepares a read by net/http: it ends the read-ahead goroutine, if there is one. backgroundRead is true if
// net/http reads only to detect that the client leaves.
func (a *readAheadBuffer) beginRead(backgroundRead bool) {
	if a.watcher != nil {
		a.watcher.remove(a)
	}
	a.mu.Lock()
	a.httpHasByte = false
	a.inBackgroundRead = backgroundRead
	done := a.readerDone
	if done != nil {
		a.stopping = true
		close(a.stopReader)
		a.conn.SetReadDeadline(time.Unix(pastDeadlineUnix, 0))
	}
	a.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readerDone, a.stopping = nil, false
	a.applyDeadline()
}

// setReadDeadline sets the deadline for reads by net/http. While the read-ahead goroutine runs, the deadline is only stored,
// because it does not apply to that goroutine.
func (a *readAheadBuffer) setReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.readerDone != nil {
		return nil
	}
	return a.applyDeadline()
}

// applyDeadline sets the socket's read deadline: the earlier of deadline and headDeadline, or a time in the past if reads are
// interrupted. The caller holds a.mu.
func (a *readAheadBuffer) applyDeadline() error {
	deadline := a.deadline
	if a.interrupted {
		return a.conn.SetReadDeadline(time.Unix(pastDeadlineUnix, 0))
	}
	if deadline.IsZero() || !a.headDeadline.IsZero() && a.headDeadline.Before(deadline) {
		deadline = a.headDeadline
	}
	return a.conn.SetReadDeadline(deadline)
}

// setInterrupted, with true, ends a blocked read and makes later reads fail; with false, it allows reads again. It does not
// affect the read-ahead goroutine of an open request.
func (a *readAheadBuffer) setInterrupted(interrupted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupted = interrupted
	if a.readerDone == nil {
		a.applyDeadline()
	}
}

// hasBuffered reports whether there are bytes that were read ahead and that net/http has not read yet.
func (a *readAheadBuffer) hasBuffered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buf) > 0
}

// startHeadDeadline sets the deadline for the rest of a head whose first bytes have arrived, unless it is already set. It
// protects against a client that sends a few bytes of another request and then nothing: until four bytes have arrived,
// net/http applies the idle timeout, and the connection would hold its slot for that long.
func (a *readAheadBuffer) startHeadDeadline(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headDeadline.IsZero() {
		a.headDeadline = time.Now().Add(timeout)
		a.applyDeadline()
	}
}

// clearHeadDeadline removes the deadline of a head. The socket's deadline stays until net/http sets the next one, which it
// does after each head.
func (a *readAheadBuffer) clearHeadDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headDeadline = time.Time{}
}

// clearExpiredDeadline clears a deadline that net/http's background read has exceeded, and reports whether that read should
// be repeated. Such a deadline may be left over from reading the request's body, which is now complete. If net/http saw the
// error, it would assume that the client has gone, and cancel the request. The client, which still waits, would then send
// the request again while a server may still run it. If the deadline is pastDeadlineUnix, which net/http sets to end the
// read, clearExpiredDeadline returns false.
func (a *readAheadBuffer) clearExpiredDeadline() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.deadline.IsZero() && a.deadline.Unix() <= pastDeadlineUnix {
		return false
	}
	a.deadline = time.Time{}
	return a.conn.SetReadDeadline(time.Time{}) == nil
}

// endReason says for the log how the connection has ended, as far as it is known.
func (a *readAheadBuffer) endReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.clientClosedLocked():
		return "closed by the client, with unread input"
	}
	return "not seen to end"
}

// checkClientClosed reports whether the client has closed its side of the connection, and if so, cancels its requests.
func (a *readAheadBuffer) checkClientClosed() (closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if closed = a.err != nil || a.clientClosedLocked(); closed {
		a.clientGone()
	}
	return closed
}

// mayBeGone reports whether the client has gone, or may have gone because its input has to be discarded: the end of the connection
// may wait behind it. No attempt may begin then.
func (a *readAheadBuffer) mayBeGone() bool {
	if a.checkClientClosed() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.discardedBytes > 0 && time.Since(a.lastDiscardAt) < discardSettleTime
}

// clientClosedLocked reports whether the client has closed its side of the connection, according to the kernel. Unlike a read,
// it detects this even if unread bytes, for example a part of a body, precede the end of the connection. It returns false if
// the state is unknown. The caller holds a.mu.
func (a *readAheadBuffer) clientClosedLocked() (closed bool) {
	if a.raw == nil {
		return false
	}
	a.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
	})
	return closed
}
