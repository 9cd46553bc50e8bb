package node

import (
	"io"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// responseStream is the part of a response that is not buffered.
//
// The goroutine that serves the client reads it, and calls finish once. The attempt's goroutine waits for that result,
// closes the connection if the stream failed, and then closes released. Only then does the connection's readLoop
// continue.
type responseStream struct {
	conn     *upstreamConn
	body     io.Reader
	limit    *responseLimit
	started  bool              // limit has its deadline
	begun    *bodyRead         // a read that was in progress as the response began to be forwarded; nil: none, or all of it was returned
	result   chan streamResult // buffered, so that finish does not block
	released chan struct{}     // closed when readLoop may read from the connection again
}

// streamResult is how a stream ended.
type streamResult struct {
	outcome balancer.Outcome
	err     error
}

// newResponseStream returns the stream of the rest of a response. limit has recorded what was buffered of it.
// begun is nil if no read is in progress.
func newResponseStream(c *upstreamConn, body io.Reader, limit *responseLimit, begun *bodyRead) *responseStream {
	return &responseStream{conn: c, body: body, limit: limit, begun: begun, result: make(chan streamResult, 1), released: make(chan struct{})}
}

// Read reads from the server. It fails with os.ErrDeadlineExceeded if the response has to end (responseLimit).
func (s *responseStream) Read(b []byte) (int, error) {
	if !s.started { // not earlier: the deadline of a streamed request is known when its last byte has been sent
		s.started = true
		s.limit.start(s.conn.clientDeadline(), time.Now())
	}
	s.conn.SetReadDeadline(s.limit.beginWait(time.Now()))
	n, err := s.readBody(b)
	s.limit.record(n, time.Now())
	return n, err
}

// readBody reads from the body. What the read in progress returns comes first.
func (s *responseStream) readBody(b []byte) (int, error) {
	if s.begun == nil {
		return s.body.Read(b)
	}
	<-s.begun.done
	n := copy(b, s.begun.buf[:s.begun.n])
	s.begun.buf, s.begun.n = s.begun.buf[n:], s.begun.n-n
	if s.begun.n > 0 {
		return n, nil
	}
	err := s.begun.err
	s.begun = nil
	return n, err
}

// awaitRead waits until no read is in progress. The connection must be closed, or the response read to its end.
func (s *responseStream) awaitRead() {
	if s.begun != nil {
		<-s.begun.done
	}
}

// clientDeadline returns when the client stops waiting for the response that is being read. For a request whose body is streamed, this
// is known when its last byte has been sent.
func (c *upstreamConn) clientDeadline() time.Time {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.clock.ToTime(c.requestDeadline)
}

// chunkSize returns the size in bytes of the pieces in which the response is forwarded.
func (s *responseStream) chunkSize() int { return min(s.conn.pool.bufferLimit, streamChunk) }

// finish reports how the stream ended to the waiting attempt.
func (s *responseStream) finish(outcome balancer.Outcome, err error) {
	s.result <- streamResult{outcome, err}
}
