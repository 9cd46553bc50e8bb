package settings

import "fmt"

// Error is an error in a settings file, with its line. Its text begins with FILE:LINE, so that an editor can jump to
// the line.
type Error struct {
	File string
	Line int   // from 1
	Err  error // what is wrong, and what is expected instead
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the error without its position.
func (e *Error) Unwrap() error { return e.Err }

// ErrorAt returns an *Error with a formatted message.
func ErrorAt(file string, line int, format string, args ...any) error {
	return &Error{File: file, Line: line, Err: fmt.Errorf(format, args...)}
}
