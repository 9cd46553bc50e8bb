// Package endpoints reads lists of servers as discovery writes them: one JSON object after another, on one line or many,
// with empty lines between as signs of life. It decides nothing: what it returns is whole or an error that says whether
// the list was cut off, too large or not to be read. Internal/node calls it from the goroutine of its watch.
package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Most is how many bytes one list may have.
const Most = 4 << 20

// List is a list of servers, or its changes.
type List struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Endpoint is a server's entry.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Born   float64 `json:"born_ms"`
}

// CutError says that an answer ended within a list. Nothing that came before is in doubt.
type CutError struct{ Err error }

func (e *CutError) Error() string {
	return fmt.Sprintf("a list was cut short (%v): the next call asks from the version held; if it goes on, look at what lies between the node and discovery", e.Err)
}
func (e *CutError) Unwrap() error { return e.Err }

// UnreadableError says that what came is no list. What is held is nothing to build on.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("a list can't be read (%v): the whole list is asked for; if it goes on, look at what discovery writes", e.Err)
}
func (e *UnreadableError) Unwrap() error { return e.Err }

// What makes a list unreadable, beside its JSON.
var (
	ErrTooLarge = fmt.Errorf("over %d bytes", Most)
	ErrNoHosts  = errors.New("a whole list without hosts") // it can't be told from an empty one
	ErrGap      = errors.New("a gap in the versions")
	ErrOlder    = errors.New("a whole list older than the one held")

	ErrNeverWhole = errors.New("one that began is not whole in time")
)

// Watchdog is told what is heard while a list is read. Its calls come from the goroutine that reads.
type Watchdog interface {
	Blank() // nothing but space, between two lists
	Begun() // of a list, the first bytes
	Part()  // more of it
}

// Reader reads one list after another from an answer.
type Reader struct {
	in  *alive
	dec *json.Decoder
}

// NewReader reads from r. The Watchdog hears of all that comes.
func NewReader(r io.Reader, dog Watchdog) *Reader {
	in := &alive{in: r, dog: dog}
	return &Reader{in, json.NewDecoder(in)}
}

// Next is the next list, whole. io.EOF: the answer has ended between two.
func (r *Reader) Next() (List, error) {
	var n List
	r.in.between, r.in.left = true, Most
	if r.dec.More() { // of it, something may be here already
		r.in.enter()
	}
	err := r.dec.Decode(&n)
	var failed *readError
	switch {
	case err == nil && n.Whole && n.Hosts == nil:
		err = &UnreadableError{ErrNoHosts}
	case err == nil:
	case errors.As(err, &failed): // the connection's own end, in the middle or not
		if !r.in.between {
			return n, &CutError{failed.Err}
		}
		return n, failed.Err
	case errors.Is(err, io.EOF):
		return n, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = &CutError{err}
	default:
		err = &UnreadableError{err}
	}
	return n, err
}

// readError keeps an error of the answer's apart from one of the text's.
type readError struct{ Err error }

func (e *readError) Error() string { return e.Err.Error() }

// alive passes on what is read, but for space between two lists: that would pile up in the decoder while nothing
// changes for days. Each list has so many bytes left.
type alive struct {
	in      io.Reader
	dog     Watchdog
	between bool
	left    int
}

func (a *alive) enter() {
	if a.between {
		a.between = false
		a.dog.Begun()
	}
}

func (a *alive) Read(buf []byte) (int, error) {
	for {
		n, err := a.in.Read(buf)
		got := buf[:n]
		if a.between {
			got = bytes.TrimLeft(got, " \t\r\n")
		}
		switch {
		case len(got) > 0 && a.between:
			a.enter()
		case len(got) > 0:
			a.dog.Part()
		case n > 0:
			a.dog.Blank()
		}
		if a.left -= len(got); a.left < 0 {
			return 0, ErrTooLarge
		}
		if err != nil && !errors.Is(err, io.EOF) {
			err = &readError{err}
		}
		if len(got) > 0 || err != nil {
			return copy(buf, got), err
		}
	}
}
