package discoveryapi

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// noWatchdog ignores all calls.
type noWatchdog struct{}

func (noWatchdog) Heartbeat()   {}
func (noWatchdog) ObjectBegan() {}
func (noWatchdog) Progress()    {}

// Discovery writes the lists, so every build of a node must read them by the same names: a field that is not found would
// be zero, without an error.
func TestGoldenList(t *testing.T) {
	path := filepath.Join("testdata", "list.json")
	want := List{Version: 5, Complete: true, Endpoints: []Endpoint{{ID: "server-1", Addr: "127.0.0.1:9000", Zone: "north-a", Kind: "big", Cell: 3,
		Health: "ready", StartedAtMillis: 1.5}}}
	goldentest.Check(t, path, want)
	if got, err := NewReader(bytes.NewReader(goldentest.Text(t, path)), noWatchdog{}).Next(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
