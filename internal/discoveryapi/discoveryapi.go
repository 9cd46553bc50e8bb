// Package discoveryapi defines the endpoint lists in discovery's format and reads them from a response: one JSON object
// after another, with empty lines between them as heartbeats (see internal/watchstream). Discovery uses its own names for
// the fields; the JSON tags map them to the terms of this code.
//
// The package makes no decisions: it returns a complete list, or an error that says whether the list was truncated, too
// large or unreadable. internal/discovery calls each Reader from the goroutine of its stream.
package discoveryapi

import (
	"errors"
	"fmt"
	"io"

	"hookwalk.example/hookwalk/internal/watchstream"
)

// MaxListBytes limits the size of one list, because a list without an end would fill the memory.
const MaxListBytes = 4 << 20

// List is the complete endpoint list, or the changes since an earlier version.
type List struct {
	Version   int64      `json:"seq"`   // version of the list; it increases with each change
	Complete  bool       `json:"whole"` // Endpoints has all endpoints; otherwise only those that have changed
	Endpoints []Endpoint `json:"hosts"` // nil: the key is missing
}

// Endpoint is one server in a list.
type Endpoint struct {
	ID              string  `json:"host"`
	Addr            string  `json:"dial"` // HOST:PORT
	Zone            string  `json:"site"`
	Kind            string  `json:"class"`
	Cell            int     `json:"block"`
	Health          string  `json:"health"`  // in_service, terminated, or any other state in which it takes no new requests
	StartedAtMillis float64 `json:"born_ms"` // start time, in milliseconds of the Unix epoch; 0: unknown
}

// TruncatedError is returned when a response ends within a list. The lists before it are valid.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("an endpoint list was truncated (%v): the next poll resumes from the version held; if this continues, check the network between the node and discovery", e.Err)
}

// Unwrap returns the error with which the response ended.
func (e *TruncatedError) Unwrap() error { return e.Err }

// UnreadableError is returned when the received text is not a list, or when a list cannot be applied. The complete list
// must be polled next.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("an endpoint list is invalid (%v): the complete list is polled next; if this continues, check what discovery sends", e.Err)
}

// Unwrap returns what is wrong with the list.
func (e *UnreadableError) Unwrap() error { return e.Err }

// What makes a list unreadable besides malformed JSON. A Reader detects the first two cases, internal/discovery the
// others.
var (
	// ErrTooLarge: the list has more than MaxListBytes.
	ErrTooLarge = watchstream.TooLargeError{Limit: MaxListBytes}
	// ErrNoEndpoints: a complete list without the key "hosts". If it were treated as an empty list, it would remove all
	// endpoints.
	ErrNoEndpoints = errors.New("a complete list has no key \"hosts\"")
	// ErrVersionGap: changes of a version older than the one held.
	ErrVersionGap = errors.New("changes are older than the list held")
	// ErrOlderVersion: a complete list of a version older than the one held. It would bring back endpoints that have
	// drained.
	ErrOlderVersion = errors.New("a complete list is older than the one held")
	// ErrIncomplete: a list that began but did not end in time.
	ErrIncomplete = errors.New("a list was not complete in time")
)

// Watchdog is notified of heartbeats and of the progress of a list. It is called from the goroutine that reads.
type Watchdog = watchstream.Watchdog

// Reader reads one list after another from a response. It must not be used by several goroutines at once.
type Reader struct{ objects *watchstream.Reader[List] }

// NewReader returns a Reader of r, which notifies the Watchdog of everything that it reads.
func NewReader(r io.Reader, watchdog Watchdog) *Reader {
	return &Reader{watchstream.NewReader[List](r, MaxListBytes, watchdog)}
}

// Next returns the next list. The error is io.EOF if the response has ended between two lists, a *TruncatedError if it
// ended within one, an *UnreadableError, or an error of the connection between two lists.
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
