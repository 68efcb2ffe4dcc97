package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// RequireTags fails the test at each exported field within a value's type that has no explicit name in one of its
// tags of the given keys, such as "json": its encoding would change with the field's name.
func RequireTags(t testing.TB, keys []string, value any) {
	t.Helper()
	EncodedFields(reflect.TypeOf(value), func(owner reflect.Type, field reflect.StructField) {
		for _, key := range keys {
			if field.IsExported() && !HasTagName(field.Tag, key) {
				t.Errorf("%s.%s has no name in a %s tag", owner, field.Name, key)
			}
		}
	})
}

// HasTagName reports whether a field's tag of a key, such as "json", has a name, not options alone.
func HasTagName(tag reflect.StructTag, key string) bool {
	name, _, _ := strings.Cut(tag.Get(key), ",")
	return name != ""
}

// EncodedFields calls visit with each field, exported or embedded, of the structs within a type, once for each struct. Types that
// encode themselves are left out.
func EncodedFields(root reflect.Type, visit func(owner reflect.Type, field reflect.StructField)) {
	visitEncodedFields(root, visit, make(map[reflect.Type]bool))
}

func visitEncodedFields(of reflect.Type, visit func(reflect.Type, reflect.StructField), seen map[reflect.Type]bool) {
	if seen[of] || encodesItself(of) {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Map:
		visitEncodedFields(of.Key(), visit, seen)
		visitEncodedFields(of.Elem(), visit, seen)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		visitEncodedFields(of.Elem(), visit, seen)
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if !field.IsExported() && !field.Anonymous {
				continue
			}
			visit(of, field)
			visitEncodedFields(field.Type, visit, seen)
		}
	}
}
