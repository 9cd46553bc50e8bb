package blackbox

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// A recorded history outlives the build that wrote it. If a key followed the name of a Go field, renaming the field would
// leave it zero when an old history is read, and the checker would miss violations.
func TestHistoryEncodingIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/small-every-fault.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	h, events, err := Read(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	lines := json.NewEncoder(&written)
	if err := lines.Encode(h); err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if err := lines.Encode(e); err != nil {
			t.Fatal(err)
		}
	}
	const addedKey = `"means":null,` // added after the history was recorded
	if n := bytes.Count(written.Bytes(), []byte(addedKey)); n != 1 {
		t.Errorf("%s is written %d times, want once", addedKey, n)
	}
	if !bytes.Equal(bytes.Replace(written.Bytes(), []byte(addedKey), nil, 1), text) {
		t.Error("re-encoding the history changes it")
	}
	for _, form := range []reflect.Type{reflect.TypeFor[Header](), reflect.TypeFor[Event]()} {
		for _, field := range goldentest.UntaggedFields(form) {
			t.Errorf("%s has no json tag", field)
		}
	}
}
