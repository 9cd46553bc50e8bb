package settings

import "fmt"

// Error is a fault in a file of settings, at the line where it stands. Its text begins with FILE:LINE, so that an
// editor finds the place.
type Error struct {
	File string
	Line int   // from 1
	Err  error // what is wrong, and what is wanted in its place
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// ErrorAt returns an *Error with a formatted message.
func ErrorAt(file string, line int, format string, args ...any) error {
	return &Error{File: file, Line: line, Err: fmt.Errorf(format, args...)}
}
