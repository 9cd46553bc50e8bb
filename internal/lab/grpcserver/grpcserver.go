// Package grpcserver provides a stand-in gRPC server that handles each call as a script prescribes. It writes HTTP/2
// frames itself, because a correct server offers no way to refuse or truncate a stream, or to leave it without a
// response.
package grpcserver

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// maxMessageBytes limits the size of a call's message, so that a faulty client can't exhaust the memory. Data beyond
// the limit is dropped.
const maxMessageBytes = 1 << 20

// messagePrefixBytes is the length of gRPC's message prefix: a flag and four bytes of length.
const messagePrefixBytes = 5

// headerTableSize is the default size of an HPACK decoder's table, in bytes.
const headerTableSize = 4096

// Call is a call whose message has been received completely.
type Call struct {
	Method   string
	Metadata map[string]string
	Message  []byte // without the gRPC prefix
	Number   int    // sequence number among the server's calls, from 0

	conn   *conn
	stream uint32
}

// Server is a stand-in gRPC server on loopback. Its methods are safe for concurrent use.
type Server struct {
	listener   net.Listener
	script     func(*Call)
	maxStreams uint32 // announced limit of concurrent streams on a connection; 0: none is announced
	running    sync.WaitGroup

	mu       sync.Mutex
	conns    map[*conn]bool
	calls    int
	accepted int // number of connections accepted so far
	closed   bool
}

// conn is a connection from a client.
type conn struct {
	net.Conn
	server *Server

	highestStream uint32 // highest stream that was passed to the script; guarded by server.mu
	goAwaySent    bool   // streams after lastStream are ignored; guarded by server.mu
	lastStream    uint32 // last stream in the GOAWAY frame; guarded by server.mu

	mu          sync.Mutex // guards writes
	framer      *http2.Framer
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
}

// New starts a server, which the caller must close. The script runs for each call on a separate goroutine. A connection
// announces a limit of maxStreams concurrent streams, or no limit if it is 0. New returns the error of listening.
func New(maxStreams uint32, script func(*Call)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, script: script, maxStreams: maxStreams, conns: map[*conn]bool{}}
	s.running.Go(s.accept)
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counts returns how many connections were accepted and how many complete calls were received.
func (s *Server) Counts() (conns, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.calls
}

// Close closes the server and its connections, and waits for running scripts.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// accept serves connections until Close.
func (s *Server) accept() {
	for {
		netConn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: netConn, server: s, framer: http2.NewFramer(netConn, netConn)}
		c.encoder = hpack.NewEncoder(&c.headerBlock)
		c.framer.ReadMetaHeaders = hpack.NewDecoder(headerTableSize, nil)
		if !s.startConn(c) {
			netConn.Close()
			return
		}
	}
}

// startConn serves a connection in a goroutine. It returns false once the server is closed.
func (s *Server) startConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	s.accepted++
	s.running.Go(func() {
		c.serve()
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	return true
}

// serve reads frames until the connection ends.
func (c *conn) serve() {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	var settings []http2.Setting
	if c.server.maxStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: c.server.maxStreams})
	}
	c.write(func() error { return c.framer.WriteSettings(settings...) })
	open := map[uint32]*Call{} // calls whose message is not complete, by stream
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		c.handle(frame, open)
	}
}

// handle handles one frame. open holds the calls whose message is not complete, by stream.
func (c *conn) handle(frame http2.Frame, open map[uint32]*Call) {
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			c.write(c.framer.WriteSettingsAck)
		}
	case *http2.PingFrame:
		if data := f.Data; !f.IsAck() {
			c.write(func() error { return c.framer.WritePing(true, data) })
		}
	case *http2.MetaHeadersFrame:
		call := &Call{Method: f.PseudoValue("path"), Metadata: map[string]string{}, conn: c, stream: f.StreamID}
		for _, field := range f.RegularFields() {
			call.Metadata[field.Name] = field.Value
		}
		open[f.StreamID] = call
	case *http2.DataFrame:
		c.handleData(f, open)
	case *http2.RSTStreamFrame:
		delete(open, f.StreamID)
	}
}

