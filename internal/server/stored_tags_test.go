package server

import (
	"reflect"
	"testing"

	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/registry"
	"lockroad/internal/testutil"
)

// Every encoded field must have its name in a tag, so that renaming the field doesn't change the stored format.
// CBOR uses the json tag of a field without a cbor tag.
func TestStoredFieldsAreTagged(t *testing.T) {
	hasCBORName := func(tag reflect.StructTag) bool {
		return testutil.HasTagName(tag, "cbor") || testutil.HasTagName(tag, "json")
	}
	hasJSONTag := func(tag reflect.StructTag) bool { return testutil.HasTagName(tag, "json") }
	hasBothTags := func(tag reflect.StructTag) bool {
		return testutil.HasTagName(tag, "cbor") && testutil.HasTagName(tag, "json")
	}
	for _, root := range []struct {
		stored   reflect.Type
		isTagged func(reflect.StructTag) bool
	}{
		{reflect.TypeFor[persistence.DrainDirective](), hasBothTags},
		{reflect.TypeFor[persistence.RelaySnapshot](), hasCBORName},
		{reflect.TypeFor[explain.Explanation](), hasBothTags},
		{reflect.TypeFor[registry.RequestName](), hasJSONTag},
	} {
		testutil.EncodedFields(root.stored, func(owner reflect.Type, field reflect.StructField) {
			if !field.Anonymous && !root.isTagged(field.Tag) { // embedded fields are promoted
				t.Errorf("%v.%s has no encoded name in its tag %q", owner, field.Name, field.Tag)
			}
		})
	}
}
