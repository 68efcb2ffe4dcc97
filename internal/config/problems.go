package config

import (
	"bytes"
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Problem is the error of one thing wrong in a configuration file.
type Problem struct {
	File    string
	Line    int    // from 1; 0 if it is not known, as of a key that is missing
	Key     string // such as amqp.listen; "" if it is about no key
	Message string
}

// Error returns FILE:LINE: KEY: WHAT, without what is not known.
func (p *Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		where += ": " + p.Key
	}
	return where + ": " + p.Message
}

// Problems are all that is wrong in a file, in the order of its lines. It is the type of validation errors in this package.
type Problems []*Problem

// Error returns a line for each.
func (all Problems) Error() string {
	lines := make([]string, len(all))
	for i, p := range all {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// errOrNil returns nil where there is none, and else all in the order of their lines.
func (all Problems) errOrNil() error {
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(x, y *Problem) int { return cmp.Compare(x.Line, y.Line) })
	return all
}

// Check reads and validates a file: a platform's configuration, which is JSON, a site's file, or else an operator's file. what
// names which of them. The error is Problems, or that of reading the file.
func Check(path string) (what string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		_, err := parseConfig(path, text, nil)
		return "platform's configuration", err
	}
	if lines := tomlLines(text); lines["listen"] > 0 || lines["server"] > 0 || lines["class"] > 0 {
		_, err := parseSite(path, text)
		return "site's file", err
	}
	_, err = parseOperator(path, text)
	return "operator's file", err
}
