package simprotocol

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"lockroad/internal/golden"
)

// Guards against renamed keys and changed errors: the golden file has the result for each key when it
// is missing, an object or -1.
func TestSettingsKeysAreStable(t *testing.T) {
	var b strings.Builder
	valid := golden.Read(t, "settings.json")
	want, err := ParseSettings(valid)
	if err != nil {
		t.Fatal(err)
	}
	outcome := func(tree any) string {
		text, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseSettings(text)
		switch {
		case err != nil:
			return err.Error()
		case !reflect.DeepEqual(got, want):
			return "changes what is read"
		}
		return "changes nothing"
	}
	var tree any
	if err := json.Unmarshal(valid, &tree); err != nil {
		t.Fatal(err)
	}
	golden.EachKey(tree, func(path string, _ any, set func(any), remove, restore func()) {
		remove()
		fmt.Fprintf(&b, "%s missing: %s\n", path, outcome(tree))
		restore()
		set(map[string]any{})
		fmt.Fprintf(&b, "%s {}: %s\n", path, outcome(tree))
		restore()
		set(-1)
		fmt.Fprintf(&b, "%s -1: %s\n", path, outcome(tree))
		restore()
	})
	golden.Compare(t, "settings-keys.txt", b.String())
}

// Guards against changes of the words that settings may have as values.
func TestSettingsWordsAreStable(t *testing.T) {
	var b strings.Builder
	for _, word := range []string{"idempotent", "deduplicated", "at_most_once", "all", "zone", "cell", "Idempotent"} {
		semantics, isSemantics := semanticsWords[word]
		scope, isScope := scopeWords[word]
		fmt.Fprintf(&b, "%s: effect %d %v, scope %d %v\n", word, semantics, isSemantics, scope, isScope)
	}
	fmt.Fprintf(&b, "%d effects, %d scopes\n", len(semanticsWords), len(scopeWords))
	golden.Compare(t, "words.txt", b.String())
}
