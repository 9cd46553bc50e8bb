package capture

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

const (
	// linePrefix begins each line of a log that holds a record; base64 of its frame follows.
	linePrefix = "capture:"
	// fileExtension is that of a file of frames.
	fileExtension = ".hwc"
	// maxLineBytes is the longest line that can hold a record: base64 makes four bytes of three, and a collector of logs
	// may put something before it.
	maxLineBytes = maxRecordBytes*4/3 + 64<<10
)

// source gives the records of a capture, one by one.
type source interface {
	// next returns a record's JSON and its position in the capture, for messages. The error is io.EOF at the end;
	// errTruncated for a record that is cut short, after which more may come; others are final.
	next() (text []byte, position string, err error)
}

// openSource finds out by a capture's name and first bytes what it is: a file of frames, or a log in which lines with
// records stand among others.
func openSource(name string, in io.Reader) source {
	r := bufio.NewReader(in)
	begin, _ := r.Peek(prefixBytes + 1) // of a length: its first byte is zero, as no log's is
	if filepath.Ext(name) == fileExtension || len(begin) > prefixBytes && begin[0] == 0 && begin[prefixBytes] == '{' {
		return &fileSource{r: r}
	}
	return &logSource{r: r}
}

// fileSource reads a file of frames.
type fileSource struct {
	r *bufio.Reader
	n int // records read so far
}

func (f *fileSource) next() (text []byte, position string, err error) {
	f.n++
	text, err = readFrame(f.r)
	return text, fmt.Sprintf("record %d", f.n), err
}

// logSource reads a log with lines that hold records.
type logSource struct {
	r         *bufio.Reader
	n         int    // lines read so far
	remaining []byte // of the current line, if it is one with records
}

// next finds the next record. One that was cut short has no line end: another one may stand behind it in the same line.
func (l *logSource) next() (text []byte, position string, err error) {
	for {
		var found bool
		if _, l.remaining, found = bytes.Cut(l.remaining, []byte(linePrefix)); found {
			text, err = decodeLine(l.remaining)
			return text, fmt.Sprintf("line %d", l.n), err
		}
		line, err := l.readLine()
		l.n++
		if err != nil {
			return nil, fmt.Sprintf("line %d", l.n), err
		}
		l.remaining = nil
		if holdsRecord(line) {
			l.remaining = line
		}
	}
}

// readLine reads a line; the last one of a log may have no end. It returns errRecordLength for a line that is longer than
// any with a record, of which nothing is kept.
func (l *logSource) readLine() (line []byte, err error) {
	for {
		piece, err := l.r.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLineBytes:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("%w (over %d)", errRecordLength, maxLineBytes)
		case err == io.EOF && len(line) > 0:
			return line, nil
		default:
			return line, err
		}
	}
}

// holdsRecord tells a line with a record, before which a collector of logs may have put a time or a name, from a log line in
// which a text of a client merely looks like one.
func holdsRecord(line []byte) bool {
	before, _, found := bytes.Cut(line, []byte(linePrefix))
	return found && !bytes.Contains(before, []byte("msg="))
}

// decodeLine returns the JSON of the record that follows a linePrefix, up to the next one. Damaged base64 is
// errTruncated: a line cut short mostly has such an end.
func decodeLine(encoded []byte) ([]byte, error) {
	encoded, _, _ = bytes.Cut(encoded, []byte(linePrefix))
	encoded = bytes.TrimSpace(encoded)
	frame := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(frame, encoded)
	if err != nil {
		return nil, errTruncated
	}
	r := bufio.NewReader(bytes.NewReader(frame[:n]))
	text, err := readFrame(r)
	if err == io.EOF {
		err = errTruncated
	}
	if err == nil && r.Buffered() > 0 {
		err = errors.New("a line holds more than one record")
	}
	return text, err
}
