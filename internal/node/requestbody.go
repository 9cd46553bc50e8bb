package node

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of bodies in bytes. A body larger than the buffer limit is streamed in chunks.
const (
	minBuffered     = 4 << 10  // lowest buffer limit of a body or response, however little memory there is
	maxBuffered     = 64 << 10 // highest buffer limit of a body or response
	maxStreamedBody = 64 << 20 // maximum request body: twice the size that the node is required to forward
	streamChunk     = 32 << 10 // maximum size of one read while streaming
)

// Timeouts that protect against bodies sent very slowly (slow loris). Without them such a body would hold a slot, and a
// connection to a server, indefinitely.
const (
	// bodyTimeAllowance is the time that every body has in addition to the time that its bytes take at minBodyRate.
	bodyTimeAllowance = 2 * time.Second

	// minBodyRate is the minimum rate of a body in bytes per second. Sound peers reach almost twice that.
	minBodyRate = 32 << 10

	// firstBodyDeadline is the time after accepting a connection by which the body of its first request must have begun. A
	// client that sends no valid request must get an answer or be disconnected within 3 s of connecting.
	firstBodyDeadline = 2900 * time.Millisecond

	// maxBodyDuration bounds the time for a complete body. No body that keeps to minBodyRate takes longer.
	maxBodyDuration = maxStreamedBody / minBodyRate * time.Second
)

// httpReadBuffer is the size in bytes of the buffer with which net/http reads a connection.
const httpReadBuffer = 4 << 10

// errRequestBody means that a client's body did not arrive, arrived too slowly or was too long. The client is at fault.
var errRequestBody = errors.New("the body could not be read")

// bodyReader reads a client's body and enforces sendingClientPace. Only the time spent waiting for the client counts.
//
// One goroutine reads at a time: first the one that serves the request, then that of the attempt that sends the body. The
// request's goroutine calls close when it has the answer, which also ends a blocked read.
type bodyReader struct {
	body             io.Reader
	setReadDeadline  func(time.Time) error
	progress         transferProgress // its credit is the time until the next byte must arrive
	bytesRead        atomic.Int64
	contentLength    int64       // of the complete body, in bytes; -1: unknown
	remainderStarted atomic.Bool // the unbuffered part has been read from: the body can't be sent again

	mu     sync.Mutex // guards the read deadline and the fields below
	closed bool
	err    error // how the body ended; io.EOF: it is complete
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	return &bodyReader{
		body:            r.Body,
		contentLength:   r.ContentLength,
		setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		progress:        sendingClientPace.begin(bodyTimeLimit(connOf(r), bodyTimeAllowance)),
	}
}

// bodyTimeLimit limits the time for a part of a body: on the first request of a connection, it ends at firstBodyDeadline.
// conn is nil in tests without a connection.
func bodyTimeLimit(conn *clientConn, limit time.Duration) time.Duration {
	if conn != nil && conn.head.Count() <= 1 {
		return min(limit, time.Until(conn.acceptedAt.Add(firstBodyDeadline)))
	}
	return limit
}

// Read reads the next bytes of the body. It returns io.EOF at the end, errRequestBody if the body is too long or the reader
// is closed, or the error of the connection.
func (r *bodyReader) Read(b []byte) (int, error) {
	begin := time.Now()
	if err := r.setDeadline(begin); err != nil {
		return 0, err
	}
	n, err := r.body.Read(b[:min(len(b), streamChunk)])
	r.progress.record(int64(n), time.Since(begin))
	if r.bytesRead.Add(int64(n)) > maxStreamedBody { // a chunked body does not announce its length
		err = errRequestBody
	}
	if err != nil {
		r.finish(err)
	}
	return n, err
}

// setDeadline sets the deadline of the next read. It returns an error if the body has ended or the reader is closed.
func (r *bodyReader) setDeadline(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.err != nil:
		return r.err
	case r.closed:
		return errRequestBody
	}
	r.setReadDeadline(now.Add(r.progress.credit))
	return nil
}

// whileReading calls f and returns true, or returns false if the body has ended or the reader is closed. net/http may read the
// connection then, but not during f.
func (r *bodyReader) whileReading(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.err != nil {
		return false
	}
	f()
	return true
}

// finish records how the body ended.
func (r *bodyReader) finish(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if r.err = err; err == io.EOF {
		r.setReadDeadline(time.Time{}) // further reads only detect that the client leaves
	}
}

// close ends reading, including a blocked read. It reports whether the body was received completely, and whether reading it
// failed. Afterwards only net/http sets the connection's deadline.
func (r *bodyReader) close() (complete, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.err == nil {
		r.setReadDeadline(time.Now())
	}
	return r.err == io.EOF, r.err != nil && r.err != io.EOF
}

// unsendable reports whether the body can no longer be sent completely: reading it has failed, or the request is over. It
// returns false while more of the body is expected.
func (r *bodyReader) unsendable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed || r.err != nil && r.err != io.EOF
}

// remainingBody reads the unbuffered part of a body, for the one attempt that sends it.
type remainingBody struct {
	*bodyReader
	presence *clientPresence
}

// Read reads the next bytes. It fails with errRequestBody if the client has gone, so that the server does not get the last byte.
func (r remainingBody) Read(b []byte) (int, error) {
	r.remainderStarted.Store(true)
	if r.presence.gone() {
		r.finish(errRequestBody)
		return 0, errRequestBody
	}
	return r.bodyReader.Read(b)
}
