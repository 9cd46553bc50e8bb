package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// What is larger than may be held is passed on as it comes, through buffers of chunk.
const (
	bodyPart   = 4                                // part of the node's memory that all held bodies together may take
	answerPart = 6                                // the same of held answers
	minHeld    = 4 << 10                          // of a body or an answer, however little memory there is
	maxHeld    = 64 << 10                         // of a body or an answer that is held whole
	maxBulk    = 64 << 20                         // of a body; twice what is asked of the node
	chunk      = 32 << 10                         // passed on at once
	bodyBase   = 800 * time.Millisecond           // for a body, and besides what its bytes take
	bodyRate   = 32 << 10                         // bytes a second that a body has to come at; clients have twice that
	firstEnd   = 2900 * time.Millisecond          // after connecting, by which a client that sends nothing sound is told or left
	stallTime  = 5 * time.Second                  // between two pieces of an answer, or of a body on its way to a server
	slowest    = 10 * time.Second                 // for a client to take a piece of an answer
	longest    = maxBulk / bodyRate * time.Second // for all of a body; none that keeps to the rate takes longer
)

// held is how much of one body or answer is held, where so many may be at once: at most maxHeld, and all together no
// more than a part of the node's memory. Nothing has to be counted, and nobody has to wait or be refused at the bound:
// what does not fit is passed on.
func held(memoryMB, part, places int) int {
	if memoryMB == 0 {
		return maxHeld
	}
	return min(max(memoryMB<<20/part/max(places, 1), minHeld), maxHeld)
}

// bodyReader reads a client's body and holds it to a rate. Only time in which the client is waited for counts.
type bodyReader struct {
	body     io.Reader
	deadline func(time.Time) error
	left     time.Duration // beside what the bytes to come earn
	got      int64
	spent    atomic.Bool // the rest of it was begun: it can't be sent again

	mu     sync.Mutex // over the deadline
	closed bool
	err    error // how it ended; io.EOF: whole
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	p := &bodyReader{body: r.Body, deadline: http.NewResponseController(w).SetReadDeadline, left: bodyBase}
	if c := connOf(r); c != nil && c.heads.count <= 1 {
		p.left = min(p.left, time.Until(c.accepted.Add(firstEnd)))
	}
	return p
}

// errBody says that a client's body did not come.
var errBody = errors.New("the body could not be read")

func (p *bodyReader) Read(b []byte) (int, error) {
	begin := time.Now()
	if err := p.begin(begin); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b[:min(len(b), chunk)])
	p.left = min(p.left+time.Duration(n)*time.Second/bodyRate-time.Since(begin), stallTime)
	if p.got += int64(n); p.got > maxBulk { // chunked: it did not say so
		err = errBody
	}
	if err != nil {
		p.finish(err)
	}
	return n, err
}

func (p *bodyReader) begin(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return p.err
	case p.closed:
		return errBody
	}
	p.deadline(now.Add(p.left))
	return nil
}

func (p *bodyReader) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if p.err = err; err == io.EOF {
		p.deadline(time.Time{}) // from here on a read only watches for the client's leaving
	}
}

// close ends reading, also a read that waits, and says how far it came. The connection is the HTTP server's again.
func (p *bodyReader) close() (whole, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.err == nil {
		p.deadline(time.Now())
	}
	return p.err == io.EOF, p.err != nil && p.err != io.EOF
}

// lost says that the client ended or held back its body.
func (p *bodyReader) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.err != nil && p.err != io.EOF
}

// rest is what of a body is not held, for the one sender that takes it.
type rest struct{ *bodyReader }

func (r rest) Read(b []byte) (int, error) {
	r.spent.Store(true)
	return r.bodyReader.Read(b)
}

// stream is the rest of an answer that is not held. Whoever has it calls end, once.
type stream struct {
	conn  *conn
	body  io.Reader
	ended chan streamEnd // takes its end without blocking
	over  chan struct{}  // closed when the connection's own reader may go on
}

type streamEnd struct {
	ending balancer.Outcome
	err    error
}

func newStream(c *conn, body io.Reader) *stream {
	return &stream{conn: c, body: body, ended: make(chan streamEnd, 1), over: make(chan struct{})}
}

// Read reads what the server gives, as long as it gives something every now and then.
func (s *stream) Read(b []byte) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(stallTime))
	return s.body.Read(b)
}

func (s *stream) end(e balancer.Outcome, err error) { s.ended <- streamEnd{e, err} }

// errWriter remembers that writing failed: what is wrong with a copy is then the client's side.
type errWriter struct {
	w      io.Writer
	before func()
	err    error
}

func (e *errWriter) Write(b []byte) (int, error) {
	e.before()
	n, err := e.w.Write(b)
	if err != nil {
		e.err = err
	}
	return n, err
}

// pass passes an answer on to its client as it comes, and returns its status. One that was cut short must end its
// connection, so that the client can tell.
func pass(w http.ResponseWriter, got *reply) (status int) {
	s := got.rest
	control := http.NewResponseController(w)
	out := &errWriter{w: w, before: func() { control.SetWriteDeadline(time.Now().Add(slowest)) }}
	buf := make([]byte, chunk)
	var err error
	for part := got.body; out.err == nil && err == nil; {
		out.Write(part)
		if wrong := control.Flush(); out.err == nil {
			out.err = wrong
		}
		if out.err == nil {
			var n int
			n, err = s.Read(buf)
			part = buf[:n]
			if n > 0 && err != nil {
				out.Write(part)
			}
		}
	}
	switch {
	case out.err != nil: // the client left, or takes nothing: that says nothing of the server
		s.end(balancer.Canceled, out.err)
		return gaveUp
	case err == io.EOF:
		s.end(balancer.Success, nil)
		return http.StatusOK
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.end(balancer.TimedOut, errNoAnswer)
	default:
		s.end(balancer.ConnectionLost, err)
	}
	return cutShort
}
