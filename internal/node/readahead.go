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
// background read, and beginRead uses it for the same: it tells such a deadline from one that a request body has met.
const pastDeadlineUnix = 1

// Kernel numbers of the TCP states in which the client has closed its side.
const (
	tcpClose     = 7 // reset, or closed in both directions
	tcpCloseWait = 8 // a FIN has come
)

// readAheadBuffer reads a client connection beyond the open request, so that the client's leaving is noticed behind
// bytes that nobody has read.
//
// It guards against work for clients that are gone: net/http reads one byte ahead of an open request, and once it has
// that byte it no longer notices when the client closes. A client that pipelined a request, or sent stray bytes, and
// left would have its request forwarded and run. Here a goroutine keeps reading, keeps up to maxReadAhead bytes for
// net/http, and calls clientGone when the connection ends.
//
// Ownership: at any time one goroutine reads the socket. Between requests, and while a body is read, that is net/http's
// goroutine by Read. While a request is open and net/http holds its one byte, it is the goroutine started by
// startReader; beginRead takes the socket back before net/http reads again. The connection is closed by clientConn.
type readAheadBuffer struct {
	conn       net.Conn
	raw        syscall.RawConn    // nil: not a socket
	clientGone context.CancelFunc // cancels the contexts of all requests on the connection

	mu           sync.Mutex
	buf          []byte // read from the socket, not taken by net/http yet
	err          error  // how the connection ended, behind buf
	drained      bool   // the socket had nothing more when it was last looked at
	requestOpen  bool   // a request is open and its body has been read
	httpHasByte  bool   // net/http holds a byte that came behind that request, and reads no more
	bytesBehind  bool   // bytes behind that request were read with it, and wait for net/http
	watching     bool   // net/http reads only to notice that the client of the open request leaves
	discarded    int    // bytes that were not kept: the connection has to end with this response
	readerDone   chan struct{}
	stopping     bool
	deadline     time.Time // the read deadline that net/http has set
	headDeadline time.Time // by which the head that has begun must have come; zero: none has
	interrupted  bool      // reads are to end at once: the connection is about to be closed
	scratch      [peekSize]byte
	peekSocket   func(fd uintptr) bool
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

// readSocketOnce reads what the socket has, without waiting. It always reports true: the read is not to be repeated.
func (a *readAheadBuffer) readSocketOnce(fd uintptr) bool {
	n, err := syscall.Read(int(fd), a.scratch[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case n > 0:
		a.buf = append(a.buf, a.scratch[:n]...)
	case err == nil:
		a.err = io.EOF
	case err == syscall.EAGAIN:
		a.drained = true
	case err != syscall.EINTR:
		a.err = err
	}
	return true
}

// Read reads for net/http: first what was read ahead, then from the connection.
func (a *readAheadBuffer) Read(b []byte) (n int, err error) {
	a.mu.Lock()
	if n = copy(b, a.buf); n > 0 {
		a.buf = a.buf[n:]
	} else if a.err != nil {
		err = a.err
	}
	more := len(a.buf) == 0 && a.err == nil
	a.drained = false
	peeks := !a.watching // net/http's background read must meet the end itself: it reports it to the open request
	a.mu.Unlock()
	if n == 0 && err == nil {
		n, err = a.conn.Read(b)
		more = n < len(b) && err == nil
	}
	if more && peeks {
		a.peek()
	}
	return n, err
}

// peek looks, without waiting, whether more data or the end of the connection has come. A connection that lay unread
// for a while may have both.
func (a *readAheadBuffer) peek() {
	if a.raw == nil {
		return
	}
	if identified, ok := a.conn.(*identifiedConn); ok && identified.buffered != nil {
		return // what it has buffered comes first
	}
	a.raw.Read(a.peekSocket)
}

// httpReadByte notes that net/http holds a byte of what comes behind the open request.
func (a *readAheadBuffer) httpReadByte() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.httpHasByte = true
	a.startReader()
}

// setBytesBehind notes whether bytes behind the request that is being read were read with it.
func (a *readAheadBuffer) setBytesBehind(held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytesBehind = held
}

// nextBegun reports whether bytes of the next request have been read while one is open. Were the connection closed with its
// response, the next request would have been read and have none.
func (a *readAheadBuffer) nextBegun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.httpHasByte || a.bytesBehind || len(a.buf) > 0
}

