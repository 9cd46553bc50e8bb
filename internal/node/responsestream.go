package node

import (
	"io"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// stallTimeout is how long a server may pause within a streamed response, or may take for one chunk of a streamed
// request. One that stalls longer would hold its client for as long as it likes.
const stallTimeout = 5 * time.Second

// responseStream is the part of a response that is not buffered.
//
// It is read by the goroutine that serves the client, which calls finish once. The attempt's goroutine waits for that
// result, then closes or releases the connection and closes released; only then the connection's own readLoop goes on.
type responseStream struct {
	conn     *upstreamConn
	body     io.Reader
	result   chan streamResult // takes the one result without blocking
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

// Read reads what the server sends. It fails with os.ErrDeadlineExceeded when nothing comes for stallTimeout.
func (s *responseStream) Read(b []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return s.body.Read(b)
}

// finish reports how the stream ended to the attempt that waits for it.
func (s *responseStream) finish(outcome balancer.Outcome, err error) {
	s.result <- streamResult{outcome, err}
}
