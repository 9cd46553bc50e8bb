package goldentest

import (
	"path/filepath"
	"testing"
)

// errorCounter counts the errors that a check reports.
type errorCounter struct {
	testing.TB
	count int
}

func (f *errorCounter) Helper()               {}
func (f *errorCounter) Errorf(string, ...any) { f.count++ }

// CompareBytes reports bytes that differ in one position or end early.
func TestCompareBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden")
	Write(t, path, []byte("abc"))
	for got, want := range map[string]int{"abc": 0, "abd": 1, "ab": 1, "": 1} {
		f := &errorCounter{TB: t}
		CompareBytes(f, path, []byte(got))
		if f.count != want {
			t.Errorf("%q compared with a golden file of \"abc\": %d errors, want %d", got, f.count, want)
		}
	}
}
