package state

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// writerPathVariable is the environment variable with the path of the file that the test binary, started as a child
// process, writes repeatedly.
const writerPathVariable = "STATE_WRITES"

// TestMain lets the test binary also act as a process that writes until it is killed.
func TestMain(m *testing.M) {
	path := os.Getenv(writerPathVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	for n := range 1 << 20 {
		if err := Write(path, "me", body(n)); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// body returns the body with number n. It is long enough that an incomplete write can be detected.
func body(n int) json.RawMessage {
	return json.RawMessage(`{"n":` + strconv.Itoa(n) + `,"fill":"` + strings.Repeat(strconv.Itoa(n%10), 40000) + `"}`)
}

// bodyNumber returns the number of a body, and checks that the body is complete.
func bodyNumber(t testing.TB, text json.RawMessage) int {
	t.Helper()
	var b struct{ N int }
	if err := json.Unmarshal(text, &b); err != nil || string(text) != string(body(b.N)) {
		t.Fatalf("not a complete body: %.40s, %v", text, err)
	}
	return b.N
}

// A node is killed while it writes its state. Whatever step of Write is interrupted, the remaining file must be complete,
// and not older than the last file for which Write returned nil. The next Write must remove the temporary files.
func TestFileSurvivesKillDuringWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	for kill := range 25 {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), writerPathVariable+"="+path)
		out, err := child.StdoutPipe()
		if err == nil {
			err = child.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		written := -1
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if written, err = strconv.Atoi(lines.Text()); err != nil {
				t.Fatal(lines.Text())
			}
			if written == kill { // by now the child is in some step of the next write or a later one
				child.Process.Kill()
			}
		}
		child.Wait()
		got := Read(path, "me")
		if n := bodyNumber(t, got.Body); n < written || n > written+1 || got.Previous || len(got.Errors) > 0 || got.Age == UnknownAge || got.Age > time.Minute {
			t.Fatalf("wrote %d, read %d, age %v, previous %v, errors %v", written, n, got.Age, got.Previous, got.Errors)
		}
	}
	if err := Write(path, "me", body(7)); err != nil {
		t.Fatal(err)
	}
	if list, err := os.ReadDir(dir); err != nil || len(list) != 2 {
		t.Errorf("left: %v, %v", list, err)
	}
}

