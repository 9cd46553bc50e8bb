package node

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// heads follows the bytes of a client's connection from one request's head to the next. It is own code since net/http
// takes what callers could use to have a node and something before it see different requests, and does not tell: it
// drops a Content-Length beside a Transfer-Encoding, and takes lines that end in LF alone. It never lets a read go
// beyond a request, so that at its head's end what it saw is of that request. A chunked body's end it does not know:
// such a request is the last of its connection.
type heads struct {
	rest  []byte // read from the connection, of later requests
	part  part
	left  int64  // of the body
	line  []byte // the head's line so far, or its beginning
	size  int    // of the line
	cr    bool   // it ended in CR so far
	next  sight  // of the head that comes
	seen  sight  // of the last whole head
	count int    // whole heads
	last  string // name of the header before, in lower case
}

type part int

const (
	inHead part = iota
	inBody
	toTheEnd // everything that comes is of this request
)

// sight is what a head holds that net/http does not show.
type sight struct {
	lines   int
	lengths int
	length  int64
	coded   bool
	fault   string // "": none
}

const lineKept = 64 // bytes of a header line that are looked at: a name and a number

// take notes the bytes that were read and says how many of them are of the current request.
func (h *heads) take(b []byte) int {
	for i, c := range b {
		switch h.part {
		case toTheEnd:
			return len(b)
		case inBody:
			n := int(min(h.left, int64(len(b)-i)))
			if h.left -= int64(n); h.left == 0 {
				h.part = inHead
			}
			return i + n
		}
		if !h.add(c) {
			continue
		}
		h.seen, h.next = h.next, sight{}
		h.last = ""
		h.count++
		switch {
		case h.seen.coded || h.seen.fault != "":
			h.part = toTheEnd
			return len(b)
		case h.seen.length == 0:
			return i + 1
		}
		h.part, h.left = inBody, h.seen.length
	}
	return len(b)
}

// add takes one byte of a head and says whether it ends there.
func (h *heads) add(c byte) (end bool) {
	if c != '\n' {
		if h.cr {
			h.next.fail("a CR within a line")
		}
		if h.cr = c == '\r'; !h.cr {
			h.size++
			if len(h.line) < lineKept {
				h.line = append(h.line, c)
			}
		}
		return false
	}
	if !h.cr {
		h.next.fail("a line that ends in LF alone")
	}
	h.cr = false
	empty := h.size == 0
	if !empty {
		if h.next.lines++; h.next.lines > 1 {
			h.header()
		}
	}
	h.line, h.size = h.line[:0], 0
	return empty && h.next.lines > 0 // an empty line before the first is passed over
}

func (s *sight) fail(why string) {
	if s.fault == "" {
		s.fault = why
	}
}

// header looks at one whole header line.
func (h *heads) header() {
	if h.line[0] == ' ' || h.line[0] == '\t' {
		if h.last == "content-length" || h.last == "transfer-encoding" {
			h.next.fail("a length on two lines")
		}
		return
	}
	name, value, _ := bytes.Cut(h.line, []byte(":"))
	h.last = strings.ToLower(strings.TrimSpace(string(name)))
	switch h.last {
	case "transfer-encoding":
		h.next.coded = true
	case "content-length":
		text := strings.Trim(string(value), " \t")
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || h.size > lineKept {
			n = math.MaxInt64
			h.next.fail("a Content-Length that is no number")
		}
		h.next.length = int64(n)
		if h.next.lengths++; h.next.lengths > 1 {
			h.next.fail("Content-Length comes twice")
		}
	}
	if h.next.lengths > 0 && h.next.coded {
		h.next.fail("Content-Length beside Transfer-Encoding")
	}
}

// read reads from a connection no further than the current request goes.
func (h *heads) read(from func([]byte) (int, error), b []byte) (n int, err error) {
	for {
		fresh := len(h.rest) == 0
		if fresh {
			n, err = from(b)
		} else {
			n = copy(b, h.rest)
			h.rest = h.rest[n:]
		}
		// Empty lines between two requests are nobody's. (net/http would take them for a request.)
		skip := 0
		for h.part == inHead && h.next.lines == 0 && h.size == 0 && skip < n && (b[skip] == '\r' || b[skip] == '\n') {
			if b[skip] == '\n' && !h.cr {
				break
			}
			h.cr = b[skip] == '\r'
			skip++
		}
		kept := h.take(b[skip:n])
		if over := b[skip+kept : n]; len(over) > 0 {
			h.rest = append(append([]byte(nil), over...), h.rest...)
		}
		copy(b, b[skip:skip+kept])
		if kept > 0 || err != nil || n == 0 {
			return kept, err
		}
	}
}
