package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is something wrong in a file that a person or the platform wrote.
type Problem struct {
	File string
	Line int    // from 1; 0 if it is not known, as of a key that is missing
	Key  string // such as amqp.listen; "" if it is about no key
	What string
}

// Error is where and what.
func (p *Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		where += ": " + p.Key
	}
	return where + ": " + p.What
}

// Problems are all that is wrong in a file.
type Problems []*Problem

// Error has a line for each.
func (all Problems) Error() string {
	lines := make([]string, len(all))
	for i, p := range all {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// errOrNil is nil where there is none, and else all, by line.
func (all Problems) errOrNil() error {
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(x, y *Problem) int { return cmp.Compare(x.Line, y.Line) })
	return all
}

// validator collects problems of a file, and knows the lines of its keys.
type validator struct {
	file     string
	lines    map[string]int // by keys in lower case
	problems Problems
}

// add adds a problem of a key. Of one that is missing the line is that of what it is missing in.
func (f *validator) add(key, format string, args ...any) {
	in := strings.ToLower(key)
	for f.lines[in] == 0 && strings.ContainsAny(in, ".[") {
		in = in[:strings.LastIndexAny(in, ".[")]
	}
	f.addAt(f.lines[in], key, fmt.Sprintf(format, args...))
}

func (f *validator) addAt(line int, key, what string) {
	f.problems = append(f.problems, &Problem{File: f.file, Line: line, Key: key, What: what})
}

// Check reads a platform's configuration, which is JSON, a site's file, or else an operator's file,
// and tells all that is wrong with it: its error is Problems, or that of reading it.
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

// tomlLines are the lines of a TOML file's keys, as far as it can be read.
func tomlLines(text []byte) map[string]int {
	lines := make(map[string]int)
	tables := make(map[string]int) // so many of each list
	var p unstable.Parser
	p.Reset(text)
	section := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
		key := strings.ToLower(strings.Join(parts, "."))
		switch e.Kind {
		case unstable.Table:
			section = key + "."
			lines[key] = line
		case unstable.ArrayTable:
			if _, known := lines[key]; !known {
				lines[key] = line
			}
			section = fmt.Sprintf("%s[%d].", key, tables[key])
			tables[key]++
		case unstable.KeyValue:
			lines[section+key] = line
		}
	}
	return lines
}

// jsonLines are the lines of a JSON text's keys, as far as it can be read.
func jsonLines(text []byte) map[string]int {
	lines := make(map[string]int)
	d := json.NewDecoder(bytes.NewReader(text))
	at := func() int { return 1 + bytes.Count(text[:d.InputOffset()], []byte{'\n'}) }
	var walk func(path string) error
	walk = func(path string) error {
		t, err := d.Token()
		if err != nil {
			return err
		}
		lines[strings.ToLower(path)] = at()
		open, is := t.(json.Delim)
		for i := 0; is && d.More(); i++ {
			next := fmt.Sprintf("%s[%d]", path, i)
			if open == '{' {
				key, err := d.Token()
				if err != nil {
					return err
				}
				next = strings.TrimPrefix(fmt.Sprintf("%s.%v", path, key), ".")
			}
			if err := walk(next); err != nil {
				return err
			}
		}
		if is {
			_, err = d.Token()
		}
		return err
	}
	_ = walk("") // lines of what comes before a syntax error are known all the same
	return lines
}

// addJSONError tells what is wrong with a text that can't be read as JSON.
func (f *validator) addJSONError(text []byte, err error) {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := func(n int64) int { return 1 + bytes.Count(text[:min(max(n, 0), int64(len(text)))], []byte{'\n'}) }
	switch {
	case errors.As(err, &syntax):
		f.addAt(offset(syntax.Offset), "", syntax.Error())
	case errors.As(err, &kind):
		f.addAt(offset(kind.Offset), kind.Field, fmt.Sprintf("is a %s; expected %s", kind.Value, kind.Type))
	default:
		f.addAt(1+bytes.Count(text, []byte{'\n'}), "", err.Error())
	}
}
