package node

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxClientUnsent is how many bytes the kernel of a client may hold of a body that the client has written. The end of a connection
	// that the client has closed arrives behind them.
	maxClientUnsent = 5 << 20

	// raisedBufferMemory is how many bytes the receive buffers of all connections together may be raised by, while requests wait to be
	// sent. The kernel takes the memory only for bytes that have arrived.
	raisedBufferMemory = 512 << 20

	// recentlyConfirmed is how long a client that was there counts as there if nothing newer can be known. Attempts may begin up to
	// 0.1 s after a client has closed its connection.
	recentlyConfirmed = 50 * time.Millisecond

	// maxUnreadPercent and maxUnreadRaisedPercent are how much of the receive buffer may be used by unread input, if the end of the
	// connection must not be held back: before the buffer is raised, the window that the kernel announces may be a half of it.
	maxUnreadPercent       = 25
	maxUnreadRaisedPercent = 75

	// raiseFactor is by how much the receive buffer is larger than what has to fit in it.
	raiseFactor = 2

	// settlePoll is the interval at which newly arriving input is watched, settleTime how long nothing must have arrived before
	// it counts as all that the client's kernel has held back, and maxSettleTime the longest time to wait for that.
	settlePoll    = 500 * time.Microsecond
	settleTime    = 3 * time.Millisecond
	maxSettleTime = 30 * time.Millisecond
)

// clientPresence finds out whether the client of a streamed request is still there, before the request is sent.
//
// The unread part of the body waits in the kernel. If it fills the receive buffer, the client's kernel has to hold back the rest, and
// with it the end of the connection, however long ago the client has closed it. Reading the body ahead would take memory for
// all of it. Instead, the receive buffer is raised just before the request is sent: what the client's kernel has held
// back then arrives at once, with the end of the connection if the client has closed it. If more arrives than a client's kernel
// holds, the client must be there, since it still writes.
//
// Its methods are called by one goroutine at a time: that of the attempt, and after it that of the request.
type clientPresence struct {
	conn        *clientConn
	body        *bodyReader
	reserved    memoryReservation
	confirmedAt time.Time // when the client was last found to be there; zero: never

	raisedForBody bool // the receive buffer was raised while the body was sent on
}

// newClientPresence returns the clientPresence of a streamed request. conn is nil in tests without a connection.
func newClientPresence(conn *clientConn, body *bodyReader) *clientPresence {
	if conn == nil || conn.readAhead.raw == nil {
		return nil
	}
	return &clientPresence{conn: conn, body: body, reserved: memoryReservation{pool: conn.listener.raisedBuffers}}
}

// confirm reports whether the client is there. It waits for at most maxSettleTime. If it has to read a part of the body, it returns
// that part. A client that has gone for certain has its requests canceled. A nil clientPresence takes each client for present.
func (p *clientPresence) confirm() (present bool, read []byte) {
	if p == nil {
		return true, nil
	}
	present, read = p.check()
	if present {
		p.confirmedAt = time.Now()
	}
	return present, read
}

// gone reports whether the client is known to have gone.
func (p *clientPresence) gone() bool { return p != nil && p.conn.readAhead.checkClientClosed() }

// check does what confirm documents.
func (p *clientPresence) check() (present bool, read []byte) {
	if p.gone() {
		return false, nil
	}
	if !p.endMayBeHidden() {
		return true, nil
	}
	before := p.arrived()
	raisedBy, ok := p.raiseBuffer()
	if !ok { // if the system raises no buffer at all, nothing can be known
		return !p.conn.receiveBufferRaised || time.Since(p.confirmedAt) < recentlyConfirmed, nil
	}
	read = p.readOnce()
	p.settle()
	if p.gone() {
		return false, read
	}
	return !p.endMayBeHidden() || p.arrived()-before >= raisedBy, read
}

// release gives back what was reserved, when all of the body has been read or the request has ended.
func (p *clientPresence) release() {
	if p != nil {
		p.reserved.release(true)
	}
}

// arrived returns how many bytes of the body have arrived, and perhaps some bytes that follow it.
func (p *clientPresence) arrived() int64 { return p.body.bytesRead.Load() + unreadBytes(p.conn) }

// endMayBeHidden reports whether the end of the connection may be held back by the client's kernel, because unread input uses too
// much of the receive buffer.
func (p *clientPresence) endMayBeHidden() (hidden bool) {
	maxPercent := uint64(maxUnreadPercent)
	if p.conn.receiveBufferRaised {
		maxPercent = maxUnreadRaisedPercent
	}
	p.conn.readAhead.raw.Control(func(fd uintptr) {
		memory, err := socketMemory(fd)
		hidden = err != nil || uint64(memory.used)*100 >= uint64(memory.size)*maxPercent
	})
	return hidden
}

// raiseBuffer raises the receive buffer so that all that a client's kernel may hold fits in it, and returns of how many more bytes
// the client must be the writer. It
// returns false if there is no memory left for it, or the system does not raise the buffer further.
func (p *clientPresence) raiseBuffer() (raisedBy int64, ok bool) {
	unread := int(unreadBytes(p.conn))
	wanted := unread + maxClientUnsent
	if missing := p.body.contentLength - p.body.bytesRead.Load() - int64(unread); p.body.contentLength >= 0 && missing >= 0 {
		wanted = min(wanted, unread+int(missing)+minBuffered) // bytes that follow the body may precede the end
	}
	if !p.reserved.raiseTo(wanted) {
		return 0, false
	}
	p.conn.readAhead.raw.Control(func(fd uintptr) {
		before, beforeErr := socketMemory(fd)
		ok = beforeErr == nil && raiseReceiveBuffer(int(fd), raiseFactor*wanted) == nil
		after, afterErr := socketMemory(fd)
		ok = ok && afterErr == nil && after.size > before.size
		raisedBy = int64(after.size) - int64(before.size)
	})
	p.conn.receiveBufferRaised = p.conn.receiveBufferRaised || ok
	return min(raisedBy/raiseFactor, maxClientUnsent), ok
}

// raiseReceiveBuffer raises the receive buffer of a TCP socket for a window of so many bytes. Linux raises it with SO_RCVLOWAT, up to
// half of the third value of net.ipv4.tcp_rmem; SO_RCVBUF has a lower limit, and would end the kernel's own adjustment. The
// low-water mark itself is set back at once.
func raiseReceiveBuffer(fd, window int) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, window); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1)
}

// readOncePiece is the size in bytes of one read of readOnce. net/http reads more from the kernel, into its own buffer.
const readOncePiece = 512

// readOnce reads a few bytes of the body, until some were taken from the kernel: only then does it announce the raised buffer to the
// client's kernel. They have arrived, so that no read waits.
func (p *clientPresence) readOnce() (read []byte) {
	var piece [readOncePiece]byte
	for before := unreadBytes(p.conn); before > 0 && unreadBytes(p.conn) >= before && len(read) <= 2*httpReadBuffer; {
		n, err := p.body.Read(piece[:])
		read = append(read, piece[:n]...)
		if err != nil || n == 0 {
			break
		}
	}
	return read
}

// settle waits until no more input arrives, or all of the body has arrived.
func (p *clientPresence) settle() {
	began := time.Now()
	lastChange, arrived := began, p.arrived()
	for now := began; now.Sub(lastChange) < settleTime && now.Sub(began) < maxSettleTime; now = time.Now() {
		time.Sleep(settlePoll)
		if p.gone() || p.body.contentLength >= 0 && arrived >= p.body.contentLength {
			return
		}
		if next := p.arrived(); next != arrived {
			lastChange, arrived = time.Now(), next
		}
	}
}
