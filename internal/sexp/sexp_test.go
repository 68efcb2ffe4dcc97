package sexp

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestErrorsHavePositionAndMessage(t *testing.T) {
	for source, want := range map[string]string{
		"":                         "line 1, column 1: nothing is there",
		"(a":                       "line 1, column 1: a list that is not closed",
		"(a\n  (b)\n  (c":          "line 3, column 3: a list that is not closed",
		"a)":                       "line 1, column 2: a closing parenthesis that nothing opens",
		"(a) (b)":                  "line 1, column 5: something follows the end",
		"(a \"b)":                  "line 1, column 4: a string that is not closed",
		"(a \"b\n\")":              "line 1, column 4: ",
		strings.Repeat("(", 99):    "line 1, column 65: lists nest deeper than 64",
		strings.Repeat("x", 2<<20): "line 1, column 1: 2097152 bytes are more",
	} {
		if n, err := ParseOne(source); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40q: %v, %v, want %q", source, n, err, want)
		}
	}
}

func TestNodesAreReadAsWritten(t *testing.T) {
	const source = `(and (class "live \"preview\"") ; a comment (
		(passes >= 2) (since 1.5s) 7 é)`
	n, err := ParseOne(source)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := n.String(), `(and (class "live \"preview\"") (passes >= 2) (since 1.5s) 7 é)`; got != want {
		t.Errorf("read as %s", got)
	}
	head, rest, err := n.Head()
	if err != nil || head != "and" || len(rest) != 5 {
		t.Fatalf("%q, %d, %v", head, len(rest), err)
	}
	_, since, _ := rest[2].Head()
	if d, err := since[0].Duration(); err != nil || d != 1500*time.Millisecond {
		t.Errorf("%v, %v", d, err)
	}
	if v, err := rest[3].Uint(); err != nil || v != 7 {
		t.Errorf("%v, %v", v, err)
	}
	if rest[1].Pos.Line != 2 || rest[1].Pos.Column != 3 {
		t.Errorf("the second list is at %v", rest[1].Pos)
	}
	for _, bad := range []error{
		second(rest[0].Value()), second(rest[4].Uint()), second(rest[4].Duration()), third(rest[3].Head()), second(rest[0].Duration()),
	} {
		if bad == nil || !strings.HasPrefix(bad.Error(), "line ") {
			t.Errorf("an invalid value gives %v", bad)
		}
	}
}

func second[T any](_ T, err error) error        { return err }
func third[T, U any](_ T, _ U, err error) error { return err }

// Whatever is read can be written and read again, and what can't be says where.
func FuzzParse(f *testing.F) {
	f.Add(`(and (class "live-preview") (answer "unavailable") (since "5m"))`)
	f.Add("(a ;b\n\"c\\\"d\" (e))")
	f.Add("\"\x00\" )(")
	f.Fuzz(func(t *testing.T, source string) {
		all, err := Parse(source)
		if err != nil {
			var at *Error
			if !errors.As(err, &at) || at.Line < 1 || at.Column < 0 || at.Message == "" {
				t.Errorf("%q: %v has no position", source, err)
			}
			return
		}
		for _, n := range all {
			again, err := ParseOne(n.String())
			if err != nil || again.String() != n.String() {
				t.Errorf("%q: %v was read again as %v, %v", source, n, again, err)
			}
		}
	})
}
