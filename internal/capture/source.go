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
	// linePrefix starts a log line that contains a record; the frame of the record follows in base64.
	linePrefix = "capture:"
	// fileExtension is the name extension of capture files.
	fileExtension = ".hwc"
	// maxLineBytes is the maximum length of a line with a record: base64 encodes three bytes as four, and a log collector
	// may add a prefix.
	maxLineBytes = maxRecordBytes*4/3 + 64<<10
)

// source reads the records of a capture one at a time.
type source interface {
	// next returns the JSON of a record and its position in the capture, for messages. The error is io.EOF at the end of
	// the capture, and errTruncated for a truncated record, after which more records may follow. Any other error is final.
	next() (text []byte, position string, err error)
}

// openSource detects the type of a capture by its name and its first bytes: a file of frames, or a log in which some lines
// contain records.
func openSource(name string, in io.Reader) source {
	r := bufio.NewReader(in)
	begin, _ := r.Peek(prefixBytes + 1) // the first byte of a frame's length is 0, that of a log never
	if filepath.Ext(name) == fileExtension || len(begin) > prefixBytes && begin[0] == 0 && begin[prefixBytes] == '{' {
		return &fileSource{r: r}
	}
	return &logSource{r: r}
}

// fileSource reads records from a file of frames.
type fileSource struct {
	r *bufio.Reader
	n int // records read so far
}

func (f *fileSource) next() (text []byte, position string, err error) {
	f.n++
	text, err = readFrame(f.r)
	return text, fmt.Sprintf("record %d", f.n), err
}

// logSource reads records from the lines of a log.
type logSource struct {
	r         *bufio.Reader
	n         int    // lines read so far
	remaining []byte // rest of the current line, if the line contains records
}

// next returns the next record. A truncated record has no line end, so another record may follow it on the same line.
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

// readLine reads a line. The last line of a log may lack a line end. For a line longer than maxLineBytes it returns
// errRecordLength and discards the line.
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

// holdsRecord reports whether a line contains a record, possibly after a time or a name that a log collector added. It
// returns false for a log message in which client-supplied text looks like a record.
func holdsRecord(line []byte) bool {
	before, _, found := bytes.Cut(line, []byte(linePrefix))
	return found && !bytes.Contains(before, []byte("msg="))
}

// decodeLine returns the JSON of the record that follows a linePrefix, up to the next linePrefix. It returns errTruncated
// for invalid base64, because truncated lines usually end that way.
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
		err = errors.New("the base64 data holds more than one record")
	}
	return text, err
}
