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

// A disk may lose, truncate or corrupt the start number of a node, or return an older one. The node must start without delay
// with the highest number that it can find, and report an error if the stored one was unusable. Its peers refute a number that
// is too low.
func TestStartNumberOnFaultyDisks(t *testing.T) {
	for name, tc := range map[string]struct {
		damage    func(path string) error
		want      uint64
		wantError bool
	}{
		"undamaged":       {func(string) error { return nil }, 4, false},
		"missing":         {removeBothCopies, 1, false},
		"an older number": {func(path string) error { return state.Write(path, "n", []byte("1")) }, 2, false},
		"of another node": {func(path string) error { removeBothCopies(path); return state.Write(path, "m", []byte("9")) }, 1, true},
		"not a number":    {func(path string) error { removeBothCopies(path); return state.Write(path, "n", []byte(`"x"`)) }, 1, true},
		"truncated":       {func(path string) error { return rewriteFile(path, func(b []byte) []byte { return b[:len(b)/2] }) }, 3, false},
		"one bit flipped": {func(path string) error {
			return rewriteFile(path, func(b []byte) []byte { b[len(b)/2] ^= 4; return b })
		}, 3, false},
		"truncated, without an earlier copy": {func(path string) error {
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
			if got != tc.want || (err != nil) != tc.wantError || err != nil && !strings.Contains(err.Error(), "check the disk of this folder") {
				t.Errorf("start number %d, error %v; want %d", got, err, tc.want)
			}
			s.writes.Wait()
			if again := state.Read(path, "n"); string(again.Body) != fmt.Sprint(tc.want) {
				t.Errorf("%s is on disk, want %d", again.Body, tc.want)
			}
		})
	}
	nowhere := &startNumberFile{path: "/proc/nowhere/start", owner: "n", log: slog.New(slog.DiscardHandler)}
	if n, _ := nowhere.Next(); n != 1 {
		t.Errorf("without a folder, the start number is %d, want 1", n)
	}
	if err := nowhere.Save(7); err == nil {
		t.Error("without a folder, Save returns no error")
	}
}

// removeBothCopies removes a file and its earlier copy.
func removeBothCopies(path string) error {
	os.Remove(path + ".before")
	return os.Remove(path)
}

// rewriteFile replaces the content of a file by a modified copy.
func rewriteFile(path string, how func([]byte) []byte) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, how(b), 0o600)
}
