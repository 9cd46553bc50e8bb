package goldentest

import (
	"path/filepath"
	"testing"
)

// errorCounter counts the errors of a check that has to fail.
type errorCounter struct {
	testing.TB
	count int
}

func (f *errorCounter) Helper()               {}
func (f *errorCounter) Errorf(string, ...any) { f.count++ }

// A form that differs in one byte, or ends early, is noticed.
func TestCompareBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden")
	Write(t, path, []byte("abc"))
	for got, want := range map[string]int{"abc": 0, "abd": 1, "ab": 1, "": 1} {
		f := &errorCounter{TB: t}
		CompareBytes(f, path, []byte(got))
		if f.count != want {
			t.Errorf("%q beside a golden file with abc: %d errors, want %d", got, f.count, want)
		}
	}
}
