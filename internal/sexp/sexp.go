// Package sexp parses S-expressions, the syntax of queries and scripts: lists in parentheses
// of words, strings in double quotes and nested lists. A semicolon begins a comment that
// extends to the end of the line.
//
// Every node has its line and column, and errors state the position and what was expected.
// The functions are safe for concurrent use.
package sexp

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// MaxTextBytes is the maximum size of a text that Parse accepts.
	MaxTextBytes = 1 << 20
	// MaxDepth is the maximum nesting depth of lists.
	MaxDepth = 64
)

// document is the root of the grammar: the nodes of a whole text.
type document struct {
	Nodes []*Node `parser:"@@*"`
}

var parser = participle.MustBuild[document](
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

// Error is a syntax error, or an invalid value, at a position in a text.
type Error struct {
	Line, Column int // from 1
	Message      string
}

// Error returns the position and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// textStart is the position of errors about a whole text.
var textStart = position{line: 1, column: 1}

// Parse parses all nodes of a text. Its error is an *Error.
func Parse(source string) ([]*Node, error) {
	if len(source) > MaxTextBytes {
		return nil, textStart.errorf("text of %d bytes exceeds the limit of %d", len(source), MaxTextBytes)
	}
	if err := checkNesting(source); err != nil {
		return nil, err
	}
	parsed, err := parser.ParseString("", source)
	if err != nil {
		return nil, convertError(err)
	}
	return parsed.Nodes, nil
}

// ParseOne parses a text that has exactly one node. Its error is an *Error.
func ParseOne(source string) (*Node, error) {
	nodes, err := Parse(source)
	switch {
	case err != nil:
		return nil, err
	case len(nodes) == 0:
		return nil, textStart.errorf("empty text; expected a list such as (class \"page\")")
	case len(nodes) > 1:
		return nil, nodes[1].Errorf("unexpected text after the end of the expression")
	}
	return nodes[0], nil
}

// convertError converts an error of the parser to an *Error without the parser's jargon.
func convertError(err error) error {
	var parserError participle.Error
	if !errors.As(err, &parserError) {
		return textStart.errorf("%s", err)
	}
	message := parserError.Message()
	message = strings.ReplaceAll(message, `unexpected token "<EOF>"`, "unexpected end")
	message = strings.ReplaceAll(message, "invalid input text", "cannot read")
	at := parserError.Position()
	return &Error{Line: at.Line, Column: at.Column, Message: message}
}
