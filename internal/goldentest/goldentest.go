// Package goldentest compares JSON that the program stores or sends with golden files. A golden file contains bytes as written
// by a released build, one JSON value per line. Other builds use the same format, and so do the files that they have written,
// so renaming a Go field must not change a golden file. Only tests import this package.
package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Check checks that json.Marshal encodes the values as the golden file, and that the file decodes to the values. No field of
// a value may be zero, so that the file covers all fields of the format. With the flag -update, Check rewrites the file first.
func Check[T any](t testing.TB, path string, values ...T) {
	t.Helper()
	if *update {
		Write(t, path, Lines(t, values...))
	}
	read := Read[T](t, path)
	if !reflect.DeepEqual(read, values) {
		t.Errorf("%s decodes to\n%+v, want\n%+v", path, read, values)
	}
	if encoded := Lines(t, values...); !bytes.Equal(encoded, Text(t, path)) {
		t.Errorf("the values of %s are encoded as\n%s", path, encoded)
	}
}

// Read reads a golden file. It checks that the values have no unknown and no zero fields, and that json.Marshal encodes them
// as the same bytes.
func Read[T any](t testing.TB, path string) (values []T) {
	t.Helper()
	values = decode[T](t, path)
	for n, value := range values {
		for _, field := range ZeroFields(value) {
			t.Errorf("%s, line %d: %s is missing or zero", path, n+1, field)
		}
	}
	return values
}

// ReadKinds reads a golden file as Read does, but its values are of several kinds, and each sets only the fields of its kind.
// The function part returns the part of a value that must have no zero field.
func ReadKinds[T any](t testing.TB, path string, part func(T) any) (values []T) {
	t.Helper()
	values = decode[T](t, path)
	for n, value := range values {
		for _, field := range ZeroFields(part(value)) {
			t.Errorf("%s, line %d: %s is missing or zero", path, n+1, field)
		}
	}
	return values
}

// decode reads a golden file. It checks that the values are encoded as the same bytes, and that each exported field has a tag
// with its JSON name.
func decode[T any](t testing.TB, path string) (values []T) {
	t.Helper()
	for _, field := range UntaggedFields(reflect.TypeFor[T]()) {
		t.Errorf("%s: %s needs a tag with its JSON name: without one, renaming the field changes the format", path, field)
	}
	text := Text(t, path)
	for line := range bytes.Lines(text) {
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		var value T
		if err := decoder.Decode(&value); err != nil {
			t.Fatalf("%s, line %d: %v", path, len(values)+1, err)
		}
		values = append(values, value)
	}
	if again := Lines(t, values...); !bytes.Equal(again, text) {
		t.Errorf("%s contains\n%s, but its values are encoded as\n%s", path, text, again)
	}
	return values
}

// Text returns the bytes of a golden file.
func Text(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Updating reports whether the flag -update is set.
func Updating() bool { return *update }

// Write writes a golden file and creates its folder if needed.
func Write(t testing.TB, path string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Lines encodes values in the format of a golden file, one JSON value per line.
func Lines[T any](t testing.TB, values ...T) (text []byte) {
	t.Helper()
	for _, value := range values {
		line, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	return text
}

// UntaggedFields returns all exported fields within a type, as TYPE.FIELD, that encoding/json encodes under their Go names
// because they have no tag with a name. Embedded structs need no tag: their fields are encoded as fields of the outer struct.
func UntaggedFields(within reflect.Type) []string {
	return untaggedFields(within, map[reflect.Type]bool{})
}

func untaggedFields(within reflect.Type, seen map[reflect.Type]bool) (untagged []string) {
	if seen[within] {
		return nil
	}
	seen[within] = true
	switch within.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return untaggedFields(within.Elem(), seen)
	case reflect.Struct:
		for n := range within.NumField() {
			field := within.Field(n)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "-" || !field.IsExported() && !field.Anonymous {
				continue
			}
			if name == "" && !field.Anonymous {
				untagged = append(untagged, within.String()+"."+field.Name)
			}
			untagged = append(untagged, untaggedFields(field.Type, seen)...)
		}
	}
	return untagged
}

// ZeroFields returns the paths, made of Go names, of all exported fields within a value that are zero, nil or empty.
func ZeroFields(value any) []string { return zeroFields("", reflect.ValueOf(value)) }

func zeroFields(path string, value reflect.Value) (zero []string) {
	if !value.IsValid() || value.IsZero() {
		return []string{path}
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		return zeroFields(path, value.Elem())
	case reflect.Struct:
		for n := range value.NumField() {
			if field := value.Type().Field(n); field.IsExported() || field.Anonymous {
				zero = append(zero, zeroFields(path+"."+field.Name, value.Field(n))...)
			}
		}
	case reflect.Slice, reflect.Array:
		if value.Len() == 0 {
			return []string{path}
		}
		if value.Type().Elem().Kind() == reflect.Uint8 {
			return nil // the content of a byte slice, such as a json.RawMessage, may be zero
		}
		for n := range value.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, n), value.Index(n))...)
		}
	case reflect.Map:
		if value.Len() == 0 {
			return []string{path}
		}
		for _, key := range value.MapKeys() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))...)
		}
	}
	return zero
}
