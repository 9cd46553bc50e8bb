package configwatch

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/goldentest"
	"hookwalk.example/hookwalk/internal/state"
)

// A node that starts while no controller is reachable uses the stored version, which may have been written by the
// previous build. Therefore neither the name of the file nor the format of its body may change.
func TestGoldenStoredVersion(t *testing.T) {
	path := filepath.Join("testdata", "kept.json")
	want := configversion.LastKnownGood{Cluster: "cluster-2", Version: 17,
		Config:         &configapi.ServiceConfig{Settings: json.RawMessage(`{"tick-ms":5}`), Discovery: "127.0.0.1:7300"},
		FormerClusters: map[configapi.Cluster]configapi.Version{"cluster-1": 9},
		Controllers:    []configapi.ControllerAddress{{Address: "127.0.0.1:7400", Region: "north", Zone: "north-a"}}}
	goldentest.Check(t, path, want)
	body := bytes.TrimSpace(goldentest.Text(t, path))

	folder := t.TempDir()
	file := filepath.Join(folder, "hookwalk-config.n%2F0")
	if err := state.Write(file, "n/0", body); err != nil {
		t.Fatal(err)
	}
	store := newTestStore(folder)
	if stored, err := store.Read(); err != nil || !reflect.DeepEqual(stored, want) {
		t.Errorf("read as %+v, %v", stored, err)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	saveAndFlush(store, want)
	if found := state.Read(file, "n/0"); !bytes.Equal(found.Body, body) {
		t.Errorf("stored as %s, %v", found.Body, found.Errors)
	}
}
