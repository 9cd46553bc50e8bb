package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of reads beyond the open request, in bytes.
const (
	maxReadAhead          = 16 << 10 // kept behind an open request: as much as the head of the next one may have
	maxDiscardedReadAhead = 1 << 20  // read and dropped beyond that: a client that sends without end costs no more
	readAheadChunk        = 2 << 10  // of one read
	peekSize              = 64       // looked at without waiting: enough to reach a client's FIN behind little data
)

// pastDeadlineUnix is a read deadline in the past, in seconds of Unix time. net/http sets this one to end its own
// background read, and stopReader uses it for the same: it tells such a deadline from one that a request body has met.
const pastDeadlineUnix = 1

// Kernel numbers of the TCP states in which the peer has closed its side.
const (
	tcpClose     = 7 // reset, or closed in both directions
	tcpCloseWait = 8 // a FIN has come
)

// readAheadBuffer reads a client connection beyond the open request, so that the client's leaving is noticed behind
// bytes that nobody has read.
//
// It guards against work for clients that are gone: net/http reads one byte ahead of an open request, and once it has
// that byte it no longer notices when the client closes. A client that pipelined a request, or sent stray bytes, and
// left would have its request forwarded and run. Here a goroutine keeps reading, keeps up to maxReadAhead bytes for the
// server, and calls clientGone when the connection ends.
//
// Ownership: at any time one goroutine reads the socket. Between requests, and while a body is read, that is net/http's
// goroutine by Read. While a request is open and net/http holds its one byte, it is the goroutine started by
// startReader; stopReader takes the socket back before net/http reads again. The connection is closed by clientConn.
type readAheadBuffer struct {
	conn       net.Conn
	raw        syscall.RawConn    // nil: not a socket
	clientGone context.CancelFunc // cancels the contexts of all requests on the connection

	mu            sync.Mutex
	buf           []byte // read from the socket, not taken by the server yet
	err           error  // how the connection ended, behind buf
	drained       bool   // the socket had nothing more when it was last looked at
	requestOpen   bool   // a request is open and its body has been read
	serverHasByte bool   // net/http holds a byte that came behind that request, and reads no more
	discarded     int    // bytes that were not kept: the connection has to end with this response
	readerDone    chan struct{}
	stopping      bool
	deadline      time.Time // the read deadline that the server has set
	scratch       [peekSize]byte
	peekSocket    func(fd uintptr) bool
}

func newReadAheadBuffer(nc net.Conn) *readAheadBuffer {
	l := &readAheadBuffer{conn: nc, clientGone: func() {}}
	if identified, ok := nc.(*identifiedConn); ok {
		nc = identified.Conn
	}
	if s, ok := nc.(syscall.Conn); ok {
		l.raw, _ = s.SyscallConn()
	}
	l.peekSocket = l.readSocketOnce
	return l
}

// readSocketOnce reads what the socket has, without waiting. It always reports true: the read is not to be repeated.
func (l *readAheadBuffer) readSocketOnce(fd uintptr) bool {
	n, err := syscall.Read(int(fd), l.scratch[:])
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case n > 0:
		l.buf = append(l.buf, l.scratch[:n]...)
	case err == nil:
		l.err = io.EOF
	case err == syscall.EAGAIN:
		l.drained = true
	case err != syscall.EINTR:
		l.err = err
	}
	return true
}

// Read reads for the server: first what was read ahead, then from the connection.
func (l *readAheadBuffer) Read(b []byte) (n int, err error) {
	l.mu.Lock()
	if n = copy(b, l.buf); n > 0 {
		l.buf = l.buf[n:]
	} else if l.err != nil {
		err = l.err
	}
	more := len(l.buf) == 0 && l.err == nil
	l.drained = false
	l.mu.Unlock()
	if n == 0 && err == nil {
		n, err = l.conn.Read(b)
		more = n < len(b) && err == nil
	}
	if more && len(b) > 1 {
		l.peek()
	}
	return n, err
}

