// Package discoveryapi has the endpoint lists as discovery writes them, and reads them from an answer: one JSON object after
// another, with empty lines between as heartbeats (see internal/watchstream). The names on discovery's wire are its own; the
// JSON tags here map them to the terms of the code.
//
// It decides nothing: a list is returned complete, or there is an error that says whether it was truncated, too large or
// unreadable. internal/discovery calls it, each Reader from the goroutine of its stream.
package discoveryapi

import (
	"errors"
	"fmt"
	"io"

	"hookwalk.example/hookwalk/internal/watchstream"
)

// MaxListBytes is how many bytes one list may have: one without an end would fill the memory.
const MaxListBytes = 4 << 20

// List is the complete endpoint list, or the changes since an earlier version.
type List struct {
	Version   int64      `json:"seq"`   // the version of the list; it grows
	Complete  bool       `json:"whole"` // all endpoints are in Endpoints; else those that have changed
	Endpoints []Endpoint `json:"hosts"` // nil: the key was missing
}

// Endpoint is one server of a list.
type Endpoint struct {
	ID              string  `json:"host"`    // its ID
	Addr            string  `json:"dial"`    // its address, HOST:PORT
	Zone            string  `json:"site"`    // its zone
	Kind            string  `json:"class"`   // its kind
	Cell            int     `json:"block"`   // its cell
	Health          string  `json:"health"`  // in_service, terminated, or another state in which it takes no new requests
	StartedAtMillis float64 `json:"born_ms"` // when it started, in milliseconds of the Unix epoch; 0: not known
}

// TruncatedError says that an answer ended within a list. The lists that came before it are good.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("a list was truncated (%v): the next poll begins from the version held; if it goes on, look at what lies between the node and discovery", e.Err)
}

// Unwrap returns how the answer ended.
func (e *TruncatedError) Unwrap() error { return e.Err }

// UnreadableError says that what came is no list, or can't be built on. The complete list is needed next.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("a list can't be read (%v): the complete list is polled; if it goes on, look at what discovery writes", e.Err)
}

// Unwrap returns what is wrong with the list.
func (e *UnreadableError) Unwrap() error { return e.Err }

// What makes a list unreadable, beside its JSON. A Reader finds the first two, internal/discovery the others.
var (
	// ErrTooLarge: it has more than MaxListBytes.
	ErrTooLarge = watchstream.TooLargeError{Limit: MaxListBytes}
	// ErrNoEndpoints: a complete list without the key hosts. Taken for an empty list it would remove all endpoints.
	ErrNoEndpoints = errors.New("a complete list without hosts")
	// ErrVersionGap: changes of a version before the one held.
	ErrVersionGap = errors.New("changes older than the list held")
	// ErrOlderVersion: a complete list of a version before the one held. It would bring back endpoints that have drained.
	ErrOlderVersion = errors.New("a complete list older than the one held")
	// ErrIncomplete: it began, and did not end in time.
	ErrIncomplete = errors.New("a list that began is not complete in time")
)

// Watchdog observes what comes while a list is read. It is called from the goroutine that reads.
type Watchdog = watchstream.Watchdog

// Reader reads one list after another from an answer. It is for one goroutine.
type Reader struct{ objects *watchstream.Reader[List] }

// NewReader reads from r. The Watchdog observes all that comes.
func NewReader(r io.Reader, watchdog Watchdog) *Reader {
	return &Reader{watchstream.NewReader[List](r, MaxListBytes, watchdog)}
}

// Next returns the next list. The error is io.EOF where the answer has ended between two lists, a *TruncatedError where it
// ended within one, an *UnreadableError, or that of the connection between two lists.
func (r *Reader) Next() (List, error) {
	list, err := r.objects.Next()
	var truncated *watchstream.TruncatedError
	var unreadable *watchstream.UnreadableError
	switch {
	case err == nil && list.Complete && list.Endpoints == nil:
		err = &UnreadableError{ErrNoEndpoints}
	case errors.As(err, &truncated):
		err = &TruncatedError{truncated.Err}
	case errors.As(err, &unreadable):
		err = &UnreadableError{unreadable.Err}
	}
	return list, err
}
