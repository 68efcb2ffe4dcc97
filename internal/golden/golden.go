// Package golden compares texts that tests produce with files under testdata/golden, byte for
// byte. The files hold what users and other programs read: command lines, outputs, errors and
// vocabularies. Encodings of stored and sent Go values are checked by Golden and GoldenJSON of
// internal/testutil. Only tests import the package.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update makes Compare rewrite the files. A commit that changes a text says which of its readers are
// affected.
var update = flag.Bool("update", false, "rewrite the golden files, for intended changes only")

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
		t.Errorf("the text of %s, which users or other programs read, has changed; got\n%s\nwant\n%s", path, got, want)
	}
}

// Read returns the content of a test input in testdata/golden.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
