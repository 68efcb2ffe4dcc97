// Package sexp reads S-expressions: lists in parentheses of words, strings in double
// quotes and further lists. A semicolon begins a comment that lasts to the line's end.
// Queries are written in it, and so will be what else a person scripts.
//
// Every node knows its line and column, and errors say where and what was expected.
package sexp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// TextMost is how many bytes a text may have.
	TextMost = 1 << 20
	// DepthMost is how deep lists may nest.
	DepthMost = 64
)

// Node is a list, a string or a word.
type Node struct {
	Pos    lexer.Position
	List   *List   `parser:"  @@"`
	Text   *string `parser:"| @String"`
	Symbol *string `parser:"| @Symbol"`
}

// List is what stands between two parentheses.
type List struct {
	Items []*Node `parser:"'(' @@* ')'"`
}

type text struct {
	Nodes []*Node `parser:"@@*"`
}

var parser = participle.MustBuild[text](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Open", Pattern: `\(`},
		{Name: "Close", Pattern: `\)`},
		{Name: "Symbol", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
)

// Error is something wrong at a place in a text.
type Error struct {
	Line, Column int // from 1
	What         string
}

// Error says where and what.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.What)
}

// Errorf is an error at a node.
func (n *Node) Errorf(format string, args ...any) error {
	return &Error{n.Pos.Line, n.Pos.Column, fmt.Sprintf(format, args...)}
}

// Parse reads all nodes of a text. An error is an *Error.
func Parse(source string) ([]*Node, error) {
	if len(source) > TextMost {
		return nil, &Error{1, 1, fmt.Sprintf("%d bytes are more than the %d that are read", len(source), TextMost)}
	}
	if err := nesting(source); err != nil {
		return nil, err
	}
	t, err := parser.ParseString("", source)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, &Error{at.Position().Line, at.Position().Column, plain(at.Message())}
		}
		return nil, &Error{1, 1, err.Error()}
	}
	return t.Nodes, nil
}

// ParseOne reads a text that holds one node.
func ParseOne(source string) (*Node, error) {
	all, err := Parse(source)
	switch {
	case err != nil:
		return nil, err
	case len(all) == 0:
		return nil, &Error{1, 1, "nothing is there; expected a list such as (class \"page\")"}
	case len(all) > 1:
		return nil, all[1].Errorf("something follows the end of the expression")
	}
	return all[0], nil
}

// nesting guards the parser against lists within lists without end. It says where a
// list was opened that is never closed, which the parser would not.
func nesting(source string) error {
	type place struct{ line, column int }
	var open []place
	line, column := 1, 0
	quoted, comment, escaped := false, false, false
	var quote place
	unclosed := func() error { return &Error{quote.line, quote.column, "a string that is not closed on its line"} }
	for _, c := range source {
		column++
		switch {
		case c == '\n':
			if quoted {
				return unclosed()
			}
			line, column, comment = line+1, 0, false
		case comment:
		case escaped:
			escaped = false
		case quoted:
			escaped = c == '\\'
			quoted = c != '"'
		case c == '"':
			quoted, quote = true, place{line, column}
		case c == ';':
			comment = true
		case c == '(':
			if open = append(open, place{line, column}); len(open) > DepthMost {
				return &Error{line, column, fmt.Sprintf("lists nest deeper than %d", DepthMost)}
			}
		case c == ')':
			if len(open) == 0 {
				return &Error{line, column, "a closing parenthesis that nothing opens"}
			}
			open = open[:len(open)-1]
		}
	}
	if quoted {
		return unclosed()
	}
	if n := len(open); n > 0 {
		return &Error{open[n-1].line, open[n-1].column, "a list that is not closed; expected )"}
	}
	return nil
}

// plain puts what the parser says into words for a person.
func plain(message string) string {
	message = strings.ReplaceAll(message, `unexpected token "<EOF>"`, "unexpected end")
	return strings.ReplaceAll(message, "invalid input text", "cannot read")
}

// Head returns the word that a list begins with, and what follows it.
func (n *Node) Head() (word string, rest []*Node, err error) {
	if n.List == nil {
		return "", nil, n.Errorf("%s stands where a list is expected", n)
	}
	if len(n.List.Items) == 0 || n.List.Items[0].Symbol == nil {
		return "", nil, n.Errorf("a list has to begin with a word")
	}
	return *n.List.Items[0].Symbol, n.List.Items[1:], nil
}

// Value returns a string or a word.
func (n *Node) Value() (string, error) {
	switch {
	case n.Text != nil:
		return *n.Text, nil
	case n.Symbol != nil:
		return *n.Symbol, nil
	}
	return "", n.Errorf("a list stands where a word or string is expected")
}

// Values returns the strings or words that follow a list's head, of which there has to
// be one at the least.
func (n *Node) Values() ([]string, error) {
	_, rest, err := n.Head()
	if err != nil {
		return nil, err
	}
	if len(rest) == 0 {
		return nil, n.Errorf("%s wants a value after its name", n.List.Items[0])
	}
	all := make([]string, len(rest))
	for i, item := range rest {
		if all[i], err = item.Value(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Whole returns a whole number that is not negative.
func (n *Node) Whole() (uint64, error) {
	word, err := n.Value()
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		return 0, n.Errorf("%q is no whole number", word)
	}
	return v, nil
}

// Duration returns a time such as 5m, 1.5s or 300ms; it is not negative.
func (n *Node) Duration() (time.Duration, error) {
	word, err := n.Value()
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(word)
	if err != nil || d < 0 {
		return 0, n.Errorf("%q is no time such as 5m, 1.5s or 300ms", word)
	}
	return d, nil
}

// String writes the node as it could have been read.
func (n *Node) String() string {
	switch {
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	case n.Symbol != nil:
		return *n.Symbol
	}
	parts := make([]string, len(n.List.Items))
	for i, item := range n.List.Items {
		parts[i] = item.String()
	}
	return "(" + strings.Join(parts, " ") + ")"
}
