package node

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of bodies, in bytes. What is larger than the buffer limit is streamed in chunks.
const (
	minBuffered     = 4 << 10  // buffered of a body or a response, however little memory there is
	maxBuffered     = 64 << 10 // buffered of a body or a response at most
	maxStreamedBody = 64 << 20 // of a request's body: twice the size that the node is asked to carry
	streamChunk     = 32 << 10 // of one step in streaming
)

// Parts of the node's memory that buffered data may take in all, as divisors. The rest is for the program itself and for
// the buffers of streams.
const (
	requestBodyMemoryDivisor = 4 // a quarter for request bodies
	responseMemoryDivisor    = 6 // a sixth for responses
)

// Times that guard against bodies that trickle in (slow loris): each would hold a slot, and a connection to a server,
// for as long as its client likes.
const (
	// bodyTimeAllowance is given to every body, beside the time that its bytes take at minBodyRate.
	bodyTimeAllowance = 800 * time.Millisecond

	// minBodyRate is the rate in bytes a second that a body has to keep to. Clients have twice that.
	minBodyRate = 32 << 10

	// firstBodyDeadline is the time after accepting a connection by which the body of its first request has to have
	// begun: a client that sends nothing sound is owed an answer or a close within 3 s of connecting.
	firstBodyDeadline = 2900 * time.Millisecond

	// maxBodyTimeLeft caps the time that a body gains by coming faster than minBodyRate: else a client could send most
	// of it at once and be silent for minutes.
	maxBodyTimeLeft = stallTimeout

	// maxBodyDuration bounds the time for a whole body. None that keeps to minBodyRate takes longer.
	maxBodyDuration = maxStreamedBody / minBodyRate * time.Second
)

// errRequestBody says that a client's body did not come, came too slowly or was too long. It is the client's fault.
var errRequestBody = errors.New("the body could not be read")

// bufferLimit is how many bytes of one body or response are buffered, where so many may be at once: at most maxBuffered,
// and all together no more than a share of the node's memory (0: no limit is set). Nothing has to be counted, and no
// request waits or is rejected for memory: what does not fit is streamed.
func bufferLimit(memoryMB, memoryDivisor, atOnce int) int {
	if memoryMB == 0 {
		return maxBuffered
	}
	return min(max(memoryMB<<20/memoryDivisor/max(atOnce, 1), minBuffered), maxBuffered)
}

// bodyReader reads a client's body and holds it to minBodyRate. Only the time that is spent waiting for the client counts.
//
// One goroutine reads at a time: first the one that serves the request, then that of the attempt that sends the body.
// The request's goroutine calls close when it has the answer, which also ends a read that waits.
type bodyReader struct {
	body            io.Reader
	setReadDeadline func(time.Time) error
	timeLeft        time.Duration // until the next byte has to come; grows with what has come
	bytesRead       int64
	remainderUsed   atomic.Bool // the part that is not buffered was begun: the body can't be sent again

	mu     sync.Mutex // over the deadline and what follows
	closed bool
	err    error // how the body ended; io.EOF: completely
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	reader := &bodyReader{body: r.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, timeLeft: bodyTimeAllowance}
	if c := connOf(r); c != nil && c.head.Count() <= 1 {
		reader.timeLeft = min(reader.timeLeft, time.Until(c.acceptedAt.Add(firstBodyDeadline)))
	}
	return reader
}

// Read reads the next bytes of the body. It returns io.EOF at its end, errRequestBody when it is too long or the reader
// was closed, else the error of the connection.
func (r *bodyReader) Read(b []byte) (int, error) {
	begin := time.Now()
	if err := r.setDeadline(begin); err != nil {
		return 0, err
	}
	n, err := r.body.Read(b[:min(len(b), streamChunk)])
	r.timeLeft = min(r.timeLeft+time.Duration(n)*time.Second/minBodyRate-time.Since(begin), maxBodyTimeLeft)
	if r.bytesRead += int64(n); r.bytesRead > maxStreamedBody { // chunked: its length was not announced
		err = errRequestBody
	}
	if err != nil {
		r.finish(err)
	}
	return n, err
}

// setDeadline sets the deadline of the next read, or returns why there is none.
func (r *bodyReader) setDeadline(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.err != nil:
		return r.err
	case r.closed:
		return errRequestBody
	}
	r.setReadDeadline(now.Add(r.timeLeft))
	return nil
}

// finish records how the body ended.
func (r *bodyReader) finish(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if r.err = err; err == io.EOF {
		r.setReadDeadline(time.Time{}) // from here on reads only watch for the client's leaving
	}
}

// close ends reading, also a read that waits. It reports whether the body came completely, and whether it broke. The
// connection's deadline is net/http's again.
func (r *bodyReader) close() (complete, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.err == nil {
		r.setReadDeadline(time.Now())
	}
	return r.err == io.EOF, r.err != nil && r.err != io.EOF
}

// unsendable reports whether the body can't be sent to its end any more: the client ended it or held it back, or the
// request is over. A body of which more is to come is not unsendable.
func (r *bodyReader) unsendable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed || r.err != nil && r.err != io.EOF
}

// remainingBody is the part of a body that is not buffered, for the one attempt that sends it.
type remainingBody struct{ *bodyReader }

func (r remainingBody) Read(b []byte) (int, error) {
	r.remainderUsed.Store(true)
	return r.bodyReader.Read(b)
}
