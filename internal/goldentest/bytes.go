package goldentest

import (
	"bytes"
	"testing"
)

// CheckBytes checks that a golden file has these bytes, for forms that are not one JSON value on each line. The flag -update
// rewrites the file.
func CheckBytes(t testing.TB, path string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, path, got)
	}
	CompareBytes(t, path, got)
}

// CompareBytes checks that a golden file has these bytes, and never rewrites it: it is for bytes that were made of the
// golden file itself.
func CompareBytes(t testing.TB, path string, got []byte) {
	t.Helper()
	if want := Text(t, path); !bytes.Equal(got, want) {
		t.Errorf("%s has another form:\n got %s\nwant %s", path, got, want)
	}
}
