package server

import (
	"reflect"
	"testing"

	"lockroad/internal/explain"
	"lockroad/internal/persistence"
	"lockroad/internal/registry"
	"lockroad/internal/testutil"
)

// Every exported field that is encoded names itself in a tag, so that it can be renamed without a change of the
// format. CBOR goes by the json tag where there is no cbor tag.
func TestStoredFieldsNameThemselvesInTags(t *testing.T) {
	isCBOR := func(tag reflect.StructTag) bool {
		return testutil.HasTagName(tag, "cbor") || testutil.HasTagName(tag, "json")
	}
	isJSON := func(tag reflect.StructTag) bool { return testutil.HasTagName(tag, "json") }
	isBoth := func(tag reflect.StructTag) bool {
		return testutil.HasTagName(tag, "cbor") && testutil.HasTagName(tag, "json")
	}
	for _, root := range []struct {
		of      reflect.Type
		isNamed func(reflect.StructTag) bool
	}{
		{reflect.TypeFor[persistence.DrainDirective](), isBoth},
		{reflect.TypeFor[persistence.RelaySnapshot](), isCBOR},
		{reflect.TypeFor[explain.Explanation](), isBoth},
		{reflect.TypeFor[registry.RequestName](), isJSON},
	} {
		testutil.EncodedFields(root.of, func(owner reflect.Type, field reflect.StructField) {
			if !field.Anonymous && !root.isNamed(field.Tag) { // what an embedded type holds is encoded as if it stood here
				t.Errorf("%v.%s is encoded by the name of the field: its tag is %q", owner, field.Name, field.Tag)
			}
		})
	}
}
