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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/engine"
)

// Bounds of one response, in bytes. They guard against servers that send without end.
const (
	// responseHeadAllowance is for a response's head, what chunks add, and any 1xx responses ahead.
	responseHeadAllowance = 16 << 10

	maxBufferedResponse = 2*maxBuffered + responseHeadAllowance // read of a response before it is streamed
	maxStreamedResponse = 4 * maxStreamedBody                   // of a response that is streamed
)

// Why there is no response to read.
var (
	errMalformedResponse = errors.New("response too long or malformed")         // or its end can't be trusted
	errUnsolicitedBytes  = errors.New("the server sent bytes nobody asked for") // on a connection without a request
	errNothingToRead     = errors.New("nothing to read yet")                    // the connection is open and silent
)

// upstreamConn is a connection to a server. Its states are those of connPool.
//
// Its readLoop always reads, also while it is idle, so that a close by the server is seen before the next use.
type upstreamConn struct {
	net.Conn
	raw          syscall.RawConn
	number       uint64 // of the pool's connections, from 1; for the log
	pool         *connPool
	target       *engine.Target
	bytesAllowed int // that may still come before the response is too long; readLoop's own
	reader       *bufio.Reader
	responses    chan *upstreamResponse // one for each request

	// For the log; used by the attempt that has the connection.
	connectedAt, releasedAt time.Duration // clock times
	uses                    int           // requests sent on it
	idleBefore              time.Duration // how long it was idle before the last of them

	// Guarded by pool.mu.
	idleElement      *list.Element // in pool.idle; nil: in use
	requestPending   bool          // a request is on its way, and its response has not been read
	responseReceived bool          // a response has come since it was idle last
	deadline         time.Time     // of what it now waits for
	closed           bool
	closeReason      closeReason

	// Guarded by pool.mu; clock times.
	sentAt          time.Duration // of the last request; of one that is streamed, of its last byte
	requestDeadline time.Duration // of the last request, at its client
	responseReadAt  time.Duration // when its response had been read, as far as it is buffered
	reusableAt      time.Duration // when it may carry the next request
	safeAt          time.Duration // when it counts as proven
}

// upstreamResponse is what came back on a connection: a response, or the reason that there is none.
type upstreamResponse struct {
	head   *http.Response  // status and headers; its Body must not be used
	body   []byte          // all of the body, or its beginning
	stream *responseStream // the rest of a body that is not buffered; nil: body is all of it
	err    error

	unsolicitedBytes bool // more came behind it in the same read: the connection can't be used again
}

// readLoop reads responses, hands each to the attempt that waits for it, and ends with the connection. It closes a
// connection that the server closed while it was idle, that brings bytes nobody asked for, or that was idle for long.
func (c *upstreamConn) readLoop() {
	for {
		c.bytesAllowed = maxBufferedResponse
		idle, err := c.awaitResponse()
		if idle {
			return
		}
		response := &upstreamResponse{err: err}
		if err == nil {
			response = c.readResponse()
			if response.err != nil {
				c.pool.close(c, c.closeReasonFor(response.err))
			}
			c.pool.endRequest(c)
		}
		c.responses <- response
		if response.stream != nil {
			<-response.stream.released
		}
		if response.err != nil || response.head.Close {
			return
		}
	}
}

// awaitResponse waits for the first byte of a response, or for the end of the connection. It closes the connection if
// there is no response to read, and reports whether it was idle then: no attempt waits for a result.
//
// The byte is left with the system until it is known whether a request is out, so that markRequestSent sees it too.
func (c *upstreamConn) awaitResponse() (idle bool, err error) {
	for {
		err = c.waitReadable()
		c.pool.mu.Lock()
		idle = c.idleElement != nil
		// The idle timeout may run out just as an attempt takes the connection, which has set a later deadline.
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

// closeReasonFor is why a connection is closed whose reading failed with an error.
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

// waitReadable waits until there is something to read, and leaves it there. The error is io.EOF if that is the end of the
// connection, os.ErrDeadlineExceeded, or the system's.
func (c *upstreamConn) waitReadable() (err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		err = peekDescriptor(fd)
		return !errors.Is(err, errNothingToRead)
	})
	return cmp.Or(rawErr, err)
}

// peek says what there is to read, without waiting: nil for bytes, errNothingToRead, io.EOF for the end of the connection,
// or the system's error.
func (c *upstreamConn) peek() (err error) {
	controlErr := c.raw.Control(func(fd uintptr) { err = peekDescriptor(fd) })
	return cmp.Or(controlErr, err)
}

// peekDescriptor is look at a descriptor.
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

// Read bounds what one response may bring: some servers send without end.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.bytesAllowed <= 0 {
		return 0, errMalformedResponse
	}
	n, err := c.Conn.Read(b[:min(len(b), c.bytesAllowed)])
	c.bytesAllowed -= n
	return n, err
}

// readResponse reads one response, as far as it is buffered. Informational (1xx) responses ahead of it are skipped. A
// response whose end can't be trusted could be anybody's: its attempt has lost its connection.
func (c *upstreamConn) readResponse() *upstreamResponse {
	for {
		head, err := http.ReadResponse(c.reader, nil)
		switch {
		case err != nil:
			return &upstreamResponse{err: err}
		case isInformational(head):
			continue
		case head.StatusCode < 100 || head.ContentLength > maxStreamedResponse:
			return &upstreamResponse{err: errMalformedResponse}
		case head.ContentLength > int64(c.pool.bufferLimit):
			return c.beginStreamedResponse(head, make([]byte, streamChunk))
		}
		return c.readBufferedResponse(head)
	}
}

func isInformational(head *http.Response) bool {
	return head.StatusCode >= 100 && head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols
}

// readBufferedResponse reads a response into memory. One of unknown length that proves too large is streamed from there.
func (c *upstreamConn) readBufferedResponse(head *http.Response) *upstreamResponse {
	limit := c.pool.bufferLimit
	body, err := io.ReadAll(io.LimitReader(head.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		c.bytesAllowed = maxStreamedResponse
		return &upstreamResponse{head: head, body: body, stream: newResponseStream(c, head.Body)}
	}
	unsolicited := c.reader.Buffered() > 0
	head.Close = head.Close || unsolicited
	return &upstreamResponse{head: head, body: body, err: err, unsolicitedBytes: unsolicited}
}

// beginStreamedResponse is a response that is streamed from its first bytes, which are read into buf.
func (c *upstreamConn) beginStreamedResponse(head *http.Response, buf []byte) *upstreamResponse {
	n, err := head.Body.Read(buf)
	if err != nil && n == 0 {
		return &upstreamResponse{err: err}
	}
	c.bytesAllowed = maxStreamedResponse
	return &upstreamResponse{head: head, body: buf[:n], stream: newResponseStream(c, head.Body)}
}
