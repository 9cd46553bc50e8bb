// Package watchstream reads a watch: a stream of JSON objects of one type, each on one line or many, with empty lines
// between them as heartbeats. It decides nothing: an object is returned complete, or there is an error that says whether it
// was truncated, too large or unreadable. internal/discoveryapi reads discovery's lists with it, internal/configwatch the
// updates of a controller, each from the goroutine of its watch.
package watchstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// TruncatedError says that the stream ended within an object. The objects that came before it are good.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("an object of a watch was truncated (%v): look at what lies between the two ends if it goes on", e.Err)
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

// TooLargeError makes an object unreadable: it has more than Limit bytes.
type TooLargeError struct{ Limit int }

func (e TooLargeError) Error() string { return fmt.Sprintf("over %d bytes", e.Limit) }

// Watchdog observes what comes while objects are read, so that its owner can time out a stream that is silent, or that stalls
// within an object. It is called from the goroutine that reads.
type Watchdog interface {
	Heartbeat()   // a heartbeat: nothing but space between two objects
	ObjectBegan() // the first bytes of an object
	Progress()    // more bytes of an object
}

// Reader reads one object of type T after another from a stream. It is for one goroutine.
type Reader[T any] struct {
	in      *objectStream
	decoder *json.Decoder
	limit   int
}

// NewReader reads from r objects of at most limit bytes each. The Watchdog observes all that comes.
func NewReader[T any](r io.Reader, limit int, watchdog Watchdog) *Reader[T] {
	in := &objectStream{in: r, watchdog: watchdog, limit: limit}
	return &Reader[T]{in, json.NewDecoder(in), limit}
}

// Next returns the next object. The error is io.EOF where the stream has ended between two objects, a *TruncatedError where
// it ended within one, an *UnreadableError, or the stream's own between two objects.
func (r *Reader[T]) Next() (T, error) {
	var object T
	r.in.betweenObjects, r.in.remaining = true, r.limit
	if r.decoder.More() { // its first bytes may have come with the object before
		r.in.enterObject()
	}
	err := r.decoder.Decode(&object)
	var failed *readError
	switch {
	case err == nil:
	case errors.As(err, &failed): // the stream's own error
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

// readError keeps an error of the stream apart from one of its text.
type readError struct{ Err error }

func (e *readError) Error() string { return e.Err.Error() }

// objectStream passes on what it reads, but for space between two objects: heartbeats would pile up in the decoder while
// nothing changes for days.
type objectStream struct {
	in             io.Reader
	watchdog       Watchdog
	limit          int
	betweenObjects bool // no byte of the next object has come
	remaining      int  // bytes that the object may still have
}

// enterObject notes that an object has begun.
func (s *objectStream) enterObject() {
	if s.betweenObjects {
		s.betweenObjects = false
		s.watchdog.ObjectBegan()
	}
}

// Read reads for the decoder. Errors other than io.EOF are of type *readError, to be told from those of the text.
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
