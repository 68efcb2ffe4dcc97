package testutil

import (
	"bytes"
	"encoding"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// UpdateGolden names the environment variable that makes Golden rewrite its files before it
// compares. Deployed programs read and write these encodings: set it only for a new format version.
const UpdateGolden = "LOCKROAD_UPDATE_GOLDEN"

// Golden fails the test if got differs from the golden file at path, and returns the file's content.
func Golden(t testing.TB, path string, got []byte) []byte {
	t.Helper()
	if os.Getenv(UpdateGolden) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has changed:\n got %q\nwant %q", path, got, want)
	}
	return want
}

// GoldenJSON fails the test if the JSON of a value differs from the golden file at path, or if the
// file does not decode to an equal value.
func GoldenJSON[T any](t testing.TB, path string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(Golden(t, path, text), &decoded); err != nil {
		t.Fatalf("decode %s: %v", path, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to\n%+v, want\n%+v", path, decoded, value)
	}
}

// RequireComplete fails the test for each zero or empty field, element or key in a value, and for
// equal fields in one struct. Such a value would not show that an encoding drops or swaps fields.
func RequireComplete(t testing.TB, value any) {
	t.Helper()
	requireComplete(t, reflect.TypeOf(value).String(), reflect.ValueOf(value))
}

func requireComplete(t testing.TB, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s is zero, so its encoding is not compared", path)
		return
	}
	if encodesItself(value.Type()) {
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		requireComplete(t, path, value.Elem())
	case reflect.Struct:
		seen := make(map[any]string)
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			requireComplete(t, path+"."+field.Name, value.Field(i))
			if kind := field.Type.Kind(); kind == reflect.Bool || !field.Type.Comparable() {
				continue
			}
			if other, found := seen[value.Field(i).Interface()]; found {
				t.Errorf("%s.%s has the same value as %s, so a swap of the two would not show", path, field.Name, other)
			}
			seen[value.Field(i).Interface()] = field.Name
		}
	case reflect.Slice, reflect.Array:
		if value.Len() == 0 {
			t.Errorf("%s is empty, so the encoding of its elements is not compared", path)
		}
		for i := range value.Len() {
			requireComplete(t, path+"[]", value.Index(i))
		}
	case reflect.Map:
		if value.Len() == 0 {
			t.Errorf("%s is empty, so the encoding of its elements is not compared", path)
		}
		for _, key := range value.MapKeys() {
			requireComplete(t, path+" key", key)
			requireComplete(t, path+"[]", value.MapIndex(key))
		}
	}
}

// encodesItself reports whether a type implements its encoding, so that its field names don't matter.
func encodesItself(t reflect.Type) bool {
	for _, encoder := range []reflect.Type{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[encoding.TextMarshaler]()} {
		if t.Implements(encoder) || reflect.PointerTo(t).Implements(encoder) {
			return true
		}
	}
	return false
}
