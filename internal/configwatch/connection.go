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

// Limits for calls to controllers and their responses. They are a second safeguard: the silence timeout and the open
// timeout of configversion are shorter, and close a watch earlier.
const (
	// dialTimeout limits the time to connect to a controller.
	dialTimeout = 2 * time.Second
	// headTimeout limits the time to write a watch's request, and the time between two reads of the response head.
	headTimeout = 5 * time.Second
	// readTimeout is the longest time without a byte on a watch.
	readTimeout = 10 * time.Second
	// ackTimeout limits the time to write an acknowledgement, and the time between two reads of the response.
	ackTimeout = 2 * time.Second

	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 16 << 10
	// maxErrorBytes limits the body of an error, and the body of the response to an acknowledgement.
	maxErrorBytes = 64 << 10
	// maxUpdateBytes limits an update, which contains a document and other fields.
	maxUpdateBytes = configapi.MaxDocumentBytes + 64<<10
	// readerBufferBytes is the size of a connection's read buffer. It is small because a process may have hundreds of
	// sessions. The decoder buffers larger updates itself.
	readerBufferBytes = 1 << 10
)

// unlimited is the value of controllerConn.headBytesLeft while no response head is being read.
const unlimited = -1

// controllerConn is a connection to a controller that sets a deadline for each read and write.
type controllerConn struct {
	net.Conn
	counters      *Counters
	reader        *bufio.Reader
	timeout       time.Duration
	headBytesLeft int // how many bytes of the response head may still be read, or unlimited
}

// HeadTooLargeError reports that the head of a controller's response exceeds MaxBytes.
type HeadTooLargeError struct{ MaxBytes int }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the response exceeds %d bytes", e.MaxBytes)
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

// Read implements io.Reader. It limits the read to the connection's timeout and counts the bytes.
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

// Write implements io.Writer. It limits the write to the connection's timeout and counts the bytes.
func (c *controllerConn) Write(buf []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buf)
	c.counters.BytesWritten.Add(int64(n))
	return n, err
}

// exchangeHead sends a request and reads the head of the response.
func (c *controllerConn) exchangeHead(text []byte, request *http.Request) (*http.Response, error) {
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	c.headBytesLeft = maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.headBytesLeft = unlimited
	return response, err
}

// ResponseError reports that a response with a status other than 200 does not contain a controller's error.
type ResponseError struct{ Status string }

func (e *ResponseError) Error() string {
	return fmt.Sprintf("the response %s does not contain a controller's error: check that the address belongs to a controller, and check any proxy in front of it", e.Status)
}

// readError decodes the controller's error from a response with a status other than 200. If that fails, it returns a
// *ResponseError.
func readError(response *http.Response) (*configapi.Error, error) {
	apiError := &configapi.Error{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(apiError); err != nil {
		return nil, &ResponseError{response.Status}
	}
	return apiError, nil
}
