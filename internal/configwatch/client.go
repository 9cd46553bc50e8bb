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
	dialTimeout  = 2 * time.Second
	headTimeout  = 5 * time.Second  // a watch's request and the head of its answer
	readTimeout  = 10 * time.Second // silence within a watch
	ackTimeout   = 2 * time.Second  // an acknowledgement and its answer
	maxHead      = 16 << 10         // bytes of an answer's head
	maxRefusal   = 64 << 10         // bytes of a refusal
	maxUpdate    = configapi.MaxDocument + 64<<10
	readerBuffer = 1 << 10 // bytes; an update that is larger goes through the decoder's own
)

// connection is a connection to a controller, with a deadline on each read and write.
type connection struct {
	net.Conn
	counters *Counters
	reader   *bufio.Reader
	timeout  time.Duration
	left     int // bytes that may still come; below 0: any number
}

var errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", maxHead)

// connect connects to a controller.
func connect(ctx context.Context, address string, options *Options) (*connection, error) {
	raw, err := options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: raw, counters: options.Counters}
	c.reader = bufio.NewReaderSize(c, readerBuffer)
	return c, nil
}

// Read reads within the connection's timeout.
func (c *connection) Read(buf []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeadTooLarge
	}
	if c.left > 0 {
		buf = buf[:min(len(buf), c.left)]
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buf)
	if c.left > 0 {
		c.left -= n
	}
	c.counters.BytesRead.Add(int64(n))
	return n, err
}

// Write writes within the connection's timeout.
func (c *connection) Write(buf []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buf)
	c.counters.BytesWritten.Add(int64(n))
	return n, err
}

// call sends a request and reads the head of its answer.
func (c *connection) call(text []byte, request *http.Request) (*http.Response, error) {
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	c.left = maxHead
	response, err := http.ReadResponse(c.reader, request)
	c.left = -1
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
	response, err := c.call(text, nil)
	if err != nil {
		return ended
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal, err := readRefusal(response)
		if err != nil {
			return ended
		}
		s.options.Log.Debug("watch refused", "controller", open.Address, "err", refusal)
		return configversion.WatchRefused{Watch: open.Watch, Refusal: *refusal}
	}
	c.timeout = readTimeout
	err = s.readUpdates(ctx, open.Watch, response.Body)
	if ctx.Err() == nil {
		s.options.Log.Debug("watch ended", "controller", open.Address, "err", err)
	}
	return ended
}

func (s *Session) readUpdates(ctx context.Context, watch uint64, body io.Reader) error {
	heard := &watchdog{session: s, ctx: ctx, watch: watch}
	reader := watchstream.NewReader[configapi.Update](body, maxUpdate, heard)
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

// watchdog posts the signs of life of a watch.
type watchdog struct {
	session *Session
	ctx     context.Context
	watch   uint64
}

func (d *watchdog) Blank() {
	d.session.options.Counters.Heartbeats.Add(1)
	d.session.post(d.ctx, configversion.WatchHeard{Watch: d.watch})
}
func (d *watchdog) Begun() { d.Part() }
func (d *watchdog) Part() {
	d.session.post(d.ctx, configversion.WatchHeard{Watch: d.watch, Part: true})
}

// readRefusal reads a controller's error from an answer.
func readRefusal(response *http.Response) (*configapi.Error, error) {
	refusal := &configapi.Error{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusal)).Decode(refusal); err != nil {
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	return refusal, nil
}

// ackClient sends acknowledgements, one at a time, over a connection that it keeps.
type ackClient struct {
	options *Options
	address string
	kept    *connection // nil: none
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
	if a.kept != nil {
		var refusal *configapi.Error
		if err = a.exchange(ctx, text); err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
	} // the controller has closed it meanwhile, as a rule: an acknowledgement may be sent twice
	if a.kept, err = connect(ctx, address, a.options); err != nil {
		return err
	}
	a.address = address
	return a.exchange(ctx, text)
}

// exchange sends a request over the kept connection, which ends if the answer says so or does not come.
func (a *ackClient) exchange(ctx context.Context, text []byte) (err error) {
	c := a.kept
	defer context.AfterFunc(ctx, func() { c.Close() })()
	keep := false
	defer func() {
		if !keep {
			a.close()
		}
	}()
	c.timeout = ackTimeout
	response, err := c.call(text, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refusal, err := readRefusal(response)
		if err != nil {
			return err
		}
		return refusal
	}
	_, err = io.CopyN(io.Discard, response.Body, maxRefusal)
	keep = errors.Is(err, io.EOF) && !response.Close
	return nil
}

// close ends the kept connection.
func (a *ackClient) close() {
	if a.kept != nil {
		a.kept.Close()
		a.kept = nil
	}
}
