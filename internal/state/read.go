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

// Snapshot is the result of Read: the newest usable file, if there is one.
type Snapshot struct {
	Body     json.RawMessage // nil: there is no usable file
	Age      time.Duration   // may be UnknownAge
	Previous bool            // whether Body comes from the previous version of the file
	Errors   []error         // a *FileError for each existing file that could not be used
}

// FileError says why an existing file can't be used. Err wraps ErrDamaged, or is ErrTooLarge, ErrNotRegular, a
// *VersionError, an *OwnerError, or an error of the operating system.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// Read returns the newest usable file: the file at path, or else its previous version. It returns promptly, whatever is
// at these paths (see load).
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

// Info is the content of one file.
type Info struct {
	Version int
	Owner   string        // empty in a file of version 1
	Age     time.Duration // may be UnknownAge
	Body    json.RawMessage
}

// Inspect reads one file, whoever owns it. Unlike Read, it does not fall back to the previous version. The error wraps a
// *FileError.
func Inspect(path string) (Info, error) {
	f, err := load(path)
	if err != nil {
		return Info{}, fmt.Errorf("state: %w", &FileError{path, err})
	}
	return Info{Version: f.Version, Owner: f.Owner, Age: f.age(BootClock()), Body: f.Body}, nil
}

// loadOwned reads a file and checks its owner. Files of version 1 have no owner and are always accepted.
func loadOwned(path, owner string) (file, error) {
	f, err := load(path)
	if err == nil && f.Version > 1 && f.Owner != owner {
		err = &OwnerError{f.Owner}
	}
	return f, err
}

// load reads a file. Whatever else is at the path, it must neither exhaust the node's memory nor delay its start. Therefore
// load does not wait for a pipe, and reads at most one byte more than MaxFileSize.
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
