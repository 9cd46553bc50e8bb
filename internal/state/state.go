// Package state keeps on disk what a node must still know after it was ended at any moment: one file for each thing,
// replaced whole, with a checksum, the one before beside it, and its age by a clock that neither a set clock nor a sleep
// of the machine fools. It carries bytes and decides nothing; what they mean is its callers'.
package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gofrs/flock"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// Version is that of the form of files. Those of version 1 had no owner, no age and no file before them.
const Version = 2

// MaxFileSize is how long a file may be, in bytes.
const MaxFileSize = 8 << 20

// UnknownAge is the age of a file that the machine's present run did not write: there is no telling how long it was off.
const UnknownAge = time.Duration(-1)

// Snapshot is a file as it was found.
type Snapshot struct {
	Body     json.RawMessage // nil: there is none that can be used
	Age      time.Duration   // or Unknown
	Previous bool            // it is the one before the last
	Errors   []error         // why files that are there were passed over
}

// file is what stands on disk.
type file struct {
	Version int             `json:"Version"`
	Owner   string          `json:"Owner,omitempty"` // whose it is: another's is no news of this one
	Boot    string          `json:"Boot,omitempty"`  // the machine's run
	At      time.Duration   `json:"At,omitempty"`    // since that began, time asleep included
	Sum     uint64          `json:"Sum"`
	Kept    json.RawMessage `json:"Kept"`
}

var table = crc64.MakeTable(crc64.ECMA)

// sum covers all that a file says, so that no part of one can stand beside a part of another.
func (f file) sum() uint64 {
	return crc64.Checksum(fmt.Appendf(nil, "%d\n%q\n%q\n%d\n%s", f.Version, f.Owner, f.Boot, f.At, f.Kept), table)
}

// BootClock is the machine's run and how long it is under way.
func BootClock() (boot string, at time.Duration) {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var ts unix.Timespec
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return "", 0 // then no file has an age
	}
	return strings.TrimSpace(string(id)), time.Duration(ts.Nano())
}

func before(path string) string { return path + ".before" }

// Write replaces the file at path. Killed at any moment, it leaves the old one or the new one; the one before stays
// beside it. When it returns nil, the new one is on disk. It must not run beside another Write of the same path: see
// Lock.
func Write(path, owner string, body json.RawMessage) error {
	f := file{Version: Version, Owner: owner, Kept: body}
	f.Boot, f.At = BootClock()
	f.Sum = f.sum()
	text, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if len(text) > MaxFileSize {
		return fmt.Errorf("state: %d bytes for %s, at most %d", len(text), path, MaxFileSize)
	}
	dir := filepath.Dir(path)
	sweep(path)
	fresh, err := renameio.NewPendingFile(path, renameio.WithTempDir(dir), renameio.WithStaticPermissions(0o600))
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	defer fresh.Cleanup()
	if _, err := fresh.Write(text); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := keepBefore(path, owner); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := fresh.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return syncFolder(dir)
}

// keepBefore gives the present file its second name. It never takes the last good one away: a file that can't be used
// does not take the place of one that can.
func keepBefore(path, owner string) error {
	if _, err := own(path, owner); err != nil {
		return nil
	}
	link := before(path) + ".new"
	os.Remove(link)
	if err := os.Link(path, link); err != nil {
		return err
	}
	return os.Rename(link, before(path))
}

// syncFolder has the file's name on disk, too.
func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// sweep removes what processes that were killed as they wrote have left.
func sweep(path string) {
	dir, start := filepath.Dir(path), "."+filepath.Base(path)
	left, err := os.ReadDir(dir) // a pattern would read the folder's own name as one
	if err != nil {
		return
	}
	for _, e := range left {
		if strings.HasPrefix(e.Name(), start) {
			os.Remove(filepath.Join(dir, e.Name())) // what can't be removed costs a little room
		}
	}
}

// own reads a file that is of its owner. One of version 1 does not say whose it is.
func own(name, owner string) (file, error) {
	f, err := load(name)
	if err == nil && f.Version > 1 && f.Owner != owner {
		err = fmt.Errorf("it is of %q", f.Owner)
	}
	return f, err
}

// load reads a file of ours: a plain one, of which no more is held than it may be long. Anything else at its place must
// neither fill the node's memory nor hold up its start.
func load(name string) (f file, err error) {
	in, err := os.OpenFile(name, os.O_RDONLY|unix.O_NONBLOCK, 0) // a pipe without a writer would be waited for
	if err != nil {
		return f, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return f, err
	}
	if !info.Mode().IsRegular() {
		return f, errors.New("it is no plain file")
	}
	text, err := io.ReadAll(io.LimitReader(in, MaxFileSize+1))
	if err != nil {
		return f, err
	}
	return parse(text)
}

// Read gives the newest file that can be used: the one at path, or else the one before it.
func Read(path, owner string) (found Snapshot) {
	boot, now := BootClock()
	for _, name := range []string{path, before(path)} {
		f, err := own(name, owner)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			found.Errors = append(found.Errors, fmt.Errorf("%s: %w", name, err))
			continue
		}
		found.Body, found.Age, found.Previous = f.Kept, f.age(boot, now), name != path
		return found
	}
	return found
}

// parse reads a file of this version or of version 1.
func parse(text []byte) (f file, err error) {
	if len(text) > MaxFileSize {
		return f, fmt.Errorf("over %d bytes", MaxFileSize)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("torn: %w", err)
	}
	sum := f.sum()
	switch f.Version {
	case Version:
	case 1:
		sum = sum1(f.Kept)
	default:
		return f, fmt.Errorf("of version %d", f.Version)
	}
	if f.Sum != sum || f.Kept == nil {
		return f, errors.New("torn: its checksum is another")
	}
	return f, nil
}

// LockTimeout is how long Lock waits: a process that hangs with the lock must not hold up the one that replaces it.
const LockTimeout = 300 * time.Millisecond

// Lock keeps other processes and goroutines from what is at path until release. ErrBusy: whoever has it hangs.
func Lock(ctx context.Context, path string) (release func(), err error) {
	ctx, stop := context.WithTimeout(ctx, LockTimeout)
	defer stop()
	l := flock.New(path+".lock", flock.SetPermissions(0o600))
	ok, err := l.TryLockContext(ctx, 2*time.Millisecond)
	switch {
	case ok:
		return func() { l.Close() }, nil
	case errors.Is(err, context.DeadlineExceeded):
		return func() {}, ErrBusy
	}
	return func() {}, fmt.Errorf("state: %w", err)
}

// ErrBusy says that the lock was not to be had in time.
var ErrBusy = errors.New("state: another process has the lock and hangs")

// Info is what a file says of itself.
type Info struct {
	Version int
	Owner   string
	Age     time.Duration // or Unknown
	Body    json.RawMessage
}

// Inspect reads one file by itself, whoever's it is.
func Inspect(path string) (Info, error) {
	f, err := load(path)
	if err != nil {
		return Info{}, fmt.Errorf("state: %s: %w", path, err)
	}
	return Info{Version: f.Version, Owner: f.Owner, Age: f.age(BootClock()), Body: f.Kept}, nil
}

// age is how old a file is, by a clock of now.
func (f file) age(boot string, now time.Duration) time.Duration {
	if f.Boot == "" || f.Boot != boot || f.At > now {
		return UnknownAge
	}
	return now - f.At
}
