package configwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/watchstream"
)

// Bounds on a controller's answers. The rules of a session are quicker: these end what they have given up.
const (
	dialTimeout       = 2 * time.Second
	headTimeout       = 5 * time.Second  // a watch's request and the head of its answer
	readTimeout       = 10 * time.Second // silence within a watch
	ackTimeout        = 2 * time.Second  // an acknowledgement and its answer
	maxHeadBytes      = 16 << 10         // bytes of an answer's head
	maxErrorBytes     = 64 << 10         // bytes of a refusal
	maxUpdateBytes    = configapi.MaxDocumentBytes + 64<<10
	readerBufferBytes = 1 << 10 // bytes; an update that is larger goes through the decoder's own
)

// controllerConn is a connection to a controller, with a deadline on each read and write.
type controllerConn struct {
	net.Conn
	counters      *Counters
	reader        *bufio.Reader
	timeout       time.Duration
	headBytesLeft int // bytes that may still come; below 0: any number
}

var errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", maxHeadBytes)

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

// Read reads within the connection's timeout.
func (c *controllerConn) Read(buf []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
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

// Write writes within the connection's timeout.
func (c *controllerConn) Write(buf []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buf)
	c.counters.BytesWritten.Add(int64(n))
	return n, err
}

// exchangeHead sends a request and reads the head of its answer.
func (c *controllerConn) exchangeHead(text []byte, request *http.Request) (*http.Response, error) {
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	c.headBytesLeft = maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.headBytesLeft = -1
	return response, err
}

// watch opens a watch and posts what comes, until it ends. What it returns is the end.
func (s *Session) watch(ctx context.Context, open configversion.OpenWatch) configversion.SessionEvent {
	ended := configversion.WatchEnded{Watch: open.Watch}
	s.options.Counters.Watches.Add(1)
	c, err := connect(ctx, open.Address, &s.options)
	if err != nil {
		return ended
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.timeout = headTimeout
	text := fmt.Appendf(nil, "GET %s?%s HTTP/1.1\r\nHost: %s\r\n\r\n", configapi.PathWatch, open.Request.Query(), open.Address)
	response, err := c.exchangeHead(text, nil)
	if err != nil {
		return ended
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal, err := readError(response)
		if err != nil {
			return ended
		}
		s.options.Log.Debug("watch refused", "controller", open.Address, "err", refusal)
		return configversion.WatchRejected{Watch: open.Watch, Err: *refusal}
	}
	c.timeout = readTimeout
	err = s.readUpdates(ctx, open.Watch, response.Body)
	if ctx.Err() == nil {
		s.options.Log.Debug("watch ended", "controller", open.Address, "err", err)
	}
	return ended
}

func (s *Session) readUpdates(ctx context.Context, watch uint64, body io.Reader) error {
	heard := &activityReporter{session: s, ctx: ctx, watch: watch}
	reader := watchstream.NewReader[configapi.Update](body, maxUpdateBytes, heard)
	for {
		update, err := reader.Next()
		if err != nil {
			return err
		}
		s.options.Counters.Updates.Add(1)
		s.post(ctx, configversion.WatchUpdated{Watch: watch, Update: update})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// activityReporter posts the signs of life of a watch.
type activityReporter struct {
	session *Session
	ctx     context.Context
	watch   uint64
}

func (d *activityReporter) Blank() {
	d.session.options.Counters.Heartbeats.Add(1)
	d.session.post(d.ctx, configversion.WatchActivity{Watch: d.watch})
}
func (d *activityReporter) Begun() { d.Part() }
func (d *activityReporter) Part() {
	d.session.post(d.ctx, configversion.WatchActivity{Watch: d.watch, UpdateInProgress: true})
}

// readError reads a controller's error from an answer.
func readError(response *http.Response) (*configapi.Error, error) {
	refusal := &configapi.Error{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(refusal); err != nil {
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	return refusal, nil
}

// ackClient sends acknowledgements, one at a time, over a connection that it keeps.
type ackClient struct {
	options    *Options
	address    string
	connection *controllerConn // nil: none
}

// send sends an acknowledgement and waits for its answer.
func (a *ackClient) send(ctx context.Context, address string, ack configapi.Acknowledgement) error {
	body, err := json.Marshal(ack)
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		configapi.PathAck, address, len(body), body)
	if a.address != address {
		a.close()
	}
	if a.connection != nil {
		var refusal *configapi.Error
		if err = a.exchange(ctx, text); err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
	} // the controller has closed it meanwhile, as a rule: an acknowledgement may be sent twice
	if a.connection, err = connect(ctx, address, a.options); err != nil {
		return err
	}
	a.address = address
	return a.exchange(ctx, text)
}

// exchange sends a request over the kept connection, which ends if the answer says so or does not come.
func (a *ackClient) exchange(ctx context.Context, text []byte) (err error) {
	c := a.connection
	defer context.AfterFunc(ctx, func() { c.Close() })()
	keep := false
	defer func() {
		if !keep {
			a.close()
		}
	}()
	c.timeout = ackTimeout
	response, err := c.exchangeHead(text, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal, err := readError(response)
		if err != nil {
			return err
		}
		return refusal
	}
	_, err = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	keep = errors.Is(err, io.EOF) && !response.Close
	return nil
}

// close ends the kept connection.
func (a *ackClient) close() {
	if a.connection != nil {
		a.connection.Close()
		a.connection = nil
	}
}
