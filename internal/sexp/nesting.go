package sexp

import "fmt"

// position is a place in a text, from 1.
type position struct{ line, column int }

func (p position) errorf(format string, args ...any) error {
	return &Error{Line: p.line, Column: p.column, Message: fmt.Sprintf(format, args...)}
}

// checkNesting protects the parser from lists that nest without bound. Its error says where a
// list or string begins that is never closed, which the parser's would not.
func checkNesting(source string) error {
	scanner := nestingScanner{at: position{line: 1}}
	for _, char := range source {
		if err := scanner.next(char); err != nil {
			return err
		}
	}
	return scanner.end()
}

// nestingScanner follows which lists, strings and comments are open.
type nestingScanner struct {
	at      position
	open    []position // lists that are open, the innermost last
	quote   position   // where the string begins
	quoted  bool       // in a string
	escaped bool       // in a string, after a backslash
	comment bool
}

// next scans a character.
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
			return s.at.errorf("lists nest deeper than %d", MaxDepth)
		}
	case char == ')':
		if len(s.open) == 0 {
			return s.at.errorf("a closing parenthesis that nothing opens")
		}
		s.open = s.open[:len(s.open)-1]
	}
	return nil
}

// end returns the error of what is open at the end of the text.
func (s *nestingScanner) end() error {
	if s.quoted {
		return s.unclosedString()
	}
	if depth := len(s.open); depth > 0 {
		return s.open[depth-1].errorf("a list that is not closed; expected )")
	}
	return nil
}

func (s *nestingScanner) unclosedString() error {
	return s.quote.errorf("a string that is not closed on its line")
}