// A node is killed after the current file got its second name and before the new file replaced it, so that both names refer
// to the same file. The next Write must leave no third file: rename(2) between two names of the same file does nothing and
// keeps both names.
func TestWriteAfterKillBetweenLinkAndRename(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	if err := errors.Join(Write(path, "me", body(0)), os.Link(path, previousPath(path)), Write(path, "me", body(1))); err != nil {
		t.Fatal(err)
	}
	if list, err := os.ReadDir(dir); err != nil || len(list) != 2 {
		t.Errorf("left: %v, %v", list, err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if got := Read(path, "me"); bodyNumber(t, got.Body) != 0 || !got.Previous {
		t.Errorf("read %.40s, previous %v, errors %v; want the previous file", got.Body, got.Previous, got.Errors)
	}
}

// writeModifiedFile writes a file of this node that is valid except for the change. The checksum matches unless change sets
// it.
func writeModifiedFile(path string, change func(*file)) error {
	f := file{Version: Version, Owner: "me", Body: body(1)}
	f.BootID, f.SinceBoot = BootClock()
	change(&f)
	if f.Checksum == 0 {
		f.Checksum = f.checksum()
	}
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// A file is damaged on disk, or something else is at its path. Read must return the previous file, and an error that says
// why the current one is unusable. An unusable file must never become the previous file. Without any file, Read returns
// none. Nothing at the path may delay a start: opening a pipe would wait for a writer, and reading a huge file would
// exhaust the memory.
func TestPreviousFileIsUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		reason func(error) bool
		damage func(path string) error
	}{
		"empty":          {wraps(ErrDamaged), func(p string) error { return os.WriteFile(p, nil, 0o600) }},
		"truncated":      {wraps(ErrDamaged), func(p string) error { return os.Truncate(p, 900) }},
		"not JSON":       {wraps(ErrDamaged), func(p string) error { return os.WriteFile(p, []byte("x"), 0o600) }},
		"a byte changed": {wraps(ErrChecksum), func(p string) error { return writeModifiedFile(p, func(f *file) { f.Checksum = f.checksum() ^ 1 }) }},
		"owned by another node": {func(err error) bool {
			var owner *OwnerError
			return errors.As(err, &owner) && owner.Owner == "you"
		}, func(p string) error { return writeModifiedFile(p, func(f *file) { f.Owner = "you" }) }},
		"of a later version": {func(err error) bool {
			var version *VersionError
			return errors.As(err, &version) && version.Version == Version+1
		}, func(p string) error { return writeModifiedFile(p, func(f *file) { f.Version = Version + 1 }) }},
		"too large":   {wraps(ErrTooLarge), func(p string) error { return os.Truncate(p, 1<<40) }},
		"a directory": {wraps(ErrNotRegular), func(p string) error { return errors.Join(os.Remove(p), os.Mkdir(p, 0o700)) }},
		"a pipe":      {wraps(ErrNotRegular), func(p string) error { return errors.Join(os.Remove(p), syscall.Mkfifo(p, 0o600)) }},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "[s")
			for n := range 2 {
				if err := Write(path, "me", body(n)); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 { // the second time after Write has replaced the unusable file
				if err := tc.damage(path); err != nil {
					t.Fatal(err)
				}
				got := Read(path, "me")
				if n := bodyNumber(t, got.Body); n > 1 || !got.Previous || len(got.Errors) != 1 || !tc.reason(got.Errors[0]) || !strings.HasPrefix(got.Errors[0].Error(), path+": ") {
					t.Errorf("read %d, previous %v, errors %v", n, got.Previous, got.Errors)
				}
				if name == "a directory" { // which Write can't replace
					break
				}
				if err := Write(path, "me", body(5)); err != nil {
					t.Fatal(err)
				}
			}
			if err := errors.Join(os.Remove(path), os.Remove(previousPath(path))); err != nil {
				t.Fatal(err)
			}
			if got := Read(path, "me"); got.Body != nil || got.Errors != nil {
				t.Errorf("Read without any file returned %d bytes, errors %v", len(got.Body), got.Errors)
			}
		})
	}
}

// wraps returns a function that reports whether an error wraps target.
func wraps(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

// A node decides by the age of the state whether it can use it. A wrong age is worse than an unknown one: the age must be
// unknown for files that were written in another boot of the machine, that are from the future, or that have version 1.
// Read must return these files nevertheless.
func TestAgeUsesBootClock(t *testing.T) {
	for name, tc := range map[string]struct {
		change   func(*file)
		from, to time.Duration
	}{
		"one hour old":    {func(f *file) { f.SinceBoot -= time.Hour }, time.Hour, time.Hour + time.Minute},
		"from the future": {func(f *file) { f.SinceBoot += time.Hour }, UnknownAge, UnknownAge},
		"another boot":    {func(f *file) { f.BootID = "x" }, UnknownAge, UnknownAge},
		"no boot clock":   {func(f *file) { f.BootID = "" }, UnknownAge, UnknownAge},
		"version 1":       {func(f *file) { *f = file{Version: 1, Body: f.Body, Checksum: checksumVersion1(f.Body)} }, UnknownAge, UnknownAge},
	} {
		path := filepath.Join(t.TempDir(), "s")
		if err := writeModifiedFile(path, tc.change); err != nil {
			t.Fatal(err)
		}
		if got := Read(path, "me"); bodyNumber(t, got.Body) != 1 || got.Age < tc.from || got.Age > tc.to {
			t.Errorf("%s: age %v, errors %v", name, got.Age, got.Errors)
		}
	}
}

// No input may crash parse, and any file that it accepts must have a matching checksum.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Sum":0,"Kept":{}}`))
	good := file{Version: Version, Owner: "me", Body: json.RawMessage(`{"n":1}`)}
	good.Checksum = good.checksum()
	text, err := json.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := parse(text)
		if err == nil && (got.Body == nil || got.Version != 1 && got.Checksum != got.checksum()) {
			t.Errorf("parse accepted an invalid file: %+v", got)
		}
	})
}
