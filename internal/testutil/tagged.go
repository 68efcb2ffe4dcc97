package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// RequireTags fails the test for each exported field in a value's type without an explicit name in
// its tags of the given keys, such as "json". Renaming such a field would change the encoding.
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

// HasTagName reports whether the value of a key, such as "json", in a tag has a name besides options.
func HasTagName(tag reflect.StructTag, key string) bool {
	name, _, _ := strings.Cut(tag.Get(key), ",")
	return name != ""
}

// EncodedFields calls visit with each exported or embedded field of the structs within a type, once
// per struct type. Types that implement their encoding are skipped.
func EncodedFields(root reflect.Type, visit func(owner reflect.Type, field reflect.StructField)) {
	visitEncodedFields(root, visit, make(map[reflect.Type]bool))
}

func visitEncodedFields(typ reflect.Type, visit func(reflect.Type, reflect.StructField), seen map[reflect.Type]bool) {
	if seen[typ] || encodesItself(typ) {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Map:
		visitEncodedFields(typ.Key(), visit, seen)
		visitEncodedFields(typ.Elem(), visit, seen)
	case reflect.Pointer, reflect.Slice, reflect.Array:
		visitEncodedFields(typ.Elem(), visit, seen)
	case reflect.Struct:
		for i := range typ.NumField() {
			field := typ.Field(i)
			if !field.IsExported() && !field.Anonymous {
				continue
			}
			visit(typ, field)
			visitEncodedFields(field.Type, visit, seen)
		}
	}
}
