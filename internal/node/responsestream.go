package node

import (
	"io"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// stallTimeout is how long a server may pause within a streamed response, or may take to receive one chunk of a
// streamed request. Without it, a stalled server would hold up its client indefinitely.
const stallTimeout = 5 * time.Second

// responseStream is the part of a response that is not buffered.
//
// The goroutine that serves the client reads it, and calls finish once. The attempt's goroutine waits for that result,
// closes the connection if the stream failed, and then closes released. Only then does the connection's readLoop
// continue.
type responseStream struct {
	conn     *upstreamConn
	body     io.Reader
	result   chan streamResult // buffered, so that finish does not block
	released chan struct{}     // closed when readLoop may read from the connection again
}

// streamResult is how a stream ended.
type streamResult struct {
	outcome balancer.Outcome
	err     error
}

func newResponseStream(c *upstreamConn, body io.Reader) *responseStream {
	return &responseStream{conn: c, body: body, result: make(chan streamResult, 1), released: make(chan struct{})}
}

// Read reads from the server. It fails with os.ErrDeadlineExceeded if nothing arrives for stallTimeout.
func (s *responseStream) Read(b []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return s.body.Read(b)
}

// chunkSize returns the size in bytes of the pieces in which the response is forwarded.
func (s *responseStream) chunkSize() int { return min(s.conn.pool.bufferLimit, streamChunk) }

// finish reports how the stream ended to the waiting attempt.
func (s *responseStream) finish(outcome balancer.Outcome, err error) {
	s.result <- streamResult{outcome, err}
}
