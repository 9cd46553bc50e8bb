package controller

import "fmt"

// FolderError says that a controller's folder can't be used.
type FolderError struct {
	Folder string
	Reason string // what an operator can do, too
	Err    error  // nil: the reason says it all
}

func (e *FolderError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("controller: folder %s: %s", e.Folder, e.Reason)
	}
	return fmt.Sprintf("controller: folder %s: %v: %s", e.Folder, e.Err, e.Reason)
}
func (e *FolderError) Unwrap() error { return e.Err }

// ListenError says that a controller can't listen at one of its addresses.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("controller: can't listen at %s: %v: is another process there, or is it no address of this machine?", e.Address, e.Err)
}
func (e *ListenError) Unwrap() error { return e.Err }
