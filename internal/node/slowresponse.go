package node

import (
	"errors"
	"io"
	"time"
)

const (
	// maxHoldTime is how long a response of unknown length is held before it is forwarded while it arrives. As long as it is
	// held, a response that breaks off can be replaced by another server's.
	maxHoldTime = time.Second

	// forwardMargin is the time before the deadline of an attempt at which a response that is still arriving is forwarded.
	forwardMargin = 100 * time.Millisecond
)

// slowBodyReader reads the body of a response that is to be buffered. It stops when the body exceeds its size limit, and when its
// server sends it so slowly that it has to be forwarded while it arrives: otherwise the attempt's deadline would cut off a
// response that the server still sends.
type slowBodyReader struct {
	conn      *upstreamConn
	body      io.Reader
	size      int  // bytes that are buffered at most
	neverSlow bool // the body is read up to that size, however slowly it arrives

	limit       *responseLimit
	forwardFrom time.Time // when the body is forwarded if it is still arriving; set by the first byte
	unfinished  *bodyRead // in progress as the body has to be forwarded; nil: none is
}

// bodyRead is one read of a body in a goroutine of its own. A read that was given up would leave a chunked body unreadable, and a read
// of the framing between two pieces waits for the next piece. So a response is forwarded while a read is in progress.
type bodyRead struct {
	buf  []byte
	n    int           // valid after done
	err  error         // valid after done
	done chan struct{} // closed when the read has returned
}

// startBodyRead starts to read into buf.
func startBodyRead(body io.Reader, buf []byte) *bodyRead {
	read := &bodyRead{buf: buf, done: make(chan struct{})}
	go func() {
		defer close(read.done)
		read.n, read.err = body.Read(buf)
	}()
	return read
}

// readAll returns the body, or its beginning if complete is false. The error is that of the connection, or that the body is
// malformed.
func (r *slowBodyReader) readAll() (body []byte, complete bool, err error) {
	body = make([]byte, 0, min(r.size+1, minBuffered))
	for len(body) <= r.size {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), r.size+1)), body...)
		}
		n, forward, err := r.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		r.recordBytes(n)
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case forward || err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

// read reads into buf, or reports that the body has to be forwarded from now on. The read is then unfinished.
func (r *slowBodyReader) read(buf []byte) (n int, forward bool, err error) {
	if r.neverSlow || r.forwardFrom.IsZero() { // nothing has arrived that could be forwarded
		n, err = r.body.Read(buf)
		return n, false, err
	}
	read := startBodyRead(r.body, buf)
	timer := time.NewTimer(time.Until(r.forwardFrom))
	defer timer.Stop()
	select {
	case <-read.done:
		return read.n, false, read.err
	case <-timer.C:
	}
	if !r.limit.begunSoundly(time.Now()) {
		<-read.done
		return read.n, false, read.err
	}
	r.conn.SetReadDeadline(later(r.conn.readDeadline(), r.conn.clientDeadline()).Add(lateAnswerAllowance)) // until the stream sets its own
	r.unfinished = read
	return 0, true, nil
}

// recordBytes records that n bytes of the body have arrived.
func (r *slowBodyReader) recordBytes(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	r.limit.record(n, now)
	if r.forwardFrom.IsZero() {
		r.forwardFrom = earlier(now.Add(maxHoldTime), r.conn.readDeadline().Add(-forwardMargin))
	}
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
