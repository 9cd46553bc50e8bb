package node

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// maxHoldTime is how long a response of unknown length is held before it is forwarded while it arrives. As long as it is
	// held, a response that breaks off can be replaced by another server's.
	maxHoldTime = time.Second

	// forwardMargin is the time before the deadline of an attempt at which a response that is still arriving is forwarded.
	forwardMargin = 100 * time.Millisecond

	// arrivingGap is the longest pause in a response that counts as still arriving. After a longer one, its server may hang.
	arrivingGap = 250 * time.Millisecond

	// minForwardedBytes and minResponseRate, in bytes per second since the first byte, tell a response that is long from one that
	// trickles without end. The latter is never forwarded, because its client would get no final answer.
	minForwardedBytes = 1 << 10
	minResponseRate   = minBodyRate
)

// slowBodyReader reads the body of a response that is to be buffered. It stops when the body exceeds the limit, and when its
// server sends it so slowly that it has to be forwarded while it arrives: otherwise the attempt's deadline would cut off a
// response that the server still sends.
//
// It waits without reading, because a read that fails at a deadline leaves a chunked body unreadable.
type slowBodyReader struct {
	conn      *upstreamConn
	body      io.Reader
	limit     int  // bytes
	neverSlow bool // the body is read up to the limit, however slowly it arrives

	received    int // bytes
	firstByteAt time.Time
	lastByteAt  time.Time
	forwardFrom time.Time // when the body is forwarded if it is still arriving; set by the first byte
}

// readAll returns the body, or its beginning if complete is false. The error is that of the connection, or that the body is
// malformed.
func (r *slowBodyReader) readAll() (body []byte, complete bool, err error) {
	body = make([]byte, 0, min(r.limit+1, minBuffered))
	for len(body) <= r.limit {
		if forward, err := r.waitForInput(); forward || err != nil {
			return body, false, err
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), r.limit+1)), body...)
		}
		n, err := r.body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		r.recordBytes(n)
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

// recordBytes records that n bytes of the body have arrived.
func (r *slowBodyReader) recordBytes(n int) {
	if n == 0 {
		return
	}
	r.lastByteAt = time.Now()
	r.received += n
	if r.forwardFrom.IsZero() {
		r.firstByteAt = r.lastByteAt
		r.forwardFrom = r.lastByteAt.Add(maxHoldTime)
		if last := r.conn.readDeadline().Add(-forwardMargin); last.Before(r.forwardFrom) {
			r.forwardFrom = last
		}
	}
}

// waitForInput waits until there is input, the connection ends or is closed at its deadline, or the body has to be forwarded from
// now on. The error is one of the operating system, which reports it only once.
func (r *slowBodyReader) waitForInput() (forward bool, err error) {
	switch {
	case r.neverSlow, r.forwardFrom.IsZero(): // nothing has arrived that could be forwarded
		return false, nil
	case r.stillArriving():
		return true, nil
	case r.conn.reader.Buffered() > 0, time.Now().After(r.forwardFrom):
		return false, nil
	}
	r.conn.SetReadDeadline(r.forwardFrom)
	err = r.conn.waitReadable()
	r.conn.restoreReadDeadline()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return r.stillArriving(), nil
	case errors.Is(err, io.EOF): // the body's reader decides whether this is its end
		return false, nil
	}
	return false, err
}

// stillArriving reports whether the time to forward has come, and the server has sent bytes recently and fast enough.
func (r *slowBodyReader) stillArriving() bool {
	now := time.Now()
	if now.Before(r.forwardFrom) || now.Sub(r.lastByteAt) >= arrivingGap {
		return false
	}
	expected := int(now.Sub(r.firstByteAt) * minResponseRate / time.Second)
	return r.received >= max(expected, minForwardedBytes)
}

// restoreReadDeadline sets the read deadline that the pool or the attempt has set last.
func (c *upstreamConn) restoreReadDeadline() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.SetReadDeadline(c.deadline)
}

// readDeadline returns the deadline of the current read as the pool or the attempt has set it.
func (c *upstreamConn) readDeadline() time.Time {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.deadline
}
