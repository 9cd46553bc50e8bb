//go:build !nolab

package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/state"
)

// A disk may have lost, truncated or altered the number of a node's start, or bring back an older one. The node goes on at
// once with the best number that it can find, and the log has a line where something was wrong; the peers refute a number
// that is too low.
func TestStartNumberOnFaultyDisks(t *testing.T) {
	for name, tc := range map[string]struct {
		damage    func(path string) error
		want      uint64
		wantError bool
	}{
		"undamaged":       {func(string) error { return nil }, 4, false},
		"missing":         {removeBothCopies, 1, false},
		"an older one":    {func(path string) error { return state.Write(path, "n", []byte("1")) }, 2, false},
		"of another node": {func(path string) error { removeBothCopies(path); return state.Write(path, "m", []byte("9")) }, 1, true},
		"no number":       {func(path string) error { removeBothCopies(path); return state.Write(path, "n", []byte(`"x"`)) }, 1, true},
		"truncated":       {func(path string) error { return rewriteFile(path, func(b []byte) []byte { return b[:len(b)/2] }) }, 3, false},
		"one bit flipped": {func(path string) error {
			return rewriteFile(path, func(b []byte) []byte { b[len(b)/2] ^= 4; return b })
		}, 3, false},
		"truncated, and no earlier copy": {func(path string) error {
			os.Remove(path + ".before")
			return rewriteFile(path, func(b []byte) []byte { return b[:len(b)/2] })
		}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "start")
			for _, body := range []string{"2", "3"} {
				if err := state.Write(path, "n", []byte(body)); err != nil {
					t.Fatal(err)
				}
			}
			if err := tc.damage(path); err != nil {
				t.Fatal(err)
			}
			s := &startNumberFile{path: path, owner: "n", log: slog.New(slog.DiscardHandler)}
			got, err := s.Next()
			if got != tc.want || (err != nil) != tc.wantError || err != nil && !strings.Contains(err.Error(), "look at the folder's disk") {
				t.Errorf("start %d, %v; want %d", got, err, tc.want)
			}
			s.writes.Wait()
			if again := state.Read(path, "n"); string(again.Body) != fmt.Sprint(tc.want) {
				t.Errorf("%s is on disk", again.Body)
			}
		})
	}
	nowhere := &startNumberFile{path: "/proc/nowhere/start", owner: "n", log: slog.New(slog.DiscardHandler)}
	if n, _ := nowhere.Next(); n != 1 {
		t.Errorf("without a folder it is start %d", n)
	}
	if err := nowhere.Save(7); err == nil {
		t.Error("the number is stored nowhere, and Save returns no error")
	}
}

// removeBothCopies removes the file and its earlier copy.
func removeBothCopies(path string) error {
	os.Remove(path + ".before")
	return os.Remove(path)
}

// rewriteFile changes the bytes of the file.
func rewriteFile(path string, how func([]byte) []byte) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, how(b), 0o600)
}
