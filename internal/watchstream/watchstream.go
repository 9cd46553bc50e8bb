// Package watchstream reads a watch: a stream of JSON objects of one type, each on one line or several, with empty lines
// between them as heartbeats. It makes no decisions: it returns a complete object, or an error that says whether the
// object was truncated, too large or unreadable. internal/discoveryapi uses it for the lists of discovery, and
// internal/configwatch for the updates of a controller, each from the goroutine of its watch.
package watchstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// TruncatedError is returned when the stream ends within an object. The objects before it are valid.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("an object of a watch was truncated (%v): if this continues, check the network between the two ends", e.Err)
}

// Unwrap returns the error with which the stream ended.
func (e *TruncatedError) Unwrap() error { return e.Err }

// UnreadableError is returned when the received text is not an object of the expected type.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("an object of a watch is invalid (%v): if this continues, check what the other end sends", e.Err)
}

// Unwrap returns what is wrong with the text.
func (e *UnreadableError) Unwrap() error { return e.Err }

// TooLargeError says that an object has more than Limit bytes. It is wrapped in an UnreadableError.
type TooLargeError struct{ Limit int }

func (e TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.Limit) }

// Watchdog is notified of what is received while objects are read, so that its owner can time out a stream that is silent
// or that stalls within an object. It is called from the goroutine that reads.
type Watchdog interface {
	Heartbeat()   // whitespace between two objects
	ObjectBegan() // the first bytes of an object
	Progress()    // more bytes of an object
}

// Reader reads one object of type T after another from a stream. It must not be used by several goroutines at once.
type Reader[T any] struct {
	in      *objectStream
	decoder *json.Decoder
	limit   int
}

// NewReader returns a Reader of r that accepts objects of at most limit bytes each. It notifies the Watchdog of
// everything that it reads.
func NewReader[T any](r io.Reader, limit int, watchdog Watchdog) *Reader[T] {
	in := &objectStream{in: r, watchdog: watchdog, limit: limit}
	return &Reader[T]{in, json.NewDecoder(in), limit}
}

// Next returns the next object. The error is io.EOF if the stream has ended between two objects, a *TruncatedError if it
// ended within one, an *UnreadableError, or an error of the stream between two objects.
func (r *Reader[T]) Next() (T, error) {
	var object T
	r.in.betweenObjects, r.in.remaining = true, r.limit
	if r.decoder.More() { // its first bytes may have been read together with the previous object
		r.in.enterObject()
	}
	err := r.decoder.Decode(&object)
	var failed *readError
	switch {
	case err == nil:
	case errors.As(err, &failed): // an error of the stream, not of its text
		if !r.in.betweenObjects {
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

// readError marks an error of the stream, as opposed to an error in its text.
type readError struct{ Err error }

func (e *readError) Error() string { return e.Err.Error() }

// objectStream passes on what it reads, except whitespace between two objects: while nothing changes for days, heartbeats
// would accumulate in the decoder.
type objectStream struct {
	in             io.Reader
	watchdog       Watchdog
	limit          int
	betweenObjects bool // no byte of the next object has been read
	remaining      int  // number of bytes that the object may still have
}

// enterObject records that an object has begun.
func (s *objectStream) enterObject() {
	if s.betweenObjects {
		s.betweenObjects = false
		s.watchdog.ObjectBegan()
	}
}

// Read reads for the decoder. Errors other than io.EOF and TooLargeError are of type *readError, to distinguish them from
// errors in the text.
func (s *objectStream) Read(buf []byte) (int, error) {
	for {
		n, err := s.in.Read(buf)
		got := buf[:n]
		if s.betweenObjects {
			got = bytes.TrimLeft(got, " \t\r\n")
		}
		switch {
		case len(got) > 0 && s.betweenObjects:
			s.enterObject()
		case len(got) > 0:
			s.watchdog.Progress()
		case n > 0:
			s.watchdog.Heartbeat()
		}
		if s.remaining -= len(got); s.remaining < 0 {
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
