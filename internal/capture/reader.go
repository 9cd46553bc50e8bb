package capture

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

var errTruncated = errors.New("truncated record")

// readFrame reads one record with its length before it. io.EOF is the end, errTruncated one within a record.
func readFrame(r *bufio.Reader) ([]byte, error) {
	var prefix [prefixLen]byte
	switch _, err := io.ReadFull(r, prefix[:]); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n == 0 || n > maxRecord {
		return nil, fmt.Errorf("%w (%d)", errAbsurd, n)
	}
	// A length that is a lie must not cost its memory.
	var frame bytes.Buffer
	switch got, err := io.CopyN(&frame, r, int64(n)); {
	case errors.Is(err, io.EOF) && got < int64(n):
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	return frame.Bytes(), nil
}

// source gives the records of a capture, one by one, and says where they stand. errTruncated is for one that is cut
// short, after which more may come.
type source interface {
	next() (frame []byte, where string, err error)
}

// open finds out what a capture is: a file of records, or a log with capture lines among others.
func open(name string, in io.Reader) source {
	r := bufio.NewReader(in)
	begin, _ := r.Peek(prefixLen + 1) // no line of a log begins with a zero byte, and every short length does
	if filepath.Ext(name) == ".hwc" || len(begin) > prefixLen && begin[0] == 0 && begin[prefixLen] == '{' {
		return &frames{r: r}
	}
	return &lines{r: r}
}

type frames struct {
	r *bufio.Reader
	n int
}

func (f *frames) next() ([]byte, string, error) {
	f.n++
	frame, err := readFrame(f.r)
	return frame, fmt.Sprintf("record %d", f.n), err
}

type lines struct {
	r    *bufio.Reader
	n    int
	rest []byte // of the line
}

// maxLine is the longest line that a record can be, with room for what a collector puts before it.
const maxLine = maxRecord*4/3 + 64<<10

// line reads a line, the last of which may have no end. A longer one than any record is not kept.
func (l *lines) line() (text []byte, err error) {
	for {
		part, err := l.r.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(text) <= maxLine:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("%w (over %d)", errAbsurd, maxLine)
		case err == io.EOF && len(text) > 0:
			return text, nil
		default:
			return text, err
		}
	}
}

// isCapture tells a capture line, before which whoever collected the log may have put a time or a name, from a
// log line in which a caller's words merely look like one.
func isCapture(line []byte) bool {
	before, _, found := bytes.Cut(line, []byte(linePrefix))
	return found && !bytes.Contains(before, []byte("msg="))
}

// next finds the next capture line. One that was cut short has no end: another one may stand behind it.
func (l *lines) next() ([]byte, string, error) {
	for {
		var found bool
		if _, l.rest, found = bytes.Cut(l.rest, []byte(linePrefix)); !found {
			text, err := l.line()
			l.n++
			if err != nil {
				return nil, fmt.Sprintf("line %d", l.n), err
			}
			if l.rest = nil; isCapture(text) {
				l.rest = text
			}
			continue
		}
		where := fmt.Sprintf("line %d", l.n)
		text := l.rest
		if i := bytes.Index(text, []byte(linePrefix)); i >= 0 {
			text = text[:i]
		}
		whole := bytes.TrimSpace(text)
		raw := make([]byte, base64.StdEncoding.DecodedLen(len(whole)))
		n, err := base64.StdEncoding.Decode(raw, whole)
		if err != nil {
			return nil, where, errTruncated
		}
		r := bufio.NewReader(bytes.NewReader(raw[:n]))
		frame, err := readFrame(r)
		if err == io.EOF {
			err = errTruncated
		}
		if err == nil && r.Buffered() > 0 {
			err = errors.New("a line holds more than one record")
		}
		return frame, where, err
	}
}
