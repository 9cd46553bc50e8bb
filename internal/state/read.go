package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Snapshot is a file as it was found.
type Snapshot struct {
	Body     json.RawMessage // nil: there is no file that can be used
	Age      time.Duration   // or UnknownAge
	Previous bool            // it is the file before the last
	Errors   []error         // why files that are there were not used, each a *FileError
}

// FileError says why a file that is there can't be used: ErrDamaged, ErrTooLarge, ErrNotRegular, a *VersionError, an
// *OwnerError, or an error of the system.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// Read returns the newest file that can be used: the one at path, or else the one before it. It returns promptly,
// whatever is there (see load).
func Read(path, owner string) Snapshot {
	var found Snapshot
	bootID, now := BootClock()
	for _, name := range []string{path, previousPath(path)} {
		f, err := loadOwned(name, owner)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			found.Errors = append(found.Errors, &FileError{name, err})
			continue
		}
		found.Body, found.Age, found.Previous = f.Body, f.age(bootID, now), name != path
		return found
	}
	return found
}

// Info is what a file says of itself.
type Info struct {
	Version int
	Owner   string        // empty in a file of version 1
	Age     time.Duration // or UnknownAge
	Body    json.RawMessage
}

// Inspect reads one file by itself, whoever owns it. The error wraps a *FileError.
func Inspect(path string) (Info, error) {
	f, err := load(path)
	if err != nil {
		return Info{}, fmt.Errorf("state: %w", &FileError{path, err})
	}
	return Info{Version: f.Version, Owner: f.Owner, Age: f.age(BootClock()), Body: f.Body}, nil
}

// loadOwned reads a file and checks its owner. One of version 1 names none.
func loadOwned(path, owner string) (file, error) {
	f, err := load(path)
	if err == nil && f.Version > 1 && f.Owner != owner {
		err = &OwnerError{f.Owner}
	}
	return f, err
}

// load reads a file. Whatever else is at its place must neither fill the node's memory nor delay its start: a pipe is not
// waited for, and of a file no more is read than one may have.
func load(path string) (file, error) {
	in, err := os.OpenFile(path, os.O_RDONLY|unix.O_NONBLOCK, 0) // opening a pipe without a writer would block
	if err != nil {
		return file{}, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return file{}, err
	}
	if !info.Mode().IsRegular() {
		return file{}, ErrNotRegular
	}
	text, err := io.ReadAll(io.LimitReader(in, MaxFileSize+1))
	if err != nil {
		return file{}, err
	}
	return parse(text)
}
