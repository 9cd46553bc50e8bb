package state

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// A node reads the file that the build before has left, and goes back to that build with a file of its own: the form of
// the file, and what its checksum covers, must not change with the names of Go fields. The run of the machine is a fixed
// one here, because a golden file can't have that of each machine.
func TestGoldenFileOfVersion2(t *testing.T) {
	path := filepath.Join("testdata", "state-v2.json")
	want := file{Version: 2, Owner: "node-1 at 127.0.0.1:8080", BootID: "00000000-0000-4000-8000-000000000001", SinceBoot: 123456789,
		Body: json.RawMessage(`{"any":["body",1]}`)}
	want.Checksum = want.checksum()
	goldentest.Check(t, path, want)
	checkFound(t, path, want)
}

// The first builds wrote files of version 1, which name no owner and no time: a node still takes one over.
func TestGoldenFileOfVersion1(t *testing.T) {
	path := filepath.Join("testdata", "state-v1.json")
	body := json.RawMessage(`{"any":["body",1]}`)
	want := file{Version: 1, Checksum: checksumVersion1(body), Body: body}
	text := goldentest.Lines(t, want)
	if goldentest.Updating() {
		goldentest.Write(t, path, text)
	}
	if !bytes.Equal(text, goldentest.Text(t, path)) {
		t.Errorf("written as %s", text)
	}
	checkFound(t, path, want)
}

// checkFound checks that a node finds what a golden file has, and that a file with one byte of the body changed counts as damaged.
func checkFound(t *testing.T, golden string, want file) {
	t.Helper()
	text := goldentest.Text(t, golden)
	path := filepath.Join(t.TempDir(), "s")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if found := Read(path, want.Owner); string(found.Body) != string(want.Body) || found.Age != UnknownAge || found.Previous || found.Errors != nil {
		t.Errorf("found %+v", found)
	}
	info, err := Inspect(path)
	if err != nil || info.Version != want.Version || info.Owner != want.Owner || string(info.Body) != string(want.Body) {
		t.Errorf("inspected as %+v, %v", info, err)
	}
	if want.Version > 1 {
		if found := Read(path, "another"); found.Body != nil || len(found.Errors) != 1 {
			t.Errorf("another owner found %+v", found)
		}
	}
	if _, err := parse(bytes.Replace(text, []byte("body"), []byte("bodx"), 1)); err == nil {
		t.Error("a changed body passes the checksum")
	}
}
