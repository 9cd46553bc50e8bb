package node

import (
	"bufio"
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// Limits on one response, in bytes. They protect the node from servers that send without end.
const (
	// responseHeadAllowance is for a response's head, the overhead of chunked encoding, and preceding 1xx responses.
	responseHeadAllowance = 16 << 10

	maxResponseHead     = maxBuffered                           // bytes read of a head and of preceding 1xx responses
	maxBufferedResponse = 2*maxBuffered + responseHeadAllowance // bytes read of a response before it is streamed
	maxStreamedResponse = 4 * maxStreamedBody                   // bytes of a streamed response
)

// Reasons why there is no response.
var (
	errMalformedResponse = errors.New("the server's response is too long or malformed") // also if its end is uncertain
	errUnsolicitedBytes  = errors.New("the server sent unsolicited bytes")              // on a connection without a pending request
	errNothingToRead     = errors.New("no bytes to read yet")                           // the connection is open
	errResponseAbandoned = errors.New("the client left as the response began")
)

// upstreamConn is a connection to a server. The comment of connPool lists its states.
//
// Its readLoop also reads while the connection is idle, so that a close by the server is detected before the next use.
type upstreamConn struct {
	net.Conn
	raw          syscall.RawConn
	number       uint64 // identifies the connection in the log; counts from 1 in each pool
	pool         *connPool
	target       *engine.Target
	bytesAllowed atomic.Int64           // bytes of the current response that may still be read
	reader       *bufio.Reader          // while a response is read; nil: none is
	responses    chan *upstreamResponse // receives one for each request

	// For the log; used by the attempt that has acquired the connection.
	connectedAt, releasedAt time.Duration // clock times
	uses                    int           // requests sent on it
	idleBefore              time.Duration // idle time before the last request

	// Guarded by pool.mu.
	idleElement      *list.Element // in pool.idle; nil: not idle
	requestPending   bool          // a request is being sent or was sent, and its response has not been read
	responseReceived bool          // a response was read since the connection was last idle
	deadline         time.Time     // of the current read and write, as last set by the pool or the attempt
	closed           bool
	closeReason      closeReason

	// Clock times, guarded by pool.mu.
	sentAt          time.Duration // when the last request was sent; for a streamed request, when its last byte was sent
	requestDeadline time.Duration // when the client of the last request stops waiting
	responseReadAt  time.Duration // when the last response had been read, except for a part that is streamed
	reusableAt      time.Duration // when the next request may be sent on it
	safeAt          time.Duration // when it is safe to reuse (connreuse.go)
}

// upstreamResponse is a response read from a connection, or the error that explains why there is none.
type upstreamResponse struct {
	head   *http.Response  // status and headers; Body must not be used
	body   []byte          // the complete body, or its beginning if stream is set
	stream *responseStream // the rest of the body; nil: body is complete
	err    error

	unsolicitedBytes bool // more bytes were read together with the response: the connection can't be reused
}

// Abandon implements engine.Abandoner. Without it, the attempt of a streamed response that nobody forwards would wait for the
// end of the stream indefinitely, and keep its connection.
func (r *upstreamResponse) Abandon() {
	if r.stream != nil {
		r.stream.finish(balancer.Canceled, errResponseAbandoned)
	}
}

// readLoop reads responses and delivers each to the waiting attempt, until the connection ends. It closes a connection
// that the server closed, that received unsolicited bytes, or whose idle timeout or deadline passed.
func (c *upstreamConn) readLoop() {
	for {
		idle, err := c.awaitResponse()
		if idle {
			return
		}
		response := &upstreamResponse{err: err}
		if err == nil {
			c.reader = responseReaders.Get().(*bufio.Reader)
			c.reader.Reset(c)
			response = c.readResponse()
			if response.err != nil {
				c.pool.close(c, c.closeReasonFor(response.err))
			}
			c.pool.endRequest(c)
		}
		c.responses <- response
		if response.stream != nil {
			<-response.stream.released
			response.stream.awaitRead()
		}
		c.releaseReader()
		if response.err != nil || response.head.Close {
			return
		}
	}
}

// responseReaders holds unused buffers of upstreamConn.reader. A connection that waits for a response needs none.
var responseReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, upstreamReadBuffer) }}

// releaseReader gives the buffer back after a response. Bytes that are left in it were reported as unsolicited.
func (c *upstreamConn) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		responseReaders.Put(c.reader)
		c.reader = nil
	}
}

// awaitResponse waits for the first byte of a response, or for the end of the connection. If there is no response to
// read, it closes the connection and returns an error. It also reports whether the connection was idle: if so, no attempt
// waits for a result.
//
// awaitResponse leaves the first byte in the kernel's buffer until it knows whether a request is pending, so that
// beginRequest detects the byte too.
func (c *upstreamConn) awaitResponse() (idle bool, err error) {
	for {
		err = c.waitReadable()
		c.pool.mu.Lock()
		idle = c.idleElement != nil
		// The idle timeout may expire just as an attempt acquires the connection and sets a later deadline.
		deadlineReplaced := !idle && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline)
		switch {
		case deadlineReplaced:
		case err == nil && !c.requestPending:
			err = errUnsolicitedBytes
			c.pool.suspectServer(c)
		case err != nil:
			c.pool.closeLocked(c, c.closeReasonFor(err))
		}
		c.pool.mu.Unlock()
		if !deadlineReplaced {
			return idle, err
		}
	}
}

