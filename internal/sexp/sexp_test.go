package sexp

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestSyntaxErrorsHavePositionAndMessage(t *testing.T) {
	for source, want := range map[string]string{
		"":                         "line 1, column 1: empty text",
		"(a":                       "line 1, column 1: list is not closed",
		"(a\n  (b)\n  (c":          "line 3, column 3: list is not closed",
		"a)":                       "line 1, column 2: closing parenthesis without an opening one",
		"(a) (b)":                  "line 1, column 5: unexpected text after the end",
		"(a \"b)":                  "line 1, column 4: string is not closed",
		"(a \"b\n\")":              "line 1, column 4: ",
		strings.Repeat("(", 99):    "line 1, column 65: lists are nested deeper than 64",
		strings.Repeat("x", 2<<20): "line 1, column 1: text of 2097152 bytes exceeds",
	} {
		if node, err := ParseOne(source); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("ParseOne(%.40q) = %v, %v, want error %q", source, node, err, want)
		}
	}
}

func TestParsedNodeValues(t *testing.T) {
	const source = `(and (class "live \"preview\"") ; a comment (
		(passes >= 2) (since 1.5s) 7 é)`
	node, err := ParseOne(source)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := node.String(), `(and (class "live \"preview\"") (passes >= 2) (since 1.5s) 7 é)`; got != want {
		t.Errorf("parsed node is written as %s, want %s", got, want)
	}
	head, rest, err := node.Head()
	if err != nil || head != "and" || len(rest) != 5 {
		t.Fatalf("Head() = %q, %d nodes, %v, want and with 5 nodes", head, len(rest), err)
	}
	_, since, _ := rest[2].Head()
	if duration, err := since[0].Duration(); err != nil || duration != 1500*time.Millisecond {
		t.Errorf("Duration() = %v, %v, want 1.5s", duration, err)
	}
	if value, err := rest[3].Uint(); err != nil || value != 7 {
		t.Errorf("Uint() = %v, %v, want 7", value, err)
	}
	if rest[1].Pos.Line != 2 || rest[1].Pos.Column != 3 {
		t.Errorf("position of the second list is %v, want line 2, column 3", rest[1].Pos)
	}
	for _, bad := range []error{
		second(rest[0].Value()), second(rest[4].Uint()), second(rest[4].Duration()), third(rest[3].Head()), second(rest[0].Duration()),
	} {
		if bad == nil || !strings.HasPrefix(bad.Error(), "line ") {
			t.Errorf("error for an invalid value is %v, want one with its position", bad)
		}
	}
}

// second and third return the error of a call with two or three results.
func second[T any](_ T, err error) error        { return err }
func third[T, U any](_ T, _ U, err error) error { return err }

// Any text is either parsed, so that its nodes can be written and parsed again, or rejected with a position.
func FuzzParse(f *testing.F) {
	f.Add(`(and (class "live-preview") (answer "unavailable") (since "5m"))`)
	f.Add("(a ;b\n\"c\\\"d\" (e))")
	f.Add("\"\x00\" )(")
	f.Fuzz(func(t *testing.T, source string) {
		all, err := Parse(source)
		if err != nil {
			var at *Error
			if !errors.As(err, &at) || at.Line < 1 || at.Column < 0 || at.Message == "" {
				t.Errorf("error for %q has no position or message: %v", source, err)
			}
			return
		}
		for _, node := range all {
			again, err := ParseOne(node.String())
			if err != nil || again.String() != node.String() {
				t.Errorf("%q: node %v is parsed again as %v, %v", source, node, again, err)
			}
		}
	})
}
