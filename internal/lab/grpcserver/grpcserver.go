// Package grpcserver is a stand-in for a gRPC server that does to each call what a script says. It writes HTTP/2 frames
// itself, for a correct server would not let streams be refused, truncated or left without an answer at will.
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

// maxMessage bounds a call's message, in bytes, so that a faulty client can't fill the memory. What is over it is dropped.
const maxMessage = 1 << 20

// messagePrefix is the length of what gRPC puts before a message: a flag and four bytes of length.
const messagePrefix = 5

// headerTableSize is HPACK's default size of a decoder's table, in bytes.
const headerTableSize = 4096

// Call is one call whose message has come completely.
type Call struct {
	Method   string
	Metadata map[string]string
	Message  []byte // without its prefix
	Number   int    // of the server's calls, from 0

	conn   *conn
	stream uint32
}

// Server serves on loopback until Close. Its methods may be called from any goroutine.
type Server struct {
	listener   net.Listener
	script     func(*Call)
	maxStreams uint32 // at once on a connection; 0: no limit is announced
	running    sync.WaitGroup

	mu       sync.Mutex
	conns    map[*conn]bool
	calls    int
	accepted int // connections so far
	closed   bool
}

// conn is a connection from a client.
type conn struct {
	net.Conn
	server *Server

	highestStream uint32 // that the script was given; guarded by server.mu
	goAwaySent    bool   // streams after lastStream are ignored; guarded by server.mu
	lastStream    uint32 // that GOAWAY named; guarded by server.mu

	mu      sync.Mutex // of the writes
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer
}

// New starts a server. The script is called for each call, in a goroutine of its own; maxStreams of 0 announces no limit.
// Close must follow. The error is the listener's.
func New(maxStreams uint32, script func(*Call)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, script: script, maxStreams: maxStreams, conns: map[*conn]bool{}}
	s.running.Go(s.accept)
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counts returns how many connections, and how many complete calls, have come.
func (s *Server) Counts() (conns, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.calls
}

// Close ends the server with all its connections, and waits for the scripts that run.
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
		c.encoder = hpack.NewEncoder(&c.block)
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

// handle handles one frame.
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

// handleData adds to a call's message, and gives the call to the script once the message is complete.
func (c *conn) handleData(f *http2.DataFrame, open map[uint32]*Call) {
	call := open[f.StreamID]
	if call == nil || len(call.Message)+len(f.Data()) > maxMessage {
		return
	}
	call.Message = append(call.Message, f.Data()...)
	if n := uint32(len(f.Data())); n > 0 {
		c.write(func() error { return c.framer.WriteWindowUpdate(0, n) })
	}
	if f.StreamEnded() && len(call.Message) >= messagePrefix {
		delete(open, f.StreamID)
		call.Message = call.Message[messagePrefix:]
		c.run(call)
	}
}

// run gives a call to the script, unless it came after GOAWAY.
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

// write writes one frame. The reader of the connection notices if it is broken.
func (c *conn) write(frame func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = frame()
}

// headers writes a HEADERS frame with names and values in turn. The caller holds mu.
func (c *conn) headers(stream uint32, end bool, pairs ...string) error {
	c.block.Reset()
	for i := 0; i+1 < len(pairs); i += 2 {
		if err := c.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]}); err != nil {
			return err
		}
	}
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: c.block.Bytes(), EndHeaders: true, EndStream: end})
}

// Header sends the header of an answer alone.
func (call *Call) Header() {
	call.conn.write(func() error {
		return call.conn.headers(call.stream, false, ":status", "200", "content-type", "application/grpc")
	})
}

// Data sends the first length bytes of a message with its prefix; all of it if length is negative.
func (call *Call) Data(message []byte, length int) {
	framed := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	framed = append(framed, message...)
	if length >= 0 {
		framed = framed[:length]
	}
	call.conn.write(func() error { return call.conn.framer.WriteData(call.stream, false, framed) })
}

// Status ends a call that has had its header; pairs are further trailers, names and values in turn.
func (call *Call) Status(code int, pairs ...string) {
	call.conn.write(func() error {
		return call.conn.headers(call.stream, true, append([]string{"grpc-status", strconv.Itoa(code)}, pairs...)...)
	})
}

// Answer answers the call with a message and status 0.
func (call *Call) Answer(message []byte) {
	call.Header()
	call.Data(message, -1)
	call.Status(0)
}

// FailWithoutHeader ends a call by a status alone, without a header before; pairs are further trailers, names and values in
// turn.
func (call *Call) FailWithoutHeader(code int, pairs ...string) {
	call.conn.write(func() error {
		return call.conn.headers(call.stream, true, append([]string{":status", "200", "content-type", "application/grpc",
			"grpc-status", strconv.Itoa(code)}, pairs...)...)
	})
}

// Reset sends RST_STREAM.
func (call *Call) Reset(code http2.ErrCode) {
	call.conn.write(func() error { return call.conn.framer.WriteRSTStream(call.stream, code) })
}

// GoAway sends GOAWAY and ignores later streams of the connection. With before, the call itself counts as not processed,
// which can be said only while no later one of the connection has been given to the script. It returns false if nothing was
// sent: that condition does not hold, or GOAWAY was sent already.
func (call *Call) GoAway(before bool) (sent bool) {
	c, s := call.conn, call.conn.server
	s.mu.Lock()
	last := c.highestStream
	if before && call.stream < last || c.goAwaySent {
		s.mu.Unlock()
		return false
	}
	if before {
		last = max(last, 2) - 2 // clients number their streams by odd numbers
	}
	c.goAwaySent, c.lastStream = true, last
	s.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	return true
}

// ResetConnection ends the connection with a TCP reset, as a process that is killed does.
func (call *Call) ResetConnection() {
	if tcp, ok := call.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	call.conn.Close()
}
