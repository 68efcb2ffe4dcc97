package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// Tagged fails the test at each exported field within a value's type that has no explicit name in one of its
// tags of the given keys, such as "json": its encoding would change with the field's name. Types in except are
// not checked.
func Tagged(t testing.TB, keys []string, value any, except ...reflect.Type) {
	t.Helper()
	seen := make(map[reflect.Type]bool)
	for _, excepted := range except {
		seen[excepted] = true
	}
	tagged(t, keys, reflect.TypeOf(value), seen)
}

func tagged(t testing.TB, keys []string, of reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[of] || encodesItself(of) {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Map:
		tagged(t, keys, of.Key(), seen)
		tagged(t, keys, of.Elem(), seen)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		tagged(t, keys, of.Elem(), seen)
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if !field.IsExported() {
				continue
			}
			for _, key := range keys {
				if name, _, _ := strings.Cut(field.Tag.Get(key), ","); name == "" {
					t.Errorf("%s.%s has no name in a %s tag", of, field.Name, key)
				}
			}
			tagged(t, keys, field.Type, seen)
		}
	}
}
