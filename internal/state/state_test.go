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

// TestMain lets the test binary stand in for a process that writes without end.
func TestMain(m *testing.M) {
	path := os.Getenv("STATE_WRITES")
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

// body is of some length, so that a part of it could be told from the whole.
func body(n int) json.RawMessage {
	return json.RawMessage(`{"n":` + strconv.Itoa(n) + `,"fill":"` + strings.Repeat(strconv.Itoa(n%10), 40000) + `"}`)
}

func number(t testing.TB, text json.RawMessage) int {
	t.Helper()
	var b struct{ N int }
	if err := json.Unmarshal(text, &b); err != nil || string(text) != string(body(b.N)) {
		t.Fatalf("no body: %.40s, %v", text, err)
	}
	return b.N
}

// A process that is killed while it writes, wherever that is, leaves a file that is whole and no older than the last
// that it was told is on disk; and nothing of its attempts is left after the next.
func TestKilledWhileItWrites(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	for kill := range 25 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "STATE_WRITES="+path)
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		told := -1
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if told, err = strconv.Atoi(lines.Text()); err != nil {
				t.Fatal(lines.Text())
			}
			if told == kill { // it is at some step of the next, or of one after it
				c.Process.Kill()
			}
		}
		c.Wait()
		got := Read(path, "me")
		if n := number(t, got.Body); n < told || n > told+1 || got.Previous || len(got.Errors) > 0 || got.Age == UnknownAge || got.Age > time.Minute {
			t.Fatalf("told %d, found %d, age %v, before %v, bad %v", told, n, got.Age, got.Previous, got.Errors)
		}
	}
	if err := Write(path, "me", body(7)); err != nil {
		t.Fatal(err)
	}
	if list, err := os.ReadDir(dir); err != nil || len(list) != 2 {
		t.Errorf("left: %v, %v", list, err)
	}
}

// put makes a file of this node, whole but for what is changed.
func put(path string, change func(*file)) error {
	f := file{Version: Version, Owner: "me", Kept: body(1)}
	f.Boot, f.At = BootClock()
	change(&f)
	if f.Sum == 0 {
		f.Sum = f.sum()
	}
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Whatever has become of the file, the one before it is used, and the reason is told; a bad file never takes that one's
// place, and without it nothing is used. Nothing at its place holds up a start.
func TestWhatCannotBeUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		says   string
		damage func(path string) error
	}{
		"empty":              {"torn", func(p string) error { return os.WriteFile(p, nil, 0o600) }},
		"cut":                {"torn", func(p string) error { return os.Truncate(p, 900) }},
		"no JSON":            {"torn", func(p string) error { return os.WriteFile(p, []byte("x"), 0o600) }},
		"a byte changed":     {"checksum", func(p string) error { return put(p, func(f *file) { f.Sum = f.sum() ^ 1 }) }},
		"another's":          {`of "you"`, func(p string) error { return put(p, func(f *file) { f.Owner = "you" }) }},
		"of a later version": {"version 3", func(p string) error { return put(p, func(f *file) { f.Version = Version + 1 }) }},
		"too long":           {"over", func(p string) error { return os.Truncate(p, 1<<40) }},
		"a folder":           {"no plain file", func(p string) error { return errors.Join(os.Remove(p), os.Mkdir(p, 0o700)) }},
		"a pipe":             {"no plain file", func(p string) error { return errors.Join(os.Remove(p), syscall.Mkfifo(p, 0o600)) }},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "[s")
			for n := range 2 {
				if err := Write(path, "me", body(n)); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 { // the second time beside a file that was written over the bad one
				if err := tc.damage(path); err != nil {
					t.Fatal(err)
				}
				got := Read(path, "me")
				if n := number(t, got.Body); n > 1 || !got.Previous || len(got.Errors) != 1 || !strings.Contains(got.Errors[0].Error(), tc.says) {
					t.Errorf("found %d, before %v, bad %v", n, got.Previous, got.Errors)
				}
				if name == "a folder" { // no file takes its place
					break
				}
				if err := Write(path, "me", body(5)); err != nil {
					t.Fatal(err)
				}
			}
			if err := errors.Join(os.Remove(path), os.Remove(before(path))); err != nil {
				t.Fatal(err)
			}
			if got := Read(path, "me"); got.Body != nil || got.Errors != nil {
				t.Errorf("of nothing: %d bytes, bad %v", len(got.Body), got.Errors)
			}
		})
	}
}

// A file of another run of the machine, or from the future, has no age; one of version 1 has none either, and is read.
func TestAges(t *testing.T) {
	for name, tc := range map[string]struct {
		change   func(*file)
		from, to time.Duration
	}{
		"an hour ago":     {func(f *file) { f.At -= time.Hour }, time.Hour, time.Hour + time.Minute},
		"from the future": {func(f *file) { f.At += time.Hour }, UnknownAge, UnknownAge},
		"another run":     {func(f *file) { f.Boot = "x" }, UnknownAge, UnknownAge},
		"no run":          {func(f *file) { f.Boot = "" }, UnknownAge, UnknownAge},
		"of version 1":    {func(f *file) { *f = file{Version: 1, Kept: f.Kept, Sum: sum1(f.Kept)} }, UnknownAge, UnknownAge},
	} {
		path := filepath.Join(t.TempDir(), "s")
		if err := put(path, tc.change); err != nil {
			t.Fatal(err)
		}
		if got := Read(path, "me"); number(t, got.Body) != 1 || got.Age < tc.from || got.Age > tc.to {
			t.Errorf("%s: age %v, bad %v", name, got.Age, got.Errors)
		}
	}
}

// No bytes crash the reader, and what is taken has its checksum.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Sum":0,"Kept":{}}`))
	good := file{Version: Version, Owner: "me", Kept: json.RawMessage(`{"n":1}`)}
	good.Sum = good.sum()
	text, err := json.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := parse(text)
		if err == nil && (got.Kept == nil || got.Version != 1 && got.Sum != got.sum()) {
			t.Errorf("taken: %+v", got)
		}
	})
}
