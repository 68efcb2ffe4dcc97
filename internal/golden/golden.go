// Package golden compares what a test has produced with a file under testdata/golden, byte
// for byte. The files hold forms that other programs read. Only tests import it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update has the files written anew. Give it only when a form is changed on purpose, and say
// in the commit which readers of the form have been told.
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

// Read returns an input that is kept beside the golden files.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
