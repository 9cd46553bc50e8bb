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

// What a disk that lies makes of the number of a start: the next best is gone on with, at once, and the log says so where
// something was wrong. The peers settle the rest.
func TestStartNumberOnDisksThatLie(t *testing.T) {
	for name, tc := range map[string]struct {
		befall func(path string) error
		want   uint64
		wrong  bool
	}{
		"sound":        {func(string) error { return nil }, 4, false},
		"gone":         {removed, 1, false},
		"an older one": {func(path string) error { return state.Write(path, "n", []byte("1")) }, 2, false},
		"of another":   {func(path string) error { removed(path); return state.Write(path, "m", []byte("9")) }, 1, true},
		"no number":    {func(path string) error { removed(path); return state.Write(path, "n", []byte(`"x"`)) }, 1, true},
		"torn":         {func(path string) error { return changed(path, func(b []byte) []byte { return b[:len(b)/2] }) }, 3, false},
		"a bit differs": {func(path string) error {
			return changed(path, func(b []byte) []byte { b[len(b)/2] ^= 4; return b })
		}, 3, false},
		"torn, and the one before too": {func(path string) error {
			os.Remove(path + ".before")
			return changed(path, func(b []byte) []byte { return b[:len(b)/2] })
		}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "start")
			for _, body := range []string{"2", "3"} {
				if err := state.Write(path, "n", []byte(body)); err != nil {
					t.Fatal(err)
				}
			}
			if err := tc.befall(path); err != nil {
				t.Fatal(err)
			}
			s := &startFile{path: path, owner: "n", log: slog.New(slog.DiscardHandler)}
			got, err := s.Next()
			if got != tc.want || (err != nil) != tc.wrong || err != nil && !strings.Contains(err.Error(), "look at the folder's disk") {
				t.Errorf("start %d, %v; want %d", got, err, tc.want)
			}
			s.writes.Wait()
			if again := state.Read(path, "n"); string(again.Body) != fmt.Sprint(tc.want) {
				t.Errorf("%s is on disk", again.Body)
			}
		})
	}
	nowhere := &startFile{path: "/proc/nowhere/start", owner: "n", log: slog.New(slog.DiscardHandler)}
	if n, _ := nowhere.Next(); n != 1 {
		t.Errorf("without a folder it is start %d", n)
	}
	if err := nowhere.Save(7); err == nil {
		t.Error("it is kept nowhere, and nobody says so")
	}
}

func removed(path string) error {
	os.Remove(path + ".before")
	return os.Remove(path)
}

func changed(path string, how func([]byte) []byte) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, how(b), 0o600)
}
