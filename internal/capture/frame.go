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

// A frame is a record as it is stored: its length, then its JSON.
const (
	prefixBytes = 4 // of the length, big-endian
	// maxRecordBytes bounds a record. A damaged length must not be believed, nor a writer go beyond what readers take.
	maxRecordBytes = 4 << 20
)

// Why a frame can't be written or read.
var (
	errRecordLength = errors.New("a record's length is out of range")
	errTruncated    = errors.New("truncated record")
)

// encode writes a record's frame into an empty buffer. The error is errRecordLength, or the JSON encoder's.
func encode(buf *bytes.Buffer, r *record) error {
	buf.Write(make([]byte, prefixBytes))
	encoder := json.NewEncoder(buf)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return err
	}
	buf.Truncate(buf.Len() - 1) // the encoder's line end
	if buf.Len()-prefixBytes > maxRecordBytes {
		return errRecordLength
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(buf.Len()-prefixBytes))
	return nil
}

// readFrame reads one frame and returns its JSON. The error is io.EOF at the end, errTruncated at an end within a frame,
// errRecordLength, or the reader's.
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
	// The buffer grows with what is there: a damaged length must not cost its memory.
	var text bytes.Buffer
	switch n, err := io.CopyN(&text, r, int64(length)); {
	case errors.Is(err, io.EOF) && n < int64(length):
		return nil, errTruncated
	case err != nil:
		return nil, err
	}
	return text.Bytes(), nil
}
