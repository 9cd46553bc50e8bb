package goldentest

import (
	"bytes"
	"testing"
)

// CheckBytes checks that a golden file has exactly the given bytes. It is for formats other than one JSON value per line. With
// the flag -update it rewrites the file first.
func CheckBytes(t testing.TB, path string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, path, got)
	}
	CompareBytes(t, path, got)
}

// CompareBytes checks that a golden file has exactly the given bytes. It never rewrites the file, so it suits bytes that were
// derived from the golden file itself.
func CompareBytes(t testing.TB, path string, got []byte) {
	t.Helper()
	if want := Text(t, path); !bytes.Equal(got, want) {
		t.Errorf("%s has different bytes:\n got %s\nwant %s", path, got, want)
	}
}
