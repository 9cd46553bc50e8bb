package discoveryapi

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// silent hears nothing.
type silent struct{}

func (silent) Blank() {}
func (silent) Begun() {}
func (silent) Part()  {}

// Discovery writes the lists, and no build of a node may read them by other names.
func TestGoldenList(t *testing.T) {
	path := filepath.Join("testdata", "list.json")
	want := List{Seq: 5, Complete: true, Endpoints: []Endpoint{{Host: "server-1", Dial: "127.0.0.1:9000", Site: "north-a", Class: "big", Block: 3,
		Health: "ready", Born: 1.5}}}
	goldentest.Check(t, path, want)
	if got, err := NewReader(bytes.NewReader(goldentest.Text(t, path)), silent{}).Next(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
