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

// The keys of the platform's configuration: the problems where one is missing or of another type. A key that is read under another name shows here as one that changes nothing.
func TestConfigurationKeysAreStable(t *testing.T) {
	good := golden.Read(t, "config.json")
	read := func(text []byte) (*Config, error) {
		c, err := ParseConfig(text)
		if err == nil {
			c.text = nil
		}
		return c, err
	}
	want, err := read(good)
	if err != nil {
		t.Fatal(err)
	}
	var tree any
	if err := json.Unmarshal(good, &tree); err != nil {
		t.Fatal(err)
	}
	outcome := func() string { return readingOutcome(t, json.Marshal, read, &tree, want) }
	var b strings.Builder
	golden.EachKey(tree, func(path string, value any, set func(any), remove, restore func()) {
		remove()
		fmt.Fprintf(&b, "%s missing: %s\n", path, outcome())
		restore()
		switch value.(type) {
		case map[string]any, []any: // the text of their errors names types of the program
		default:
			set([]int{1})
			fmt.Fprintf(&b, "%s [1]: %s\n", path, outcome())
			restore()
		}
	})
	golden.Compare(t, "config-keys.txt", b.String())
}

// A configuration that takes another's place has to have all of its keys.
func TestReplacementRequiresKeysOfFormer(t *testing.T) {
	good := golden.Read(t, "config.json")
	var tree any
	if err := json.Unmarshal(good, &tree); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	golden.EachKey(tree, func(path string, _ any, _ func(any), remove, restore func()) {
		remove()
		text, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseConfig("FILE", text, good)
		fmt.Fprintf(&b, "%s: %s\n", path, strings.ReplaceAll(fmt.Sprint(err), "\n", "; "))
		restore()
	})
	golden.Compare(t, "shorter.txt", b.String())
}

// keysOf lists the keys that a file is read by, with what kind of value each has.
func keysOf(b *strings.Builder, path string, of reflect.Type) {
	switch of.Kind() {
	case reflect.Pointer:
		keysOf(b, path, of.Elem())
	case reflect.Slice:
		keysOf(b, path+"[]", of.Elem())
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			switch {
			case !field.IsExported():
			case field.Anonymous && name == "":
				keysOf(b, path, field.Type)
			case name == "": // keys are found whatever their case
				keysOf(b, path+"."+strings.ToLower(field.Name), field.Type)
			default:
				keysOf(b, path+"."+name, field.Type)
			}
		}
	default:
		kind := of.Kind().String()
		if of == reflect.TypeFor[duration]() {
			kind = "time"
		}
		fmt.Fprintf(b, "%s %s\n", strings.TrimPrefix(path, "."), kind)
	}
}

// All keys of the operator's file and of a site's.
func TestFileKeysAreStable(t *testing.T) {
	for name, of := range map[string]reflect.Type{"operator-keys.txt": reflect.TypeFor[Operator](), "site-keys.txt": reflect.TypeFor[siteFile]()} {
		var b strings.Builder
		keysOf(&b, "", of)
		golden.Compare(t, name, b.String())
	}
}

// What is read of a site's file with each of its keys left out in turn, or written with a capital.
func TestSiteFileIsReadByItsKeys(t *testing.T) {
	good := golden.Read(t, "site.toml")
	read := func(text []byte) (*Site, error) {
		s, err := parseSite("FILE", text)
		if err == nil {
			s.Config.Seed, s.Config.text, s.values = 0, nil, nil
		}
		return s, err
	}
	want, err := read(good)
	if err != nil {
		t.Fatal(err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(good, &tree); err != nil {
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
	capitals := strings.NewReplacer("\nname", "\nName", "\nlisten", "\nListen", "\naddress", "\nAddress", "\nsize", "\nSIZE", "\nevery", "\nEvery", "\neffect", "\nEffect").Replace(string(good))
	if got, err := read([]byte(capitals)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("with capitals it is read otherwise: %v", err)
	}
}

// The differences that a reload reports for each key of a site's file, and the file that init writes.
func TestSiteTextsAreStable(t *testing.T) {
	s, err := parseSite("FILE", golden.Read(t, "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "site-changes.txt", strings.Join(differences(nil, s.values, siteReloads), "\n")+"\n")
	golden.Compare(t, "init.toml", RenderSite("music-room", "0.0.0.0:3000", "/run/console.sock", []string{"10.0.0.5:4000", "10.0.0.6:4000"}))
}

// readingOutcome writes a tree of keys and values, reads it, and says how that differs from what is read of the complete file.
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
