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

// writerPathVariable names the file that the test binary, started as a child process, writes again and again.
const writerPathVariable = "STATE_WRITES"

// TestMain lets the test binary stand in for a process that writes until it is killed.
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

// body is so long that a part of it differs from the whole.
func body(n int) json.RawMessage {
	return json.RawMessage(`{"n":` + strconv.Itoa(n) + `,"fill":"` + strings.Repeat(strconv.Itoa(n%10), 40000) + `"}`)
}

// bodyNumber is the n of a body, which must be complete.
func bodyNumber(t testing.TB, text json.RawMessage) int {
	t.Helper()
	var b struct{ N int }
	if err := json.Unmarshal(text, &b); err != nil || string(text) != string(body(b.N)) {
		t.Fatalf("no body: %.40s, %v", text, err)
	}
	return b.N
}

// A node is killed while it writes its state. Whichever step of Write that hits, the file that it leaves is complete and no
// older than the last of which Write said that it is on disk; and the next Write removes what was left half written.
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
			if written == kill { // the child is at some step of the next write, or of one after it
				child.Process.Kill()
			}
		}
		child.Wait()
		got := Read(path, "me")
		if n := bodyNumber(t, got.Body); n < written || n > written+1 || got.Previous || len(got.Errors) > 0 || got.Age == UnknownAge || got.Age > time.Minute {
			t.Fatalf("%d was written, found %d, age %v, previous %v, errors %v", written, n, got.Age, got.Previous, got.Errors)
		}
	}
	if err := Write(path, "me", body(7)); err != nil {
		t.Fatal(err)
	}
	if list, err := os.ReadDir(dir); err != nil || len(list) != 2 {
		t.Errorf("left: %v, %v", list, err)
	}
}

// A node is killed after the present file got its second name and before the new one took its place, so that both names are
// of one file. The next Write leaves nothing beside the file and the previous one: renaming one name of a file to another
// name of it does nothing, and leaves both.
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
		t.Errorf("previous file: %.40s, errors %v", got.Body, got.Errors)
	}
}

// writeModifiedFile makes a file of this node that is good but for the change.
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

// A file is damaged on disk, or something else stands in its place. The previous file is used, and the error says why the
// last one was not. A bad file never takes the place of the previous one, and where there is neither, nothing is used.
// Nothing that stands there delays a start: opening a pipe would wait for a writer, and reading a huge file would fill the
// memory.
func TestPreviousFileIsUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		reason func(error) bool
		damage func(path string) error
	}{
		"empty":          {wraps(ErrDamaged), func(p string) error { return os.WriteFile(p, nil, 0o600) }},
		"truncated":      {wraps(ErrDamaged), func(p string) error { return os.Truncate(p, 900) }},
		"not JSON":       {wraps(ErrDamaged), func(p string) error { return os.WriteFile(p, []byte("x"), 0o600) }},
		"a byte changed": {wraps(ErrChecksum), func(p string) error { return writeModifiedFile(p, func(f *file) { f.Checksum = f.checksum() ^ 1 }) }},
		"of another owner": {func(err error) bool {
			var owner *OwnerError
			return errors.As(err, &owner) && owner.Owner == "you"
		}, func(p string) error { return writeModifiedFile(p, func(f *file) { f.Owner = "you" }) }},
		"of a later version": {func(err error) bool {
			var version *VersionError
			return errors.As(err, &version) && version.Version == Version+1
		}, func(p string) error { return writeModifiedFile(p, func(f *file) { f.Version = Version + 1 }) }},
		"too large": {wraps(ErrTooLarge), func(p string) error { return os.Truncate(p, 1<<40) }},
		"a folder":  {wraps(ErrNotRegular), func(p string) error { return errors.Join(os.Remove(p), os.Mkdir(p, 0o700)) }},
		"a pipe":    {wraps(ErrNotRegular), func(p string) error { return errors.Join(os.Remove(p), syscall.Mkfifo(p, 0o600)) }},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "[s")
			for n := range 2 {
				if err := Write(path, "me", body(n)); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 { // the second time after a write over the bad file
				if err := tc.damage(path); err != nil {
					t.Fatal(err)
				}
				got := Read(path, "me")
				if n := bodyNumber(t, got.Body); n > 1 || !got.Previous || len(got.Errors) != 1 || !tc.reason(got.Errors[0]) || !strings.HasPrefix(got.Errors[0].Error(), path+": ") {
					t.Errorf("found %d, previous %v, errors %v", n, got.Previous, got.Errors)
				}
				if name == "a folder" { // which Write does not replace
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
				t.Errorf("without files: %d bytes, errors %v", len(got.Body), got.Errors)
			}
		})
	}
}

// wraps makes a check that an error wraps another.
func wraps(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

// A node uses the age of what it finds to judge how much it is worth. A wrong age is worse than none: a file of another run
// of the machine, or from the future, has none, and neither has one of version 1, which is read all the same.
func TestAgeUsesBootClock(t *testing.T) {
	for name, tc := range map[string]struct {
		change   func(*file)
		from, to time.Duration
	}{
		"an hour ago":     {func(f *file) { f.SinceBoot -= time.Hour }, time.Hour, time.Hour + time.Minute},
		"from the future": {func(f *file) { f.SinceBoot += time.Hour }, UnknownAge, UnknownAge},
		"another boot":    {func(f *file) { f.BootID = "x" }, UnknownAge, UnknownAge},
		"no boot clock":   {func(f *file) { f.BootID = "" }, UnknownAge, UnknownAge},
		"of version 1":    {func(f *file) { *f = file{Version: 1, Body: f.Body, Checksum: checksumVersion1(f.Body)} }, UnknownAge, UnknownAge},
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

// No bytes crash the reader, and a file that is taken has its checksum.
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
			t.Errorf("taken: %+v", got)
		}
	})
}
