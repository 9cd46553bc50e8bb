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

const (
	aheadHeld = 16 << 10 // bytes behind an open request that are kept: what follows is as large as a head may be
	aheadMost = 1 << 20  // that are read at all
	longPast  = 1        // Unix time in seconds of the deadline by which net/http ends a read
)

// lookahead reads a client's connection beyond the request that is open, so that its end is seen behind bytes that
// nobody has read yet: the HTTP server reads one byte ahead, and once it has that it no longer sees the client leave.
// Nothing is sent on for a client that has gone, and the end of its connection is how it goes.
type lookahead struct {
	conn net.Conn
	raw  syscall.RawConn // nil: not a socket
	left context.CancelFunc

	mu       sync.Mutex
	buf      []byte // read and not taken yet
	err      error  // how the connection ended, behind buf
	dry      bool   // nothing more had come when it was looked at last
	open     bool   // a request is open, and its body is read
	byteHeld bool   // the server has a byte that came after that request, and reads no more
	dropped  int    // bytes that were not kept: the connection ends with its answer
	running  chan struct{}
	stopping bool
	deadline time.Time // as the server has set it
	scratch  [64]byte
	peekRaw  func(fd uintptr) bool
}

func newLookahead(nc net.Conn) *lookahead {
	l := &lookahead{conn: nc, left: func() {}}
	if k, ok := nc.(*knownConn); ok {
		nc = k.Conn
	}
	if s, ok := nc.(syscall.Conn); ok {
		l.raw, _ = s.SyscallConn()
	}
	l.peekRaw = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), l.scratch[:])
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case n > 0:
			l.buf = append(l.buf, l.scratch[:n]...)
		case err == nil:
			l.err = io.EOF
		case err == syscall.EAGAIN:
			l.dry = true
		case err != syscall.EINTR:
			l.err = err
		}
		return true
	}
	return l
}

// Read reads for the server.
func (l *lookahead) Read(b []byte) (n int, err error) {
	l.mu.Lock()
	if n = copy(b, l.buf); n > 0 {
		l.buf = l.buf[n:]
	} else if l.err != nil {
		err = l.err
	}
	more := len(l.buf) == 0 && l.err == nil
	l.dry = false
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

// peek looks whether more has come, or the end, without waiting. A connection that lay unread for a while may have both.
func (l *lookahead) peek() {
	if l.raw == nil {
		return
	}
	if k, ok := l.conn.(*knownConn); ok && k.br != nil {
		return // what it has buffered comes first
	}
	l.raw.Read(l.peekRaw)
}

// holds notes that the server holds a byte of what comes after the open request.
func (l *lookahead) holds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byteHeld = true
	l.start()
}

// begin notes that a request is open, of which all is read, and says whether its client has gone already.
func (l *lookahead) begin() (gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = true
	l.start()
	return l.err != nil || !l.dry && l.closed() // the end may lie behind more than was looked at
}

// end notes that the request is answered, and says whether the connection has to end with it.
func (l *lookahead) end() (last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = false
	return l.dropped > 0
}

// start has a goroutine read on while nobody else does. The caller holds the lock.
func (l *lookahead) start() {
	if l.open && l.byteHeld && l.running == nil && l.err == nil {
		l.running = make(chan struct{})
		go l.run(l.running)
	}
}

func (l *lookahead) run(done chan struct{}) {
	defer close(done)
	b := make([]byte, 2<<10)
	for {
		n, err := l.conn.Read(b)
		l.mu.Lock()
		if len(l.buf)+n <= aheadHeld && l.dropped == 0 {
			l.buf = append(l.buf, b[:n]...)
		} else {
			l.dropped += n
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			l.err = err
			l.left()
		}
		enough := err != nil || l.stopping || l.dropped > aheadMost
		l.mu.Unlock()
		if enough {
			return
		}
	}
}

// stop has the goroutine that reads on, if there is one, leave the connection to the server.
func (l *lookahead) stop() {
	l.mu.Lock()
	l.byteHeld = false
	running := l.running
	if running != nil {
		l.stopping = true
		l.conn.SetReadDeadline(time.Unix(1, 0))
	}
	l.mu.Unlock()
	if running == nil {
		return
	}
	<-running
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.stopping = nil, false
	l.conn.SetReadDeadline(l.deadline)
}

// setReadDeadline is the server's.
func (l *lookahead) setReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	if l.running != nil {
		return nil
	}
	return l.conn.SetReadDeadline(t)
}

// outlasts says that a look ahead goes on past the deadline that it met: that of the body before it, whose time is over. The
// HTTP server ends its look by a deadline long past.
func (l *lookahead) outlasts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.deadline.IsZero() && l.deadline.Unix() <= longPast {
		return false
	}
	l.deadline = time.Time{}
	return l.conn.SetReadDeadline(time.Time{}) == nil
}

// closed says that the client has ended its connection, whatever of it is unread: that is asked where the rest of a
// body waits to be read. Where it can't be told the answer is no.
func (l *lookahead) closed() (yes bool) {
	if l.raw == nil {
		return false
	}
	l.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
	})
	return yes
}

// States of a connection whose peer has ended it, as the kernel numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)