// peek looks, without waiting, whether more data or the end of the connection has come. A connection that lay unread
// for a while may have both.
func (l *readAheadBuffer) peek() {
	if l.raw == nil {
		return
	}
	if identified, ok := l.conn.(*identifiedConn); ok && identified.buffered != nil {
		return // what it has buffered comes first
	}
	l.raw.Read(l.peekSocket)
}

// serverReadByte notes that net/http holds a byte of what comes behind the open request.
func (l *readAheadBuffer) serverReadByte() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverHasByte = true
	l.startReader()
}

// beginRequest notes that a request is open of which everything has been read, and reports whether its client has
// already gone.
func (l *readAheadBuffer) beginRequest() (gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestOpen = true
	l.startReader()
	return l.err != nil || !l.drained && l.peerClosed() // the end may lie behind more than was looked at
}

// endRequest notes that the request is answered, and reports whether the connection has to end with the response
// because bytes behind the request were dropped.
func (l *readAheadBuffer) endRequest() (last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestOpen = false
	return l.discarded > 0
}

// startReader starts the goroutine that reads on, if a request is open and nobody else reads. The caller holds l.mu.
// The goroutine ends by stopReader, by the end of the connection, or when it has dropped maxDiscardedReadAhead bytes.
func (l *readAheadBuffer) startReader() {
	if l.requestOpen && l.serverHasByte && l.readerDone == nil && l.err == nil {
		l.readerDone = make(chan struct{})
		go l.readOn(l.readerDone)
	}
}

func (l *readAheadBuffer) readOn(done chan struct{}) {
	defer close(done)
	b := make([]byte, readAheadChunk)
	for {
		n, err := l.conn.Read(b)
		if l.store(b[:n], err) {
			return
		}
	}
}

// store takes what one read of the goroutine gave, and reports whether it has to stop reading.
func (l *readAheadBuffer) store(b []byte, err error) (stop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buf)+len(b) <= maxReadAhead && l.discarded == 0 {
		l.buf = append(l.buf, b...)
	} else {
		l.discarded += len(b)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.err = err
		l.clientGone()
	}
	return err != nil || l.stopping || l.discarded > maxDiscardedReadAhead
}

// stopReader ends the goroutine that reads on, if there is one, and leaves the connection to the server.
func (l *readAheadBuffer) stopReader() {
	l.mu.Lock()
	l.serverHasByte = false
	done := l.readerDone
	if done != nil {
		l.stopping = true
		l.conn.SetReadDeadline(time.Unix(pastDeadlineUnix, 0))
	}
	l.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readerDone, l.stopping = nil, false
	l.conn.SetReadDeadline(l.deadline)
}

// setReadDeadline sets the server's deadline. While the goroutine reads on it is only noted: it is not meant for that.
func (l *readAheadBuffer) setReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	if l.readerDone != nil {
		return nil
	}
	return l.conn.SetReadDeadline(t)
}

// outlivesDeadline reports whether net/http's background read goes on past the deadline that it met, and clears that
// deadline. The deadline may be that of the request body, which is over: taken for the client's leaving it would cancel
// a request whose client waits, and who would send it again while it runs. A deadline at pastDeadlineUnix is net/http's
// own, by which it ends the read.
func (l *readAheadBuffer) outlivesDeadline() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.deadline.IsZero() && l.deadline.Unix() <= pastDeadlineUnix {
		return false
	}
	l.deadline = time.Time{}
	return l.conn.SetReadDeadline(time.Time{}) == nil
}

// peerClosed asks the kernel whether the client has closed its side, whatever is still unread. It is needed where the
// rest of a body waits to be read: the end lies behind it. It reports false where that can't be known.
func (l *readAheadBuffer) peerClosed() (closed bool) {
	if l.raw == nil {
		return false
	}
	l.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
	})
	return closed
}
