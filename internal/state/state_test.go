package state

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		told := -1
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if told, err = strconv.Atoi(lines.Text()); err != nil {
				t.Fatal(lines.Text())
			}
			if told == kill { // it is at some step of the next, or of one after it
				c.Process.Kill()
			}
		}
		c.Wait()
		got := Read(path, "me")
		if n := number(t, got.Body); n < told || n > told+1 || got.Before || len(got.Bad) > 0 {
			t.Fatalf("told %d, found %d, before %v, bad %v", told, n, got.Before, got.Bad)
		}
		if got.Age == Unknown || got.Age > time.Minute {
			t.Errorf("its age is %v", got.Age)
		}
	}
	if err := Write(path, "me", body(7)); err != nil {
		t.Fatal(err)
	}
	list, err := os.ReadDir(dir)
	if err != nil || len(list) != 2 {
		t.Errorf("left: %v, %v", list, err)
	}
}

// Whatever has become of the file, the one before it is used, else none; and the reason is told.
func TestWhatCannotBeUsed(t *testing.T) {
	whole := func(change func(*file)) func(path string) error {
		return func(path string) error {
			f := file{Version: Version, Owner: "me", Kept: body(3)}
			f.Boot, f.At = Clock()
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
	}
	for name, tc := range map[string]struct {
		damage func(path string) error
		says   string
	}{
		"empty":              {func(p string) error { return os.WriteFile(p, nil, 0o600) }, "torn"},
		"cut":                {func(p string) error { return os.Truncate(p, 900) }, "torn"},
		"no JSON":            {func(p string) error { return os.WriteFile(p, []byte("x"), 0o600) }, "torn"},
		"a byte changed":     {whole(func(f *file) { f.Sum = f.sum() ^ 1 }), "checksum"},
		"another's":          {whole(func(f *file) { f.Owner = "you" }), `of "you"`},
		"of a later version": {whole(func(f *file) { f.Version = Version + 1 }), "version 3"},
		"too long":           {func(p string) error { return os.Truncate(p, Most+1) }, "over"},
		"a folder":           {func(p string) error { return errors.Join(os.Remove(p), os.Mkdir(p, 0o700)) }, "directory"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s")
			for n := range 2 {
				if err := Write(path, "me", body(n)); err != nil {
					t.Fatal(err)
				}
			}
			if err := tc.damage(path); err != nil {
				t.Fatal(err)
			}
			got := Read(path, "me")
			if number(t, got.Body) != 0 || !got.Before || len(got.Bad) != 1 || !strings.Contains(got.Bad[0].Error(), tc.says) {
				t.Errorf("before %v, bad %v", got.Before, got.Bad)
			}
			if err := tc.damage(before(path)); err != nil && name != "a folder" {
				t.Fatal(err)
			}
			if got := Read(path, "me"); got.Body != nil || len(got.Bad) != 2 {
				t.Errorf("%d bytes, bad %v", len(got.Body), got.Bad)
			}
		})
	}
	if got := Read(filepath.Join(t.TempDir(), "none"), "me"); got.Body != nil || got.Bad != nil {
		t.Errorf("of nothing: %+v", got)
	}
}

// A file that can't be used does not take the place of the good one before it.
func TestABadFileIsNotKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for n := range 2 {
		if err := Write(path, "me", body(n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Truncate(path, 100); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, "me", body(5)); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(path, 100); err != nil {
		t.Fatal(err)
	}
	if got := Read(path, "me"); number(t, got.Body) != 0 || !got.Before {
		t.Errorf("found %d", number(t, got.Body))
	}
}

// A file of another run of the machine, or from the future, has no age; one of version 1 has none either, and is read.
func TestAges(t *testing.T) {
	boot, now := Clock()
	for name, tc := range map[string]struct {
		f   file
		age func(time.Duration) bool
	}{
		"an hour ago":     {file{Version: Version, Owner: "me", Boot: boot, At: now - time.Hour}, func(d time.Duration) bool { return d >= time.Hour && d < time.Hour+time.Minute }},
		"from the future": {file{Version: Version, Owner: "me", Boot: boot, At: now + time.Hour}, func(d time.Duration) bool { return d == Unknown }},
		"another run":     {file{Version: Version, Owner: "me", Boot: "x", At: now}, func(d time.Duration) bool { return d == Unknown }},
		"no run":          {file{Version: Version, Owner: "me"}, func(d time.Duration) bool { return d == Unknown }},
		"of version 1":    {file{Version: 1, Sum: sum1(body(1))}, func(d time.Duration) bool { return d == Unknown }},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s")
			tc.f.Kept = body(1)
			if tc.f.Sum == 0 {
				tc.f.Sum = tc.f.sum()
			}
			text, err := json.Marshal(tc.f)
			if err == nil {
				err = os.WriteFile(path, text, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := Read(path, "me"); number(t, got.Body) != 1 || !tc.age(got.Age) {
				t.Errorf("age %v, bad %v", got.Age, got.Bad)
			}
		})
	}
}

// The lock is one's alone, whoever asks, and a holder that hangs holds nobody up for long.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	release, err := Lock(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(t.Context(), path); !errors.Is(err, ErrBusy) {
		t.Errorf("a second holder: %v", err)
	}
	over, end := context.WithCancel(t.Context())
	end()
	if _, err := Lock(over, path); err == nil || errors.Is(err, ErrBusy) {
		t.Errorf("its caller has gone: %v", err)
	}
	release()
	release, err = Lock(t.Context(), path)
	if err != nil {
		t.Errorf("after its release: %v", err)
	}
	release()
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
