package goldentest

import (
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Number int
	Map    map[string]bool
}

type outer struct {
	inner
	Text    string
	Pointer *inner
	List    []inner
	Raw     []byte
	hidden  int
}

// A golden file guards only the fields that it contains, so ZeroFields must return every field that is missing in a value.
func TestZeroFields(t *testing.T) {
	full := inner{1, map[string]bool{"a": true}}
	for name, c := range map[string]struct {
		value outer
		want  []string
	}{
		"all fields": {outer{inner: full, Text: "t", Pointer: &full, List: []inner{full}, Raw: []byte("\x00")}, nil},
		"none":       {outer{hidden: 1}, []string{".inner", ".Text", ".Pointer", ".List", ".Raw"}},
		"some": {outer{inner: inner{Number: 1}, Text: "t", Pointer: &inner{Map: full.Map}, List: []inner{full, {1, map[string]bool{"b": false}}}, Raw: []byte{}},
			[]string{".inner.Map", ".Pointer.Number", ".List[1].Map[b]", ".Raw"}},
	} {
		if got := ZeroFields(c.value); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

type tagged struct {
	inner `json:",omitzero"`  // still embedded, because the tag has no name
	Named []map[string]*mixed `json:"named,omitempty"`
	Left  inner               `json:"-"`
}

type mixed struct {
	Again   *tagged `json:"again"`
	Options int     `json:",omitempty"`
	Bare    string
}

// Renaming a field without a tag changes the format, so UntaggedFields must return every such field, at any depth.
func TestUntaggedFields(t *testing.T) {
	want := []string{"goldentest.inner.Number", "goldentest.inner.Map", "goldentest.mixed.Options", "goldentest.mixed.Bare"}
	if got := UntaggedFields(reflect.TypeFor[[]tagged]()); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
