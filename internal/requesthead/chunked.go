package requesthead

import "math"

// maxChunkSizeDigits is the maximum number of hexadecimal digits that net/http accepts in a chunk size.
const maxChunkSizeDigits = 16

// chunkState identifies the grammar element to which the next byte of a chunked body belongs.
type chunkState int

// States of a chunkedBody, in the order of RFC 9112, section 7.1. chunkedMalformed is final: a body that violates the
// grammar stays malformed.
const (
	chunkSize      chunkState = iota // the hexadecimal digits of a chunk's size
	chunkExtension                   // the rest of that line, after a semicolon
	chunkSizeLF                      // the LF of that line
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart // the first byte of a line of the trailer section
	trailerLine
	trailerLineLF
	lastLF // the LF of the empty line that ends the body
	chunkedComplete
	chunkedMalformed
)

// chunkedBody tracks the framing of a chunked body to detect when the body is complete. It is strict: a body that net/http
// might continue to read never counts as complete.
type chunkedBody struct {
	state     chunkState
	digits    int    // digits of the current chunk size read so far
	remaining uint64 // bytes of the current chunk not yet read
}

// consume processes bytes of the body. It ignores bytes after the end of the body.
func (c *chunkedBody) consume(b []byte) {
	for len(b) > 0 && c.state != chunkedComplete && c.state != chunkedMalformed {
		if c.state == chunkData {
			n := min(c.remaining, uint64(len(b)))
			b = b[n:]
			if c.remaining -= n; c.remaining == 0 {
				c.state = chunkDataCR
			}
			continue
		}
		c.state = c.next(b[0])
		b = b[1:]
	}
}

// next returns the state after a byte that is not chunk data.
func (c *chunkedBody) next(b byte) chunkState {
	switch c.state {
	case chunkSize:
		return c.addSizeByte(b)
	case chunkExtension:
		return lineState(b, chunkExtension, chunkSizeLF)
	case chunkSizeLF:
		return c.beginChunk(b)
	case chunkDataCR:
		return expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		return expect(b, '\n', chunkSize)
	case trailerStart:
		return lineState(b, trailerLine, lastLF)
	case trailerLine:
		return lineState(b, trailerLine, trailerLineLF)
	case trailerLineLF:
		return expect(b, '\n', trailerStart)
	case lastLF:
		return expect(b, '\n', chunkedComplete)
	}
	return chunkedMalformed
}

// expect returns next if b is the wanted byte, and chunkedMalformed otherwise.
func expect(b, want byte, next chunkState) chunkState {
	if b != want {
		return chunkedMalformed
	}
	return next
}

// lineState returns the state after one byte of a line that ends in CR LF: within the line or after its CR.
func lineState(b byte, within, afterCR chunkState) chunkState {
	switch b {
	case '\r':
		return afterCR
	case '\n':
		return chunkedMalformed
	}
	return within
}

// addSizeByte processes one byte of a chunk size or the byte after it.
func (c *chunkedBody) addSizeByte(b byte) chunkState {
	digit, isDigit := hexDigit(b)
	switch {
	case isDigit && c.digits < maxChunkSizeDigits:
		c.digits++
		c.remaining = c.remaining<<4 | digit
		return chunkSize
	case c.digits == 0:
		return chunkedMalformed
	case b == ';':
		return chunkExtension
	}
	return expect(b, '\r', chunkSizeLF)
}

// beginChunk processes the LF of a size line. The data of the chunk follows, or after the last chunk the trailer section.
func (c *chunkedBody) beginChunk(b byte) chunkState {
	c.digits = 0
	switch {
	case b != '\n' || c.remaining > math.MaxInt64:
		return chunkedMalformed
	case c.remaining == 0:
		return trailerStart
	}
	return chunkData
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value uint64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	}
	return 0, false
}
