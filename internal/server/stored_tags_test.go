package server

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/registry"
)

// Every exported field that is encoded names itself in a tag, so that it can be renamed without a change of the
// format. CBOR goes by the json tag where there is no cbor tag.
func TestStoredFieldsNameThemselvesInTags(t *testing.T) {
	isCBOR := func(tag reflect.StructTag) bool { return namedIn(tag, "cbor") || namedIn(tag, "json") }
	isJSON := func(tag reflect.StructTag) bool { return namedIn(tag, "json") }
	isBoth := func(tag reflect.StructTag) bool { return namedIn(tag, "cbor") && namedIn(tag, "json") }
	for _, root := range []struct {
		of      reflect.Type
		isNamed func(reflect.StructTag) bool
	}{
		{reflect.TypeFor[persistence.DrainDirective](), isBoth},
		{reflect.TypeFor[persistence.RelaySnapshot](), isCBOR},
		{reflect.TypeFor[explain.Explanation](), isBoth},
		{reflect.TypeFor[registry.RequestName](), isJSON},
	} {
		seen := map[reflect.Type]bool{reflect.TypeFor[time.Time](): true}
		requireTags(t, root.of, root.isNamed, seen)
	}
}

// namedIn tells whether a tag of a kind has a name, not options alone.
func namedIn(tag reflect.StructTag, kind string) bool {
	name, _, _ := strings.Cut(tag.Get(kind), ",")
	return name != ""
}

// requireTags fails for each exported field of a type, or of one that it holds, that no tag names.
func requireTags(t *testing.T, of reflect.Type, isNamed func(reflect.StructTag) bool, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[of] {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		requireTags(t, of.Elem(), isNamed, seen)
	case reflect.Map:
		requireTags(t, of.Key(), isNamed, seen)
		requireTags(t, of.Elem(), isNamed, seen)
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if !field.IsExported() && !field.Anonymous {
				continue
			}
			if !field.Anonymous && !isNamed(field.Tag) { // what an embedded type holds is encoded as if it stood here
				t.Errorf("%v.%s is encoded by the name of the field: its tag is %q", of, field.Name, field.Tag)
			}
			requireTags(t, field.Type, isNamed, seen)
		}
	}
}