// handleData appends data to a call's message and runs the script once the message is complete.
func (c *conn) handleData(f *http2.DataFrame, open map[uint32]*Call) {
	call := open[f.StreamID]
	if call == nil || len(call.Message)+len(f.Data()) > maxMessageBytes {
		return
	}
	call.Message = append(call.Message, f.Data()...)
	if n := uint32(len(f.Data())); n > 0 {
		c.write(func() error { return c.framer.WriteWindowUpdate(0, n) })
	}
	if f.StreamEnded() && len(call.Message) >= messagePrefixBytes {
		delete(open, f.StreamID)
		call.Message = call.Message[messagePrefixBytes:]
		c.run(call)
	}
}

// run runs the script for a call, unless GOAWAY has excluded the call's stream.
func (c *conn) run(call *Call) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.goAwaySent && call.stream > c.lastStream {
		return
	}
	c.highestStream = max(c.highestStream, call.stream)
	call.Number = s.calls
	s.calls++
	s.running.Go(func() { s.script(call) })
}

// write writes one frame. It ignores errors: if the connection is broken, the reading goroutine notices.
func (c *conn) write(frame func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = frame()
}

// writeHeaders writes a HEADERS frame; pairs holds alternating names and values. The caller holds mu.
func (c *conn) writeHeaders(stream uint32, end bool, pairs ...string) error {
	c.headerBlock.Reset()
	for i := 0; i+1 < len(pairs); i += 2 {
		if err := c.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]}); err != nil {
			return err
		}
	}
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: c.headerBlock.Bytes(), EndHeaders: true, EndStream: end})
}

// SendHeader sends the header of a response without a message.
func (call *Call) SendHeader() {
	call.conn.write(func() error {
		return call.conn.writeHeaders(call.stream, false, ":status", "200", "content-type", "application/grpc")
	})
}

// SendMessage sends the first length bytes of the prefixed message, or all of it if length is negative.
func (call *Call) SendMessage(message []byte, length int) {
	framed := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	framed = append(framed, message...)
	if length >= 0 {
		framed = framed[:length]
	}
	call.conn.write(func() error { return call.conn.framer.WriteData(call.stream, false, framed) })
}

// SendStatus ends a call whose header has been sent. trailers holds alternating names and values of further trailers.
func (call *Call) SendStatus(code int, trailers ...string) {
	call.conn.write(func() error {
		return call.conn.writeHeaders(call.stream, true, append([]string{"grpc-status", strconv.Itoa(code)}, trailers...)...)
	})
}

// Respond sends a complete response: the header, a message and status 0.
func (call *Call) Respond(message []byte) {
	call.SendHeader()
	call.SendMessage(message, -1)
	call.SendStatus(0)
}

// FailWithoutHeader ends a call with a response that consists only of trailers with a status. trailers holds
// alternating names and values of further trailers.
func (call *Call) FailWithoutHeader(code int, trailers ...string) {
	call.conn.write(func() error {
		return call.conn.writeHeaders(call.stream, true, append([]string{":status", "200", "content-type", "application/grpc",
			"grpc-status", strconv.Itoa(code)}, trailers...)...)
	})
}

// Reset resets the call's stream with RST_STREAM.
func (call *Call) Reset(code http2.ErrCode) {
	call.conn.write(func() error { return call.conn.framer.WriteRSTStream(call.stream, code) })
}

// GoAway sends GOAWAY and ignores later streams of the connection. If excludeCall is set, GOAWAY declares the call
// itself as not processed, which is possible only while no later call of the connection has been passed to the script.
// GoAway returns false and sends nothing if a later call was passed to the script, or if GOAWAY has already been sent.
func (call *Call) GoAway(excludeCall bool) (sent bool) {
	c, s := call.conn, call.conn.server
	s.mu.Lock()
	last := c.highestStream
	if excludeCall && call.stream < last || c.goAwaySent {
		s.mu.Unlock()
		return false
	}
	if excludeCall {
		last = max(last, 2) - 2 // clients use odd stream numbers
	}
	c.goAwaySent, c.lastStream = true, last
	s.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	return true
}

// ResetConnection closes the connection with a TCP reset, as happens when a process is killed.
func (call *Call) ResetConnection() {
	if tcp, ok := call.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	call.conn.Close()
}
