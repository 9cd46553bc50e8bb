package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Version is that of the form of files that Write writes. Files of version 1 are read too: they have no owner and no age.
const Version = 2

// file is what stands on disk, as JSON.
type file struct {
	Version   int             `json:"Version"`
	Owner     string          `json:"Owner,omitempty"` // the node whose file it is: another one must not use it
	BootID    string          `json:"Boot,omitempty"`  // of the machine's run in which it was written
	SinceBoot time.Duration   `json:"At,omitempty"`    // when, in that run, time asleep included
	Checksum  uint64          `json:"Sum"`
	Body      json.RawMessage `json:"Kept"`
}

// Why a file can't be used. A VersionError and an OwnerError are further reasons.
var (
	// ErrDamaged says that a file is incomplete or was changed: it is no JSON, or its checksum is another.
	ErrDamaged = errors.New("torn (incomplete or damaged)")
	// ErrChecksum says that a file is damaged and is JSON still.
	ErrChecksum = fmt.Errorf("%w: its checksum is another", ErrDamaged)
	// ErrTooLarge says that a file has more than MaxFileSize bytes.
	ErrTooLarge = fmt.Errorf("over %d bytes", MaxFileSize)
	// ErrNotRegular says that there is a folder, a pipe or the like where the file should be.
	ErrNotRegular = errors.New("not a regular file")
)

// VersionError says that a file has a form that this build does not know: a later build has written it.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("of version %d, and this build reads up to %d", e.Version, Version)
}

// OwnerError says that a file belongs to another node, which shares the folder and the file's name.
type OwnerError struct{ Owner string }

func (e *OwnerError) Error() string { return fmt.Sprintf("of another owner, %q", e.Owner) }

var checksumTable = crc64.MakeTable(crc64.ECMA)

// checksum covers all that a file says, so that no part of one file can pass beside a part of another.
func (f file) checksum() uint64 {
	return crc64.Checksum(fmt.Appendf(nil, "%d\n%q\n%q\n%d\n%s", f.Version, f.Owner, f.BootID, f.SinceBoot, f.Body), checksumTable)
}

// parse reads a file of Version or of version 1. The error is ErrDamaged, ErrTooLarge or a *VersionError.
func parse(text []byte) (file, error) {
	var f file
	if len(text) > MaxFileSize {
		return f, ErrTooLarge
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	want := f.checksum()
	switch f.Version {
	case Version:
	case 1:
		want = checksumVersion1(f.Body)
	default:
		return f, &VersionError{f.Version}
	}
	if f.Checksum != want || f.Body == nil {
		return f, ErrChecksum
	}
	return f, nil
}

// BootClock returns the ID of the machine's run and how long it has been under way, time asleep included. Unlike the wall
// clock it can't be set, so that a file looks neither younger nor older after a step of that. Where the machine has no such
// clock, the ID is empty, and no file has an age.
func BootClock() (bootID string, sinceBoot time.Duration) {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var now unix.Timespec
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return "", 0
	}
	return strings.TrimSpace(string(id)), time.Duration(now.Nano())
}

// age is how old a file is by a reading of BootClock. It is UnknownAge for a file of another run of the machine, and for
// one from the future, as in a copy of another machine's folder.
func (f file) age(bootID string, sinceBoot time.Duration) time.Duration {
	if f.BootID == "" || f.BootID != bootID || f.SinceBoot > sinceBoot {
		return UnknownAge
	}
	return sinceBoot - f.SinceBoot
}