// closeReasonFor returns the reason for closing a connection after reading from it failed with err.
func (c *upstreamConn) closeReasonFor(err error) closeReason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.uses > 0 && !c.requestPending:
		return closedForIdleTime
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedAtDeadline
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, new(syscall.Errno)):
		return closedByServer
	}
	return closedForResponse
}

// waitReadable waits until there are bytes to read, without reading them. It returns io.EOF at the end of the
// connection, os.ErrDeadlineExceeded at the read deadline, or the operating system's error.
func (c *upstreamConn) waitReadable() (err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		err = peekDescriptor(fd)
		return !errors.Is(err, errNothingToRead)
	})
	return cmp.Or(rawErr, err)
}

// peek checks without waiting whether there are bytes to read. It returns nil if there are, errNothingToRead if there are
// none yet, io.EOF at the end of the connection, or the operating system's error.
func (c *upstreamConn) peek() (err error) {
	controlErr := c.raw.Control(func(fd uintptr) { err = peekDescriptor(fd) })
	return cmp.Or(controlErr, err)
}

// peekDescriptor does the check of peek on a socket's file descriptor.
func peekDescriptor(fd uintptr) error {
	var first [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return errNothingToRead
		case err != nil:
			return err
		case n == 0:
			return io.EOF
		default:
			return nil
		}
	}
}

// Read reads from the connection, and fails with errMalformedResponse once the current response exceeds its size limit.
func (c *upstreamConn) Read(b []byte) (int, error) {
	allowed := c.bytesAllowed.Load()
	if allowed <= 0 {
		return 0, errMalformedResponse
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), allowed)])
	c.bytesAllowed.Add(-int64(n))
	return n, err
}

// readResponse reads one response, except for a part that is streamed, and skips preceding informational (1xx)
// responses. If it is uncertain where the response ends, it returns an error, because the bytes that follow may belong to
// another response.
func (c *upstreamConn) readResponse() *upstreamResponse {
	c.bytesAllowed.Store(maxResponseHead)
	for {
		head, err := http.ReadResponse(c.reader, nil)
		switch {
		case err != nil:
			return &upstreamResponse{err: err}
		case isInformational(head):
			continue
		case head.StatusCode < 100 || head.ContentLength > maxStreamedResponse:
			return &upstreamResponse{err: errMalformedResponse}
		}
		head.Header = keptHeaders(head.Header)
		if head.ContentLength > int64(c.pool.bufferLimit) {
			return c.beginStreamedResponse(head)
		}
		c.bytesAllowed.Add(maxBufferedResponse - maxResponseHead)
		return c.readBufferedResponse(head)
	}
}

// keptHeaders returns those headers of a response that are used, so that the others do not stay in memory with it.
func keptHeaders(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range []string{"Content-Type", headerRejected} {
		if value := header.Get(name); value != "" {
			kept.Set(name, value)
		}
	}
	return kept
}

func isInformational(head *http.Response) bool {
	return head.StatusCode >= 100 && head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols
}

// readBufferedResponse reads a response into memory. If its length was unknown and it exceeds the buffer limit, or if its server
// sends it slowly, the rest is streamed.
func (c *upstreamConn) readBufferedResponse(head *http.Response) *upstreamResponse {
	limit := newResponseLimit(head.ContentLength, time.Now())
	read := slowBodyReader{conn: c, body: head.Body, size: c.pool.bufferLimit, limit: limit}
	if head.ContentLength >= 0 || head.StatusCode != http.StatusOK {
		read.neverSlow = true
	}
	body, complete, err := read.readAll()
	if err == nil && !complete {
		c.bytesAllowed.Store(maxStreamedResponse)
		return &upstreamResponse{head: head, body: body, stream: newResponseStream(c, head.Body, limit, read.unfinished)}
	}
	unsolicited := c.reader.Buffered() > 0
	head.Close = head.Close || unsolicited
	return &upstreamResponse{head: head, body: body, err: err, unsolicitedBytes: unsolicited}
}

// beginStreamedResponse reads the first bytes of a response's body and returns the response with them. The rest of the body is
// streamed, or all of it if its first bytes don't come before the client's deadline and the head alone is the beginning in time.
func (c *upstreamConn) beginStreamedResponse(head *http.Response) *upstreamResponse {
	limit := newResponseLimit(head.ContentLength, time.Now())
	var body []byte
	if !c.headIsForwarded(head, limit) {
		body = make([]byte, min(c.pool.bufferLimit, streamChunk))
		n, err := head.Body.Read(body)
		if err != nil && n == 0 {
			return &upstreamResponse{err: err}
		}
		limit.record(n, time.Now())
		body = body[:n]
	}
	c.bytesAllowed.Store(maxStreamedResponse)
	return &upstreamResponse{head: head, body: body, stream: newResponseStream(c, head.Body, limit, nil)}
}

// headIsForwarded waits for the body of a response, and reports whether its head has to be forwarded without any of it: the client's
// deadline is near, and the response is long, so that only its first bytes are due then.
func (c *upstreamConn) headIsForwarded(head *http.Response, limit *responseLimit) bool {
	deadline := c.readDeadline()
	if head.StatusCode != http.StatusOK || !limit.long() || deadline.Before(c.clientDeadline()) || c.reader.Buffered() > 0 {
		return false
	}
	c.SetReadDeadline(deadline.Add(-forwardMargin))
	err := c.waitReadable()
	c.restoreReadDeadline()
	return errors.Is(err, os.ErrDeadlineExceeded)
}
