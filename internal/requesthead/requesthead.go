// Package requesthead validates the framing of HTTP/1 requests on one client connection, below net/http.
//
// It prevents request smuggling. net/http silently drops a Content-Length that is sent together with a Transfer-Encoding,
// and accepts lines that end in LF alone. A proxy in front of the node and the node could therefore disagree about where a
// request ends, and one could execute as a request what the other treats as a body. The Reader reports such a head as a
// fault, to which the caller must respond with 400, and treats no later bytes of the connection as a new request.
package requesthead

import (
	"bytes"
	"io"
	"math"
	"strconv"
	"strings"
)

// maxInspectedLine is the number of bytes of a header line that are inspected: enough for the name of a length header and
// its number. A longer Content-Length line is a fault; for other headers only the name matters.
const maxInspectedLine = 64

// state identifies what the next byte from the client belongs to. Only Reader.consume changes it:
//
//	readingHead -> readingBody   the head has a Content-Length above 0
//	readingHead -> readingHead   the request has no body: the next head follows
//	readingHead -> readingToEnd  a chunked or faulty request: the last one on the connection
//	readingBody -> readingHead   the body is complete
type state int

// States of a Reader.
const (
	readingHead  state = iota // the head of a request, or empty lines before it
	readingBody               // a body of known length
	readingToEnd              // all further bytes belong to this request
)

// Findings contains what net/http does not report about a request head.
type Findings struct {
	ContentLength    int64  // in bytes; 0: no header; math.MaxInt64: not a number
	TransferEncoding bool   // the header is present: the length of the body is unknown
	Fault            string // why the framing can't be trusted; "": no fault
	Size             Size
}

// Size is how much of a request head has been read.
type Size struct {
	Bytes int
	Lines int // complete lines, including the request line
}

// LastOnConnection reports whether no request after this one may be read from its connection: the Reader does not rely on
// the end of its body. The connection must be closed after the response.
func (f Findings) LastOnConnection() bool { return f.TransferEncoding || f.Fault != "" }

// head is the request head that is currently read.
type head struct {
	Findings
	contentLengths int // number of Content-Length headers
}

// setFault records a fault, unless the head already has one.
func (h *head) setFault(reason string) {
	if h.Fault == "" {
		h.Fault = reason
	}
}

// Reader reads a client connection and tracks the head and the body of each request.
//
// A Read never returns bytes beyond the request in which it starts. Therefore, when net/http has parsed a head, Findings
// returns the findings for that same head. A chunked request is the last one on its connection: the end of its body is
// tracked only for Complete, and bytes after it do not start a request.
//
// A Reader has no lock and must be used by the goroutine that reads the connection. A handler may call Findings and Count
// until it has read the body of its request to the end, because the next head is not read before that.
type Reader struct {
	conn          io.Reader
	pending       []byte // bytes of later requests, already read from the connection
	state         state
	bodyRemaining int64  // bytes of the body not yet read
	line          []byte // the start of the current line, up to maxInspectedLine bytes
	lineSize      int    // bytes of the current line read so far, without CR
	afterCR       bool   // the last byte was a CR
	headerName    string // of the previous header line, in lower case, to recognize its continuation lines
	current       head
	complete      Findings // findings for the last complete head
	chunks        chunkedBody
	count         int // number of complete heads
}

// NewReader returns a Reader for a connection from which nothing has been read yet.
func NewReader(conn io.Reader) *Reader { return &Reader{conn: conn} }

// Findings returns the findings for the last complete head.
func (r *Reader) Findings() Findings { return r.complete }

// Count returns the number of complete heads.
func (r *Reader) Count() int { return r.count }

// ReadingHead reports whether the next byte belongs to a head, or to empty lines before it.
func (r *Reader) ReadingHead() bool { return r.state == readingHead }

// HeadBegun reports whether a head is partly read.
func (r *Reader) HeadBegun() bool {
	return r.state == readingHead && (r.current.Size.Lines > 0 || r.lineSize > 0)
}

// HeadSize returns the size of the head that is partly read, or else of the last complete head.
func (r *Reader) HeadSize() Size {
	if r.HeadBegun() {
		return r.current.Size
	}
	return r.complete.Size
}

// Buffered reports whether bytes of a later request were read from the connection but not yet returned by Read.
func (r *Reader) Buffered() bool { return len(r.pending) > 0 }

// Complete reports whether the last request has been read completely and nothing of the next one. It is false before the
// first head and for a request whose framing can't be trusted.
func (r *Reader) Complete() bool {
	switch r.state {
	case readingHead:
		return r.count > 0 && !r.HeadBegun()
	case readingToEnd:
		return r.complete.Fault == "" && r.chunks.state == chunkedComplete
	}
	return false
}

// BodyMissing returns how many bytes of the last request's body have not arrived, if unread bytes have arrived that were not read
// through the Reader. It is 0 if the body is complete, and -1 if its length is unknown and its end has not been read.
func (r *Reader) BodyMissing(unread int64) int64 {
	switch {
	case r.state == readingBody:
		return max(r.bodyRemaining-unread, 0)
	case r.state == readingToEnd && r.chunks.state != chunkedComplete:
		return -1
	}
	return 0
}

// Read reads from the connection into b, but not beyond the end of the current request.
func (r *Reader) Read(b []byte) (n int, err error) {
	for {
		buffered := len(r.pending) > 0
		if buffered {
			n = copy(b, r.pending)
		} else {
			n, err = r.conn.Read(b)
		}
		skipped := r.skipEmptyLines(b[:n])
		consumed := r.consume(b[skipped:n])
		used := skipped + consumed
		switch {
		case buffered && used == len(r.pending):
			r.pending = nil
		case buffered:
			r.pending = r.pending[used:]
		case used < n:
			r.pending = append([]byte(nil), b[used:n]...)
		}
		copy(b, b[skipped:used])
		if consumed > 0 || err != nil || n == 0 {
			return consumed, err
		}
	}
}

// skipEmptyLines returns the number of bytes at the start of b that are empty lines between two requests. They belong to
// neither request; net/http would treat them as the start of a request.
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

// consume processes bytes from the connection and returns how many of them belong to the current request.
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
		case r.complete.LastOnConnection():
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

// addByte processes one byte of the head and reports whether the head ends with it.
func (r *Reader) addByte(c byte) (end bool) {
	r.current.Size.Bytes++
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
		if r.current.Size.Lines++; r.current.Size.Lines > 1 {
			r.checkHeader()
		}
	}
	r.line, r.lineSize = r.line[:0], 0
	return empty && r.current.Size.Lines > 0 // an empty line before the request line is skipped
}

// checkHeader checks one complete header line.
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

// checkContentLength records the value of a Content-Length header. A value that is not a number is recorded as the maximum
// length, so that no later bytes are treated as a request.
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
