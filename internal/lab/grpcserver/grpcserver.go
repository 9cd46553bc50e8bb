// Package grpcserver is a stand-in for a gRPC server that does to each call what a script says. It writes HTTP/2 frames
// itself, for a sound server would not let streams be refused, cut or left silent at will.
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

// maxMessage bounds a message of a call, in bytes.
const maxMessage = 1 << 20

// Call is one call that has come whole.
type Call struct {
	Method   string
	Metadata map[string]string
	Message  []byte // without its prefix
	Number   int    // of the server's calls, from 0

	conn   *conn
	stream uint32
}

// Server serves on loopback until Close.
type Server struct {
	listener   net.Listener
	script     func(*Call)
	maxStreams uint32 // at once on a connection; 0: no limit told
	running    sync.WaitGroup

	mu       sync.Mutex
	conns    map[*conn]bool
	calls    int
	accepted int // connections that have come
	closed   bool
}

// conn is a connection from a client.
type conn struct {
	net.Conn
	server *Server

	highestStream uint32 // the highest stream that the script was given, guarded by server.mu
	goAwaySent    bool   // GOAWAY was sent: streams after last are not taken; likewise
	lastStream    uint32

	mu      sync.Mutex // of the writes
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer
}

// New starts a server. The script is called for each call, in a goroutine of its own; maxStreams of 0 tells no limit.
func New(maxStreams uint32, script func(*Call)) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Server{listener: ln, script: script, maxStreams: maxStreams, conns: map[*conn]bool{}}
	b.running.Add(1)
	go b.accept()
	return b, nil
}

// Addr is where the server listens.
func (b *Server) Addr() string { return b.listener.Addr().String() }

// Seen counts the connections and the whole calls that have come.
func (b *Server) Counts() (conns, calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, b.calls
}

// Close ends the server with all its connections.
func (b *Server) Close() {
	b.mu.Lock()
	b.closed = true
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

func (b *Server) accept() {
	defer b.running.Done()
	for {
		nc, err := b.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: nc, server: b, framer: http2.NewFramer(nc, nc)}
		c.encoder = hpack.NewEncoder(&c.block)
		c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			nc.Close()
			return
		}
		b.conns[c] = true
		b.accepted++
		b.running.Add(1)
		b.mu.Unlock()
		go func() {
			defer b.running.Done()
			c.serve()
			nc.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		}()
	}
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
	open := map[uint32]*Call{}
	for {
		f, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
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
			for _, h := range f.RegularFields() {
				call.Metadata[h.Name] = h.Value
			}
			open[f.StreamID] = call
		case *http2.DataFrame:
			call := open[f.StreamID]
			if call == nil || len(call.Message)+len(f.Data()) > maxMessage {
				continue
			}
			call.Message = append(call.Message, f.Data()...)
			if n := uint32(len(f.Data())); n > 0 {
				c.write(func() error { return c.framer.WriteWindowUpdate(0, n) })
			}
			if f.StreamEnded() && len(call.Message) >= 5 {
				delete(open, f.StreamID)
				call.Message = call.Message[5:]
				c.run(call)
			}
		case *http2.RSTStreamFrame:
			delete(open, f.StreamID)
		}
	}
}

func (c *conn) run(call *Call) {
	b := c.server
	b.mu.Lock()
	if c.goAwaySent && call.stream > c.lastStream {
		b.mu.Unlock()
		return
	}
	c.highestStream = max(c.highestStream, call.stream)
	call.Number = b.calls
	b.calls++
	b.running.Add(1)
	b.mu.Unlock()
	go func() {
		defer b.running.Done()
		b.script(call)
	}()
}

func (c *conn) write(f func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = f() // a connection that broke is noticed by its reader
}

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
func (k *Call) Header() {
	k.conn.write(func() error {
		return k.conn.headers(k.stream, false, ":status", "200", "content-type", "application/grpc")
	})
}

// Data sends the first part bytes of a message with its prefix, of all of it if part is negative.
func (k *Call) Data(message []byte, part int) {
	framed := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	framed = append(framed, message...)
	if part >= 0 {
		framed = framed[:part]
	}
	k.conn.write(func() error { return k.conn.framer.WriteData(k.stream, false, framed) })
}

// Status ends a call that has had its header; pairs are further trailers.
func (k *Call) Status(code int, pairs ...string) {
	k.conn.write(func() error {
		return k.conn.headers(k.stream, true, append([]string{"grpc-status", strconv.Itoa(code)}, pairs...)...)
	})
}

// Answer serves the call with a message.
func (k *Call) Answer(message []byte) {
	k.Header()
	k.Data(message, -1)
	k.Status(0)
}

// Fail ends a call by a status alone, without a header before; pairs are further trailers.
func (k *Call) FailWithoutHeader(code int, pairs ...string) {
	k.conn.write(func() error {
		return k.conn.headers(k.stream, true, append([]string{":status", "200", "content-type", "application/grpc",
			"grpc-status", strconv.Itoa(code)}, pairs...)...)
	})
}

// Reset sends RST_STREAM.
func (k *Call) Reset(code http2.ErrCode) {
	k.conn.write(func() error { return k.conn.framer.WriteRSTStream(k.stream, code) })
}

// GoAway sends GOAWAY and takes no later stream of the connection. With before, the call itself counts as not taken; that
// can be told, and is done, only while no later one of the connection has been taken.
func (k *Call) GoAway(before bool) (done bool) {
	c, b := k.conn, k.conn.server
	b.mu.Lock()
	last := c.highestStream
	if before && k.stream < last || c.goAwaySent {
		b.mu.Unlock()
		return false
	}
	if before {
		last = max(last, 2) - 2 // clients number their streams by odd numbers
	}
	c.goAwaySent, c.lastStream = true, last
	b.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	return true
}

// Cut ends the connection; with a reset, as a process that is killed.
func (k *Call) ResetConnection() {
	if tcp, ok := k.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	k.conn.Close()
}
