// Package requesthead validates the framing of HTTP/1 requests on one client connection, below net/http.
//
// It guards against request smuggling: net/http silently drops a Content-Length beside a Transfer-Encoding and accepts
// lines that end in LF alone, so a proxy before the node and the node could disagree about where a request ends, and what
// one takes for a body the other would run as a request. The Reader reports such a head as a fault, which is to be
// answered with 400, and lets nothing that follows on the connection start a request.
package requesthead

import (
	"bytes"
	"io"
	"math"
	"strconv"
	"strings"
)

// maxInspectedLine is how many bytes of a header line are looked at: enough for the name of a length header and its
// number. A longer Content-Length line is a fault; of other headers only the name matters.
const maxInspectedLine = 64

// state is what the next byte from the client belongs to. Only Reader.consume changes it:
//
//	readingHead -> readingBody   the head announced a Content-Length above 0
//	readingHead -> readingHead   the request has no body: the next head follows
//	readingHead -> readingToEnd  a chunked or faulty request: it is the last of its connection
//	readingBody -> readingHead   all of the body has come
type state int

// States of a Reader.
const (
	readingHead  state = iota // the head of a request, or empty lines before it
	readingBody               // a body of known length
	readingToEnd              // everything that still comes belongs to this request
)

// Findings is what a request head contains that net/http does not report.
type Findings struct {
	ContentLength    int64  // in bytes; 0: there is none; math.MaxInt64: it is no number
	TransferEncoding bool   // there is one: the length is unknown
	Fault            string // why the framing can't be trusted; "": it can
}

// head is a request head that is being read.
type head struct {
	Findings
	lines          int
	contentLengths int // Content-Length headers
}

// setFault records a fault. The first one of a head is kept.
func (h *head) setFault(reason string) {
	if h.Fault == "" {
		h.Fault = reason
	}
}

// Reader reads a client connection and follows its bytes from one request's head to the next.
//
// It never lets one Read go beyond the request that it began in. So when net/http has parsed a head, Findings are those of
// that same head. A chunked request is the last of its connection: where its body ends is followed only for Complete, and
// nothing behind it starts a request.
//
// It belongs to the goroutine that reads the connection and has no lock. A handler may ask for Findings and Count until
// its request's body has been read to its end: until then nobody reads the next head.
type Reader struct {
	conn          io.Reader
	pending       []byte // read from the connection, of later requests
	state         state
	bodyRemaining int64  // bytes of the body that have not come
	line          []byte // the header line that is coming, up to maxInspectedLine bytes
	lineSize      int    // length of that line in bytes, without CR
	afterCR       bool   // the last byte was a CR
	headerName    string // of the header line before, in lower case, for its continuation lines
	current       head
	complete      Findings // of the last complete head
	chunks        chunkedBody
	count         int // complete heads
}

// NewReader returns a Reader for a connection of which nothing has been read.
func NewReader(conn io.Reader) *Reader { return &Reader{conn: conn} }

// Findings returns those of the last complete head.
func (r *Reader) Findings() Findings { return r.complete }

// Count returns how many heads were complete.
func (r *Reader) Count() int { return r.count }

// HeadBegun reports whether a part of a head has come, and not all of it.
func (r *Reader) HeadBegun() bool {
	return r.state == readingHead && (r.current.lines > 0 || r.lineSize > 0)
}

// Buffered reports whether bytes of a later request were read from the connection and not given out.
func (r *Reader) Buffered() bool { return len(r.pending) > 0 }

// Complete reports whether all of the last request has come, and nothing of the next one. Before the first head it is
// false, and for a request whose framing can't be trusted.
func (r *Reader) Complete() bool {
	switch r.state {
	case readingHead:
		return r.count > 0 && !r.HeadBegun()
	case readingToEnd:
		return r.complete.Fault == "" && r.chunks.state == chunkedComplete
	}
	return false
}

