package blackbox

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// A recorded history outlives the build that wrote it: were a key of its form to follow a Go name, an old history would be
// read with fields that are silently zero, and the checker would accept what breaks a rule.
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
	const addedKey = `"means":null,` // a key that the recorded history is older than
	if n := bytes.Count(written.Bytes(), []byte(addedKey)); n != 1 {
		t.Errorf("%s is written %d times", addedKey, n)
	}
	if !bytes.Equal(bytes.Replace(written.Bytes(), []byte(addedKey), nil, 1), text) {
		t.Error("the history is written in another form than it was read")
	}
	for _, form := range []reflect.Type{reflect.TypeFor[Header](), reflect.TypeFor[Event]()} {
		for _, field := range goldentest.UntaggedFields(form) {
			t.Errorf("%s has no json tag", field)
		}
	}
}
