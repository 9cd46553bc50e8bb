package configwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Bounds of a controller's responses. They are a second line of defense: configversion's silence and open timeouts are
// shorter, and close what they have given up.
const (
	// dialTimeout is how long a connection to a controller may take.
	dialTimeout = 2 * time.Second
	// headTimeout is how long a watch's request, and the head of its response, may take.
	headTimeout = 5 * time.Second
	// readTimeout is the longest time without a byte on a watch.
	readTimeout = 10 * time.Second
	// ackTimeout is how long an acknowledgement and its response may take, each.
	ackTimeout = 2 * time.Second

	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 16 << 10
	// maxErrorBytes bounds the body of an error, and of the response to an acknowledgement.
	maxErrorBytes = 64 << 10
	// maxUpdateBytes bounds an update: a document, and the other fields.
	maxUpdateBytes = configapi.MaxDocumentBytes + 64<<10
	// readerBufferBytes is the read buffer of a connection. It is small, because a process may have hundreds of
	// sessions; larger updates go through the decoder's own buffer.
	readerBufferBytes = 1 << 10
)

// unlimited is the value of controllerConn.headBytesLeft outside of a head.
const unlimited = -1

// controllerConn is a connection to a controller, with a deadline for each read and write.
type controllerConn struct {
	net.Conn
	counters      *Counters
	reader        *bufio.Reader
	timeout       time.Duration
	headBytesLeft int // bytes that may still be read; unlimited: any number
}

// HeadTooLargeError reports that the head of a controller's response is over a number of bytes.
type HeadTooLargeError struct{ MaxBytes int }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is over %d bytes", e.MaxBytes)
}

// connect connects to a controller.
func connect(ctx context.Context, address string, options *Options) (*controllerConn, error) {
	raw, err := options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &controllerConn{Conn: raw, counters: options.Counters}
	c.reader = bufio.NewReaderSize(c, readerBufferBytes)
	return c, nil
}

// Read reads within the connection's timeout, and counts the bytes.
func (c *controllerConn) Read(buf []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, &HeadTooLargeError{maxHeadBytes}
	}
	if c.headBytesLeft > 0 {
		buf = buf[:min(len(buf), c.headBytesLeft)]
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buf)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	c.counters.BytesRead.Add(int64(n))
	return n, err
}

// Write writes within the connection's timeout, and counts the bytes.
func (c *controllerConn) Write(buf []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buf)
	c.counters.BytesWritten.Add(int64(n))
	return n, err
}

// exchangeHead sends a request and reads the head of its response.
func (c *controllerConn) exchangeHead(text []byte, request *http.Request) (*http.Response, error) {
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	c.headBytesLeft = maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.headBytesLeft = unlimited
	return response, err
}

// ResponseError reports that a response which is not 200 has no controller's error in its body.
type ResponseError struct{ Status string }

func (e *ResponseError) Error() string {
	return fmt.Sprintf("answered %s without a controller's error: check that the address is a controller's and what lies before it", e.Status)
}

// readError reads a controller's error from a response that is not 200. Its own error is a *ResponseError.
func readError(response *http.Response) (*configapi.Error, error) {
	apiError := &configapi.Error{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(apiError); err != nil {
		return nil, &ResponseError{response.Status}
	}
	return apiError, nil
}
