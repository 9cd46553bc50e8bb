package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// A frame is the stored form of a record: the length of its JSON, then the JSON.
const (
	prefixBytes = 4 // size of the length prefix, which is big-endian
	// maxRecordBytes limits the size of a record: readers reject a larger, probably damaged length, so writers must not
	// exceed it.
	maxRecordBytes = 4 << 20
)

// Errors of writing and reading a frame.
var (
	errRecordLength = errors.New("a record's length is out of range")
	errTruncated    = errors.New("truncated record")
)

// encode writes the frame of a record into an empty buffer. The error is errRecordLength or that of the JSON encoder.
func encode(buf *bytes.Buffer, r *record) error {
	buf.Write(make([]byte, prefixBytes))
	encoder := json.NewEncoder(buf)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return err
	}
	buf.Truncate(buf.Len() - 1) // the line feed that the encoder adds
	if buf.Len()-prefixBytes > maxRecordBytes {
		return errRecordLength
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(buf.Len()-prefixBytes))
	return nil
}

// readFrame reads one frame and returns its JSON. The error is io.EOF at the end of the input, errTruncated if the input
// ends within a frame, errRecordLength, or that of the reader.
func readFrame(r *bufio.Reader) ([]byte, error) {
	var prefix [prefixBytes]byte
	switch _, err := io.ReadFull(r, prefix[:]); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || length > maxRecordBytes {
		return nil, fmt.Errorf("%w (%d)", errRecordLength, length)
	}
	// The buffer grows with the bytes that are read, so that a damaged length does not allocate that much memory.
	var text bytes.Buffer
	switch n, err := io.CopyN(&text, r, int64(length)); {
	case errors.Is(err, io.EOF) && n < int64(length):
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	return text.Bytes(), nil
}
