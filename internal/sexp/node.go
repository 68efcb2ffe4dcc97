package sexp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// Node is a list, a string or a word; exactly one of its pointers is set.
type Node struct {
	Pos    lexer.Position
	List   *List   `parser:"  @@"`
	Text   *string `parser:"| @String"`
	Symbol *string `parser:"| @Symbol"`
}

// List is a list of nodes in parentheses.
type List struct {
	Items []*Node `parser:"'(' @@* ')'"`
}

// Errorf returns an *Error at the node's position.
func (n *Node) Errorf(format string, args ...any) error {
	return &Error{Line: n.Pos.Line, Column: n.Pos.Column, Message: fmt.Sprintf(format, args...)}
}

// Head returns the first node of a list, which must be a word, and the nodes after it.
func (n *Node) Head() (word string, rest []*Node, err error) {
	if n.List == nil {
		return "", nil, n.Errorf("%s stands where a list is expected", n)
	}
	if len(n.List.Items) == 0 || n.List.Items[0].Symbol == nil {
		return "", nil, n.Errorf("a list must begin with a word")
	}
	return *n.List.Items[0].Symbol, n.List.Items[1:], nil
}

// Value returns the text of a string or a word.
func (n *Node) Value() (string, error) {
	switch {
	case n.Text != nil:
		return *n.Text, nil
	case n.Symbol != nil:
		return *n.Symbol, nil
	}
	return "", n.Errorf("a list stands where a word or string is expected")
}

// Values returns the texts of the strings and words after a list's head. It fails if there
// are none.
func (n *Node) Values() ([]string, error) {
	_, rest, err := n.Head()
	if err != nil {
		return nil, err
	}
	if len(rest) == 0 {
		return nil, n.Errorf("%s needs a value after its name", n.List.Items[0])
	}
	values := make([]string, len(rest))
	for i, item := range rest {
		if values[i], err = item.Value(); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// Uint returns the node as a non-negative integer.
func (n *Node) Uint() (uint64, error) {
	word, err := n.Value()
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		return 0, n.Errorf("%q is not a whole number", word)
	}
	return number, nil
}

// Duration returns the node as a non-negative duration, such as 5m, 1.5s or 300ms.
func (n *Node) Duration() (time.Duration, error) {
	word, err := n.Value()
	if err != nil {
		return 0, err
	}
	duration, err := time.ParseDuration(word)
	if err != nil || duration < 0 {
		return 0, n.Errorf("%q is not a duration such as 5m, 1.5s or 300ms", word)
	}
	return duration, nil
}

// String returns the node as text that Parse reads as an equal node.
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
