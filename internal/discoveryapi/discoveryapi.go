// Package discoveryapi reads lists of servers as discovery writes them: one JSON object after another, with empty lines
// between as heartbeats (see internal/watchstream). It decides nothing: what it returns is whole or an error that says
// whether the list was cut off, too large or not to be read. Internal/node calls it from the goroutine of its watch.
package discoveryapi

import (
	"errors"
	"fmt"
	"io"

	"hookwalk.example/hookwalk/internal/watchstream"
)

// MaxListBytes is how many bytes one list may have.
const MaxListBytes = 4 << 20

// List is a list of servers, or its changes.
type List struct {
	Seq       int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
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

// TruncatedError says that an answer ended within a list. Nothing that came before is in doubt.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("a list was cut short (%v): the next call asks from the version held; if it goes on, look at what lies between the node and discovery", e.Err)
}
func (e *TruncatedError) Unwrap() error { return e.Err }

// UnreadableError says that what came is no list. What is held is nothing to build on.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("a list can't be read (%v): the whole list is asked for; if it goes on, look at what discovery writes", e.Err)
}
func (e *UnreadableError) Unwrap() error { return e.Err }

// What makes a list unreadable, beside its JSON.
var (
	ErrTooLarge     = watchstream.TooLargeError{Limit: MaxListBytes}
	ErrNoEndpoints  = errors.New("a whole list without hosts") // it can't be told from an empty one
	ErrVersionGap   = errors.New("a gap in the versions")
	ErrOlderVersion = errors.New("a whole list older than the one held")

	ErrIncomplete = errors.New("one that began is not whole in time")
)

// Watchdog is told what is heard while a list is read. Its calls come from the goroutine that reads.
type Watchdog = watchstream.Watchdog

// Reader reads one list after another from an answer.
type Reader struct{ objects *watchstream.Reader[List] }

// NewReader reads from r. The Watchdog hears of all that comes.
func NewReader(r io.Reader, watchdog Watchdog) *Reader {
	return &Reader{watchstream.NewReader[List](r, MaxListBytes, watchdog)}
}

// Next is the next list, whole. io.EOF: the answer has ended between two.
func (r *Reader) Next() (List, error) {
	list, err := r.objects.Next()
	var cut *watchstream.TruncatedError
	var unreadable *watchstream.UnreadableError
	switch {
	case err == nil && list.Complete && list.Endpoints == nil:
		err = &UnreadableError{ErrNoEndpoints}
	case errors.As(err, &cut):
		err = &TruncatedError{cut.Err}
	case errors.As(err, &unreadable):
		err = &UnreadableError{unreadable.Err}
	}
	return list, err
}
