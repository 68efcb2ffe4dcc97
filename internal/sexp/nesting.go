package sexp

import "fmt"

// position is a line and a column in a text, both from 1.
type position struct{ line, column int }

func (p position) errorf(format string, args ...any) error {
	return &Error{Line: p.line, Column: p.column, Message: fmt.Sprintf(format, args...)}
}

// checkNesting limits the nesting depth, which the parser does not. It also finds lists and
// strings that are never closed: its error has the position where they begin, while the
// parser would report the end of the text.
func checkNesting(source string) error {
	scanner := nestingScanner{at: position{line: 1}}
	for _, char := range source {
		if err := scanner.next(char); err != nil {
			return err
		}
	}
	return scanner.end()
}

// nestingScanner tracks which lists, strings and comments are open.
type nestingScanner struct {
	at      position
	open    []position // where the open lists begin, the innermost last
	quote   position   // where the string begins
	quoted  bool       // in a string
	escaped bool       // in a string, after a backslash
	comment bool       // in a comment
}

// next scans one character. Its error is an *Error.
func (s *nestingScanner) next(char rune) error {
	s.at.column++
	switch {
	case char == '\n':
		if s.quoted {
			return s.unclosedString()
		}
		s.at, s.comment = position{line: s.at.line + 1}, false
	case s.comment:
	case s.escaped:
		s.escaped = false
	case s.quoted:
		s.escaped = char == '\\'
		s.quoted = char != '"'
	case char == '"':
		s.quoted, s.quote = true, s.at
	case char == ';':
		s.comment = true
	case char == '(':
		if s.open = append(s.open, s.at); len(s.open) > MaxDepth {
			return s.at.errorf("lists are nested deeper than %d levels", MaxDepth)
		}
	case char == ')':
		if len(s.open) == 0 {
			return s.at.errorf("closing parenthesis without an opening one")
		}
		s.open = s.open[:len(s.open)-1]
	}
	return nil
}

// end returns an *Error for a string or list that is still open at the end of the text.
func (s *nestingScanner) end() error {
	if s.quoted {
		return s.unclosedString()
	}
	if depth := len(s.open); depth > 0 {
		return s.open[depth-1].errorf("list is not closed; expected )")
	}
	return nil
}

func (s *nestingScanner) unclosedString() error {
	return s.quote.errorf("string is not closed on its line")
}
