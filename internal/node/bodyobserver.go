package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// chunkedEnd are the bytes with which each chunked body ends, whether it has trailers or not.
const chunkedEnd = "\r\n\r\n"

// observe returns what is known of the body now, or false if it is no longer read. If the client's kernel may hold something back, it
// raises the receive buffer, so that the next observation has it.
//
// If inspect is true and the length of the body is unknown, it also looks at the end of what is unread. This costs as much as copying
// all of it.
func (p *clientPresence) observe(inspect bool) (o bodyObservation, reading bool) {
	reading = p.body.whileReading(func() {
		o = p.observeUnread()
		if unread := unreadBytes(p.conn); inspect && o.missing < 0 && unread > 0 {
			o.endMissing = !p.conn.readAhead.unreadEndsWith(chunkedEnd, int(unread))
		}
	})
	return o, reading
}

// observeUnread is observe without a look at what is unread.
func (p *clientPresence) observeUnread() bodyObservation {
	hidden := p.endMayBeHidden()
	if hidden && !p.raisedForBody {
		if _, ok := p.raiseBuffer(); ok {
			p.raisedForBody = true
			p.conn.readAhead.peek() // only a read announces the raised buffer to the client's kernel
		}
	}
	at := time.Now()
	unread := p.conn.readAhead.unreadBytes()
	missing := p.conn.head.BodyMissing(unread)
	return bodyObservation{
		at:         at,
		arrived:    p.conn.readAhead.receivedBytes() + unread,
		missing:    missing,
		windowOpen: !hidden,
		endMissing: missing < 0 && unread == 0,
	}
}

// receivedBytes returns how many bytes net/http has been given in all.
func (a *readAheadBuffer) receivedBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received - int64(len(a.buf))
}

// unreadBytes returns how many bytes have arrived that net/http has not read, in the buffer and in the kernel.
func (a *readAheadBuffer) unreadBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.buf)) + a.kernelUnread()
}

// kernelUnread returns how many bytes wait in the kernel. It is 0 if that is unknown.
func (a *readAheadBuffer) kernelUnread() (unread int64) {
	if a.raw == nil {
		return 0
	}
	a.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = int64(n)
		}
	})
	return unread
}

// unreadEndsWith reports whether the given number of bytes that wait in the kernel end with a text. It returns true if that can't be
// known.
func (a *readAheadBuffer) unreadEndsWith(end string, unread int) (ends bool) {
	if unread < len(end) {
		return true
	}
	scratch := discardBuffers.Get().(*[discardChunk]byte)
	defer discardBuffers.Put(scratch)
	last := make([]byte, len(end))
	var parts [][]byte // what precedes the end is copied over itself: only the end is of interest
	for skip := unread - len(end); skip > 0; skip -= discardChunk {
		parts = append(parts, scratch[:min(skip, discardChunk)])
	}
	parts = append(parts, last)
	ends = true
	a.raw.Control(func(fd uintptr) {
		n, _, _, _, err := unix.RecvmsgBuffers(int(fd), parts, nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil && n == unread {
			ends = string(last) == end
		}
	})
	return ends
}
