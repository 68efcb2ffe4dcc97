package config

import (
	"bytes"
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Problem is one validation error of a configuration file.
type Problem struct {
	File    string
	Line    int    // starting at 1; 0 if unknown, for example for a missing key
	Key     string // key path such as amqp.listen; "" if no key is concerned
	Message string
}

// Error returns FILE:LINE: KEY: MESSAGE, without an unknown line or key.
func (p *Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		location += ": " + p.Key
	}
	return location + ": " + p.Message
}

// Problems is the validation error of a file: all its problems, sorted by line.
type Problems []*Problem

// Error returns one line per problem.
func (all Problems) Error() string {
	lines := make([]string, len(all))
	for i, p := range all {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// errOrNil sorts the problems by line and returns them, or returns nil if there are none.
func (all Problems) errOrNil() error {
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(x, y *Problem) int { return cmp.Compare(x.Line, y.Line) })
	return all
}

// Check reads and validates a file: a platform configuration (JSON), a site file or an operator file. kind
// describes which of them the content was recognized as. The error is of type Problems if the file is invalid.
func Check(path string) (kind string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		_, err := parseConfig(path, text, nil)
		return "platform configuration", err
	}
	if lines := tomlLines(text); lines["listen"] > 0 || lines["server"] > 0 || lines["class"] > 0 {
		_, err := parseSite(path, text)
		return "site file", err
	}
	_, err = parseOperator(path, text)
	return "operator file", err
}