// beginRequest notes that a request is open of which everything has been read, and reports whether its client has
// already gone.
func (a *readAheadBuffer) beginRequest() (gone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestOpen = true
	a.startReader()
	return a.err != nil || !a.drained && a.clientClosed() // the end may lie behind more than was looked at
}

// endRequest notes that the request is answered, and reports whether the connection has to end with the response
// because bytes behind the request were dropped.
func (a *readAheadBuffer) endRequest() (last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestOpen = false
	return a.discarded > 0
}

// startReader starts the goroutine that reads on, if a request is open and nobody else reads. The caller holds a.mu.
// The goroutine ends by beginRead, by the end of the connection, or when it has dropped maxDiscardedReadAhead bytes.
func (a *readAheadBuffer) startReader() {
	if a.requestOpen && a.httpHasByte && a.readerDone == nil && a.err == nil {
		a.readerDone = make(chan struct{})
		go a.readOn(a.readerDone)
	}
}

func (a *readAheadBuffer) readOn(done chan struct{}) {
	defer close(done)
	b := make([]byte, readAheadChunk)
	for {
		n, err := a.conn.Read(b)
		if a.store(b[:n], err) {
			return
		}
	}
}

// store takes what one read of the goroutine gave, and reports whether it has to stop reading.
func (a *readAheadBuffer) store(b []byte, err error) (stop bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(b) <= maxReadAhead && a.discarded == 0 {
		a.buf = append(a.buf, b...)
	} else {
		a.discarded += len(b)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
		a.clientGone()
	}
	return err != nil || a.stopping || a.discarded > maxDiscardedReadAhead
}

// beginRead ends the goroutine that reads on, if there is one, and leaves the connection to net/http.
func (a *readAheadBuffer) beginRead(watching bool) {
	a.mu.Lock()
	a.httpHasByte = false
	a.watching = watching
	done := a.readerDone
	if done != nil {
		a.stopping = true
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

// setReadDeadline sets net/http's deadline. While the goroutine reads on it is only noted: it is not meant for that.
func (a *readAheadBuffer) setReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.readerDone != nil {
		return nil
	}
	return a.applyDeadline()
}

// applyDeadline sets the socket's read deadline, the earlier of net/http's and the head's, or one that is over. The caller
// holds a.mu.
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

// setInterrupted ends a read that waits, and keeps later ones from beginning, or takes that back. The read that a goroutine
// does on behalf of an open request is left alone.
func (a *readAheadBuffer) setInterrupted(interrupted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupted = interrupted
	if a.readerDone == nil {
		a.applyDeadline()
	}
}

// buffered reports whether bytes were read ahead that net/http has not taken.
func (a *readAheadBuffer) buffered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buf) > 0
}

// limitHead bounds the time of a head of which the first bytes have come, once for each head. It guards against a client
// that sends some bytes of a further request and stays silent: net/http gives the first four as long as an idle connection
// has, and the connection would hold its slot for all of that.
func (a *readAheadBuffer) limitHead(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headDeadline.IsZero() {
		a.headDeadline = time.Now().Add(timeout)
		a.applyDeadline()
	}
}

// endHead takes the bound of a head back. The socket's deadline stays until net/http sets the next one, after each head.
func (a *readAheadBuffer) endHead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headDeadline = time.Time{}
}

// outlivesDeadline reports whether net/http's background read goes on past the deadline that it met, and clears that
// deadline. The deadline may be that of the request body, which is over: taken for the client's leaving it would cancel
// a request whose client waits, and who would send it again while it runs. A deadline at pastDeadlineUnix is net/http's
// own, by which it ends the read.
func (a *readAheadBuffer) outlivesDeadline() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.deadline.IsZero() && a.deadline.Unix() <= pastDeadlineUnix {
		return false
	}
	a.deadline = time.Time{}
	return a.conn.SetReadDeadline(time.Time{}) == nil
}

// clientClosed asks the kernel whether the client has closed its side, whatever is still unread. It is needed where the
// rest of a body waits to be read: the end lies behind it. It reports false where that can't be known.
func (a *readAheadBuffer) clientClosed() (closed bool) {
	if a.raw == nil {
		return false
	}
	a.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
	})
	return closed
}
