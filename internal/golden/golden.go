// Package golden compares a text that a test has produced with a file under testdata/golden,
// byte for byte. The files hold what people and other programs read: command lines, outputs,
// error texts, vocabularies. The encodings of stored and sent Go values are checked by Golden
// and GoldenJSON of internal/testutil. Only tests import it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update makes Compare write the files. Give it only when a text is changed on purpose, and
// say in the commit which readers of the text have been notified.
var update = flag.Bool("update", false, "write the golden files anew: only when a form is changed on purpose")

// Compare fails the test unless got equals testdata/golden/name.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s has changed, and other programs read it; got\n%s\nwant\n%s", path, got, want)
	}
}

// Read returns an input that is stored beside the golden files.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
