package node

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// maxInspectedLine is how many bytes of a header line are looked at: enough for the name of a length header and its
// number. A longer Content-Length line is a fault; of other headers only the name matters.
const maxInspectedLine = 64

// headReaderState is what the next byte from the client belongs to. Only requestHeadReader.consume changes it:
//
//	readingHead -> readingBody   the head announced a Content-Length above 0
//	readingHead -> readingHead   the request has no body: the next head follows
//	readingHead -> readingToEnd  a chunked or faulty request: it is the last of its connection
//	readingBody -> readingHead   all of the body has come
type headReaderState int

// States of a requestHeadReader.
const (
	readingHead  headReaderState = iota // the head of a request, or empty lines before it
	readingBody                         // a body of known length
	readingToEnd                        // everything that still comes belongs to this request
)

// requestHeadReader validates the framing of the requests on one client connection, below net/http.
//
// It guards against request smuggling: net/http silently drops a Content-Length beside a Transfer-Encoding and accepts
// lines that end in LF alone, so a proxy before the node and the node could disagree about where a request ends, and
// what one takes for a body the other would run as a request. The reader reports such a head as a fault, which is
// answered with 400, and lets nothing that follows on the connection start a request.
//
// It never lets one read go beyond the request that it began in. So when net/http has parsed a head, complete holds the
// findings of that same head. It does not parse chunks: the end of a chunked body is unknown here, which is why a
// chunked request is the last of its connection.
//
// It belongs to the goroutine that reads the connection and has no lock.
type requestHeadReader struct {
	pending    []byte // read from the connection, of later requests
	state      headReaderState
	bodyLeft   int64  // bytes of the body that have not come
	line       []byte // the header line that is coming, up to maxInspectedLine bytes
	lineSize   int    // length of that line in bytes, without CR
	afterCR    bool   // the last byte was a CR
	headerName string // of the header line before, in lower case, for its continuation lines
	current    headFindings
	complete   headFindings // of the last complete head
	headCount  int          // complete heads
}

// headFindings is what a request head contains that net/http does not report.
type headFindings struct {
	lines            int
	contentLengths   int // Content-Length headers
	contentLength    int64
	transferEncoding bool
	fault            string // why the framing can't be trusted; "": it can
}

// setFault records a fault. The first one of a head is kept.
func (f *headFindings) setFault(reason string) {
	if f.fault == "" {
		f.fault = reason
	}
}

// read fills b from the connection, no further than the end of the current request. It reads by readConn.
func (h *requestHeadReader) read(readConn func([]byte) (int, error), b []byte) (n int, err error) {
	for {
		if len(h.pending) == 0 {
			n, err = readConn(b)
		} else {
			n = copy(b, h.pending)
			h.pending = h.pending[n:]
		}
		skipped := h.skipEmptyLines(b[:n])
		consumed := h.consume(b[skipped:n])
		if beyond := b[skipped+consumed : n]; len(beyond) > 0 {
			h.pending = append(append([]byte(nil), beyond...), h.pending...)
		}
		copy(b, b[skipped:skipped+consumed])
		if consumed > 0 || err != nil || n == 0 {
			return consumed, err
		}
	}
}

// skipEmptyLines returns how many bytes at the start of b are empty lines between two requests. They belong to neither;
// net/http would take them for the start of a request.
func (h *requestHeadReader) skipEmptyLines(b []byte) (skipped int) {
	betweenRequests := h.state == readingHead && h.current.lines == 0 && h.lineSize == 0
	for betweenRequests && skipped < len(b) && (b[skipped] == '\r' || b[skipped] == '\n') {
		if b[skipped] == '\n' && !h.afterCR {
			break
		}
		h.afterCR = b[skipped] == '\r'
		skipped++
	}
	return skipped
}

// consume inspects bytes that were read and returns how many of them belong to the current request.
func (h *requestHeadReader) consume(b []byte) int {
	for i, c := range b {
		switch h.state {
		case readingToEnd:
			return len(b)
		case readingBody:
			n := int(min(h.bodyLeft, int64(len(b)-i)))
			if h.bodyLeft -= int64(n); h.bodyLeft == 0 {
				h.state = readingHead
			}
			return i + n
		}
		if !h.addByte(c) {
			continue
		}
		h.complete, h.current = h.current, headFindings{}
		h.headerName = ""
		h.headCount++
		switch {
		case h.complete.transferEncoding || h.complete.fault != "":
			h.state = readingToEnd
			return len(b)
		case h.complete.contentLength == 0:
			return i + 1
		}
		h.state, h.bodyLeft = readingBody, h.complete.contentLength
	}
	return len(b)
}

// addByte adds one byte to the head and reports whether the head ends with it.
func (h *requestHeadReader) addByte(c byte) (end bool) {
	if c != '\n' {
		if h.afterCR {
			h.current.setFault("a CR within a line")
		}
		if h.afterCR = c == '\r'; !h.afterCR {
			h.lineSize++
			if len(h.line) < maxInspectedLine {
				h.line = append(h.line, c)
			}
		}
		return false
	}
	if !h.afterCR {
		h.current.setFault("a line that ends in LF alone")
	}
	h.afterCR = false
	empty := h.lineSize == 0
	if !empty {
		if h.current.lines++; h.current.lines > 1 {
			h.checkHeader()
		}
	}
	h.line, h.lineSize = h.line[:0], 0
	return empty && h.current.lines > 0 // an empty line before the request line is skipped
}

// checkHeader inspects one complete header line.
func (h *requestHeadReader) checkHeader() {
	if h.line[0] == ' ' || h.line[0] == '\t' {
		if h.headerName == "content-length" || h.headerName == "transfer-encoding" {
			h.current.setFault("a length on two lines")
		}
		return
	}
	name, value, _ := bytes.Cut(h.line, []byte(":"))
	h.headerName = strings.ToLower(strings.TrimSpace(string(name)))
	switch h.headerName {
	case "transfer-encoding":
		h.current.transferEncoding = true
	case "content-length":
		h.checkContentLength(strings.Trim(string(value), " \t"))
	}
	if h.current.contentLengths > 0 && h.current.transferEncoding {
		h.current.setFault("Content-Length beside Transfer-Encoding")
	}
}

// checkContentLength records the value of a Content-Length header. One that is no number counts as endless, so that
// nothing behind it passes as a request.
func (h *requestHeadReader) checkContentLength(value string) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || h.lineSize > maxInspectedLine {
		length = math.MaxInt64
		h.current.setFault("a Content-Length that is no number")
	}
	h.current.contentLength = int64(length)
	if h.current.contentLengths++; h.current.contentLengths > 1 {
		h.current.setFault("Content-Length comes twice")
	}
}
