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

// Version is the format version of the files that Write writes. Read also accepts files of version 1, which have no owner
// and no age.
const Version = 2

// file is the content of a file, encoded as JSON.
type file struct {
	Version   int             `json:"Version"`
	Owner     string          `json:"Owner,omitempty"` // the node that owns the file; other nodes must not use it
	BootID    string          `json:"Boot,omitempty"`  // ID of the machine's boot during which the file was written
	SinceBoot time.Duration   `json:"At,omitempty"`    // when it was written, as time since boot, including suspended time
	Checksum  uint64          `json:"Sum"`
	Body      json.RawMessage `json:"Kept"`
}

// The reasons why a file can't be used. VersionError and OwnerError are further reasons.
var (
	// ErrDamaged means that a file is incomplete or was modified: it is not valid JSON, or its checksum does not match.
	ErrDamaged = errors.New("torn (incomplete or damaged)")
	// ErrChecksum means that a file is valid JSON, but its checksum does not match. It wraps ErrDamaged.
	ErrChecksum = fmt.Errorf("%w: the checksum does not match", ErrDamaged)
	// ErrTooLarge means that a file is larger than MaxFileSize.
	ErrTooLarge = fmt.Errorf("larger than %d bytes", MaxFileSize)
	// ErrNotRegular means that the path is a directory, a pipe or another special file.
	ErrNotRegular = errors.New("not a regular file")
)

// VersionError means that this build can't read a file's format version, because a later build wrote the file.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("unsupported file version %d: this build reads versions up to %d", e.Version, Version)
}

// OwnerError means that a file belongs to another node, which uses the same directory and file name.
type OwnerError struct{ Owner string }

func (e *OwnerError) Error() string { return fmt.Sprintf("the file has another owner: %q", e.Owner) }

var checksumTable = crc64.MakeTable(crc64.ECMA)

// checksum returns the checksum of all fields of a file, so that a mixture of two files is detected.
func (f file) checksum() uint64 {
	return crc64.Checksum(fmt.Appendf(nil, "%d\n%q\n%q\n%d\n%s", f.Version, f.Owner, f.BootID, f.SinceBoot, f.Body), checksumTable)
}

// parse decodes and checks a file of format version 1 or Version. The error wraps ErrDamaged, ErrTooLarge or a
// *VersionError.
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

// BootClock returns the ID of the machine's current boot and the time since that boot, including suspended time. Unlike the
// wall clock it can't be set, so a step of the wall clock does not change the age of a file. If the machine has no such
// clock, the ID is empty, and the age of every file is unknown.
func BootClock() (bootID string, sinceBoot time.Duration) {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var now unix.Timespec
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return "", 0
	}
	return strings.TrimSpace(string(id)), time.Duration(now.Nano())
}

// age returns the age of a file; the arguments are a reading of BootClock. It is UnknownAge if the file was written during
// another boot, for example on another machine from which the directory was copied, or has a time in the future.
func (f file) age(bootID string, sinceBoot time.Duration) time.Duration {
	if f.BootID == "" || f.BootID != bootID || f.SinceBoot > sinceBoot {
		return UnknownAge
	}
	return sinceBoot - f.SinceBoot
}