// Read fills b from the connection, no further than the end of the current request.
func (r *Reader) Read(b []byte) (n int, err error) {
	for {
		if len(r.pending) == 0 {
			n, err = r.conn.Read(b)
		} else {
			n = copy(b, r.pending)
			r.pending = r.pending[n:]
		}
		skipped := r.skipEmptyLines(b[:n])
		consumed := r.consume(b[skipped:n])
		if beyond := b[skipped+consumed : n]; len(beyond) > 0 {
			r.pending = append(append([]byte(nil), beyond...), r.pending...)
		}
		copy(b, b[skipped:skipped+consumed])
		if consumed > 0 || err != nil || n == 0 {
			return consumed, err
		}
	}
}

// skipEmptyLines returns how many bytes at the start of b are empty lines between two requests. They belong to neither;
// net/http would take them for the start of a request.
func (r *Reader) skipEmptyLines(b []byte) (skipped int) {
	betweenRequests := r.state == readingHead && !r.HeadBegun()
	for betweenRequests && skipped < len(b) && (b[skipped] == '\r' || b[skipped] == '\n') {
		if b[skipped] == '\n' && !r.afterCR {
			break
		}
		r.afterCR = b[skipped] == '\r'
		skipped++
	}
	return skipped
}

// consume inspects bytes that were read and returns how many of them belong to the current request.
func (r *Reader) consume(b []byte) int {
	for i, c := range b {
		switch r.state {
		case readingToEnd:
			r.chunks.consume(b[i:])
			return len(b)
		case readingBody:
			n := int(min(r.bodyRemaining, int64(len(b)-i)))
			if r.bodyRemaining -= int64(n); r.bodyRemaining == 0 {
				r.state = readingHead
			}
			return i + n
		}
		if !r.addByte(c) {
			continue
		}
		r.complete, r.current = r.current.Findings, head{}
		r.headerName = ""
		r.count++
		switch {
		case r.complete.TransferEncoding || r.complete.Fault != "":
			r.state = readingToEnd
			r.chunks.consume(b[i+1:])
			return len(b)
		case r.complete.ContentLength == 0:
			return i + 1
		}
		r.state, r.bodyRemaining = readingBody, r.complete.ContentLength
	}
	return len(b)
}

// addByte adds one byte to the head and reports whether the head ends with it.
func (r *Reader) addByte(c byte) (end bool) {
	if c != '\n' {
		if r.afterCR {
			r.current.setFault("a CR within a line")
		}
		if r.afterCR = c == '\r'; !r.afterCR {
			r.lineSize++
			if len(r.line) < maxInspectedLine {
				r.line = append(r.line, c)
			}
		}
		return false
	}
	if !r.afterCR {
		r.current.setFault("a line that ends in LF alone")
	}
	r.afterCR = false
	empty := r.lineSize == 0
	if !empty {
		if r.current.lines++; r.current.lines > 1 {
			r.checkHeader()
		}
	}
	r.line, r.lineSize = r.line[:0], 0
	return empty && r.current.lines > 0 // an empty line before the request line is skipped
}

// checkHeader inspects one complete header line.
func (r *Reader) checkHeader() {
	if r.line[0] == ' ' || r.line[0] == '\t' {
		if r.headerName == "content-length" || r.headerName == "transfer-encoding" {
			r.current.setFault("a length on two lines")
		}
		return
	}
	name, value, _ := bytes.Cut(r.line, []byte(":"))
	r.headerName = strings.ToLower(strings.TrimSpace(string(name)))
	switch r.headerName {
	case "transfer-encoding":
		r.current.TransferEncoding = true
	case "content-length":
		r.checkContentLength(strings.Trim(string(value), " \t"))
	}
	if r.current.contentLengths > 0 && r.current.TransferEncoding {
		r.current.setFault("Content-Length beside Transfer-Encoding")
	}
}

// checkContentLength records the value of a Content-Length header. One that is no number counts as endless, so that
// nothing behind it passes as a request.
func (r *Reader) checkContentLength(value string) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || r.lineSize > maxInspectedLine {
		length = math.MaxInt64
		r.current.setFault("a Content-Length that is no number")
	}
	r.current.ContentLength = int64(length)
	if r.current.contentLengths++; r.current.contentLengths > 1 {
		r.current.setFault("Content-Length comes twice")
	}
}
