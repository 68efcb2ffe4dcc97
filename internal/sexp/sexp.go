// Package sexp reads S-expressions: lists in parentheses of words, strings in double quotes
// and further lists. A semicolon begins a comment that extends to the line's end. Queries and
// scripts are written in it.
//
// Every node has its line and column, and errors say where and what was expected. The package
// keeps no state: any goroutine may call its functions.
package sexp

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// MaxTextBytes is how many bytes a text may have.
	MaxTextBytes = 1 << 20
	// MaxDepth is how deep lists may nest.
	MaxDepth = 64
)

// document is a text as the parser reads it.
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

// Error is an error at a position in a text.
type Error struct {
	Line, Column int // from 1
	Message      string
}

// Error returns the position and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// textStart is the position of errors that concern a whole text.
var textStart = position{line: 1, column: 1}

// Parse reads all nodes of a text. An error is an *Error.
func Parse(source string) ([]*Node, error) {
	if len(source) > MaxTextBytes {
		return nil, textStart.errorf("%d bytes are more than the %d that are read", len(source), MaxTextBytes)
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

// ParseOne reads a text that has exactly one node. An error is an *Error.
func ParseOne(source string) (*Node, error) {
	nodes, err := Parse(source)
	switch {
	case err != nil:
		return nil, err
	case len(nodes) == 0:
		return nil, textStart.errorf("nothing is there; expected a list such as (class \"page\")")
	case len(nodes) > 1:
		return nil, nodes[1].Errorf("something follows the end of the expression")
	}
	return nodes[0], nil
}

// convertError returns the *Error for an error of the parser, in words for people.
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
