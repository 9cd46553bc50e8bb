package state

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// After an upgrade, a node reads the file that the previous build wrote, and after a downgrade the previous build reads the
// file of this one. Therefore the file format and the data covered by the checksum must not change when Go fields are
// renamed. The boot ID is a fixed one, because it differs on each machine.
func TestGoldenFileOfVersion2(t *testing.T) {
	path := filepath.Join("testdata", "state-v2.json")
	want := file{Version: 2, Owner: "node-1 at 127.0.0.1:8080", BootID: "00000000-0000-4000-8000-000000000001", SinceBoot: 123456789,
		Body: json.RawMessage(`{"any":["body",1]}`)}
	want.Checksum = want.checksum()
	goldentest.Check(t, path, want)
	checkFound(t, path, want)
}

// Early builds wrote files of version 1, which have no owner and no time. A node must still read them.
func TestGoldenFileOfVersion1(t *testing.T) {
	path := filepath.Join("testdata", "state-v1.json")
	body := json.RawMessage(`{"any":["body",1]}`)
	want := file{Version: 1, Checksum: checksumVersion1(body), Body: body}
	text := goldentest.Lines(t, want)
	if goldentest.Updating() {
		goldentest.Write(t, path, text)
	}
	if !bytes.Equal(text, goldentest.Text(t, path)) {
		t.Errorf("the encoded file differs from the golden file: %s", text)
	}
	checkFound(t, path, want)
}

// checkFound checks that a golden file is read correctly, that another owner can't read it, and that a change to one byte
// of its body is detected.
func checkFound(t *testing.T, golden string, want file) {
	t.Helper()
	text := goldentest.Text(t, golden)
	path := filepath.Join(t.TempDir(), "s")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if found := Read(path, want.Owner); string(found.Body) != string(want.Body) || found.Age != UnknownAge || found.Previous || found.Errors != nil {
		t.Errorf("Read returned %+v", found)
	}
	info, err := Inspect(path)
	if err != nil || info.Version != want.Version || info.Owner != want.Owner || string(info.Body) != string(want.Body) {
		t.Errorf("Inspect returned %+v, %v", info, err)
	}
	if want.Version > 1 {
		if found := Read(path, "another"); found.Body != nil || len(found.Errors) != 1 {
			t.Errorf("Read for another owner returned %+v", found)
		}
	}
	if _, err := parse(bytes.Replace(text, []byte("body"), []byte("bodx"), 1)); err == nil {
		t.Error("a changed body was not detected")
	}
}
