// Package watchstream reads a watch: a stream of JSON objects of one type, each on one line or many, with empty lines
// between them as heartbeats. It decides nothing: an object is returned whole, or there is an error that says whether it
// was cut off, too large or not to be read. Internal/endpoints reads discovery's lists with it, internal/configwatch the
// updates of a controller; each calls it from the goroutine of its watch.
package watchstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// TruncatedError says that the stream ended within an object. Nothing that came before is in doubt.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("an object of a watch was cut short (%v): look at what lies between the two ends if it goes on", e.Err)
}

// Unwrap returns how the stream ended.
func (e *TruncatedError) Unwrap() error { return e.Err }

// UnreadableError says that what came is not an object of the type that is read.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("an object of a watch can't be read (%v): look at what the other end writes if it goes on", e.Err)
}

// Unwrap returns what is wrong with the text.
func (e *UnreadableError) Unwrap() error { return e.Err }

// TooLargeError makes an object unreadable: it has more bytes than the reader takes.
type TooLargeError struct{ Limit int }

func (e TooLargeError) Error() string { return fmt.Sprintf("over %d bytes", e.Limit) }

// Watchdog is told what is heard while objects are read. Its calls come from the goroutine that reads.
type Watchdog interface {
	Blank() // nothing but space, between two objects
	Begun() // of an object, the first bytes
	Part()  // more of it
}

// Reader reads one object of type T after another from a stream.
type Reader[T any] struct {
	in      *objectStream
	decoder *json.Decoder
	limit   int
}

// NewReader reads from r objects of at most limit bytes each. The Watchdog hears of all that comes.
func NewReader[T any](r io.Reader, limit int, watchdog Watchdog) *Reader[T] {
	in := &objectStream{in: r, watchdog: watchdog, limit: limit}
	return &Reader[T]{in, json.NewDecoder(in), limit}
}

// Next is the next object, whole. io.EOF: the stream has ended between two.
func (r *Reader[T]) Next() (T, error) {
	var object T
	r.in.between, r.in.left = true, r.limit
	if r.decoder.More() { // of it, something may be here already
		r.in.enter()
	}
	err := r.decoder.Decode(&object)
	var failed *readError
	switch {
	case err == nil:
	case errors.As(err, &failed): // the connection's own end, in the middle or not
		if !r.in.between {
			return object, &TruncatedError{failed.Err}
		}
		return object, failed.Err
	case errors.Is(err, io.EOF):
		return object, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = &TruncatedError{err}
	default:
		err = &UnreadableError{err}
	}
	return object, err
}

// readError keeps an error of the stream apart from one of its text.
type readError struct{ Err error }

func (e *readError) Error() string { return e.Err.Error() }

// objectStream passes on what is read, but for space between two objects: that would pile up in the decoder while
// nothing changes for days. Each object has so many bytes left.
type objectStream struct {
	in       io.Reader
	watchdog Watchdog
	limit    int
	between  bool
	left     int
}

func (s *objectStream) enter() {
	if s.between {
		s.between = false
		s.watchdog.Begun()
	}
}

// Read reads for the decoder.
func (s *objectStream) Read(buf []byte) (int, error) {
	for {
		n, err := s.in.Read(buf)
		got := buf[:n]
		if s.between {
			got = bytes.TrimLeft(got, " \t\r\n")
		}
		switch {
		case len(got) > 0 && s.between:
			s.enter()
		case len(got) > 0:
			s.watchdog.Part()
		case n > 0:
			s.watchdog.Blank()
		}
		if s.left -= len(got); s.left < 0 {
			return 0, TooLargeError{s.limit}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			err = &readError{err}
		}
		if len(got) > 0 || err != nil {
			return copy(buf, got), err
		}
	}
}
