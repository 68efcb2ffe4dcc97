package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"lockroad/internal/golden"
)

// The keys of the platform configuration must not change. The golden file lists the outcome for each key that is
// missing or of another type; a key that is no longer read changes nothing.
func TestConfigurationKeysAreStable(t *testing.T) {
	valid := golden.Read(t, "config.json")
	read := func(text []byte) (*Config, error) {
		c, err := ParseConfig(text)
		if err == nil {
			c.text = nil
		}
		return c, err
	}
	want, err := read(valid)
	if err != nil {
		t.Fatal(err)
	}
	var tree any
	if err := json.Unmarshal(valid, &tree); err != nil {
		t.Fatal(err)
	}
	outcome := func() string { return readingOutcome(t, json.Marshal, read, &tree, want) }
	var b strings.Builder
	golden.EachKey(tree, func(path string, value any, set func(any), remove, restore func()) {
		remove()
		fmt.Fprintf(&b, "%s missing: %s\n", path, outcome())
		restore()
		switch value.(type) {
		case []any: // [1] has the right type
		default:
			set([]int{1})
			fmt.Fprintf(&b, "%s [1]: %s\n", path, outcome())
			restore()
		}
	})
	golden.Compare(t, "config-keys.txt", b.String())
}

// A configuration that is reloaded must have all keys of the configuration in force.
func TestReplacementRequiresKeysInForce(t *testing.T) {
	valid := golden.Read(t, "config.json")
	var tree any
	if err := json.Unmarshal(valid, &tree); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	golden.EachKey(tree, func(path string, _ any, _ func(any), remove, restore func()) {
		remove()
		text, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseConfig("FILE", text, valid)
		fmt.Fprintf(&b, "%s: %s\n", path, strings.ReplaceAll(fmt.Sprint(err), "\n", "; "))
		restore()
	})
	golden.Compare(t, "shorter.txt", b.String())
}

// listKeys writes the keys of the file format that t describes, each with the kind of its value.
func listKeys(b *strings.Builder, path string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer:
		listKeys(b, path, t.Elem())
	case reflect.Slice:
		listKeys(b, path+"[]", t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			switch {
			case !field.IsExported():
			case field.Anonymous && name == "":
				listKeys(b, path, field.Type)
			case name == "": // keys match regardless of case
				listKeys(b, path+"."+strings.ToLower(field.Name), field.Type)
			default:
				listKeys(b, path+"."+name, field.Type)
			}
		}
	default:
		kind := t.Kind().String()
		if t == reflect.TypeFor[duration]() {
			kind = "time"
		}
		fmt.Fprintf(b, "%s %s\n", strings.TrimPrefix(path, "."), kind)
	}
}

// The keys of the operator file and of the site file must not change.
func TestFileKeysAreStable(t *testing.T) {
	for name, format := range map[string]reflect.Type{"operator-keys.txt": reflect.TypeFor[Operator](), "site-keys.txt": reflect.TypeFor[siteFile]()} {
		var b strings.Builder
		listKeys(&b, "", format)
		golden.Compare(t, name, b.String())
	}
}

// The golden file lists the outcome for each missing key of a site file. Keys match regardless of case.
func TestSiteFileKeysAreRead(t *testing.T) {
	valid := golden.Read(t, "site.toml")
	read := func(text []byte) (*Site, error) {
		s, err := parseSite("FILE", text)
		if err == nil {
			s.Config.Seed, s.Config.text, s.values = 0, nil, nil
		}
		return s, err
	}
	want, err := read(valid)
	if err != nil {
		t.Fatal(err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(valid, &tree); err != nil {
		t.Fatal(err)
	}
	outcome := func() string { return readingOutcome(t, toml.Marshal, read, &tree, want) }
	var b strings.Builder
	golden.EachKey(tree, func(path string, _ any, _ func(any), remove, restore func()) {
		remove()
		fmt.Fprintf(&b, "%s missing: %s\n", path, outcome())
		restore()
	})
	golden.Compare(t, "site-missing.txt", b.String())
	capitalized := strings.NewReplacer("\nname", "\nName", "\nlisten", "\nListen", "\naddress", "\nAddress", "\nsize", "\nSIZE", "\nevery", "\nEvery", "\neffect", "\nEffect").Replace(string(valid))
	if got, err := read([]byte(capitalized)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("with capitalized keys: got %+v, %v, want %+v", got, err, want)
	}
}

// Operators read the differences that a reload reports for a site file, and the file that lockroad init writes.
func TestSiteTextsAreStable(t *testing.T) {
	s, err := parseSite("FILE", golden.Read(t, "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "site-changes.txt", strings.Join(differences(nil, s.values, siteReloads), "\n")+"\n")
	golden.Compare(t, "init.toml", RenderSite("music-room", "0.0.0.0:3000", "/run/console.sock", []string{"10.0.0.5:4000", "10.0.0.6:4000"}))
}

// readingOutcome encodes a tree of keys and values and reads it. It returns the error, or whether the result
// differs from want.
func readingOutcome[T any](t *testing.T, marshal func(any) ([]byte, error), read func([]byte) (T, error), tree any, want T) string {
	t.Helper()
	text, err := marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(text)
	switch {
	case err != nil:
		return strings.ReplaceAll(err.Error(), "\n", "; ")
	case !reflect.DeepEqual(got, want):
		return "changes what is read"
	}
	return "changes nothing"
}
