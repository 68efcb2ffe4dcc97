package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// tomlLines returns the line numbers of a TOML file by key path in lower case. It stops at the first syntax error.
func tomlLines(text []byte) map[string]int {
	lines := make(map[string]int)
	tableCounts := make(map[string]int) // tables seen so far in each array of tables
	var parser unstable.Parser
	parser.Reset(text)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := tomlKey(&parser, expression)
		key = strings.ToLower(key)
		switch expression.Kind {
		case unstable.Table:
			section = key + "."
			lines[key] = line
		case unstable.ArrayTable:
			if _, known := lines[key]; !known {
				lines[key] = line
			}
			section = fmt.Sprintf("%s[%d].", key, tableCounts[key])
			tableCounts[key]++
		case unstable.KeyValue:
			lines[section+key] = line
		}
	}
	return lines
}

// tomlKey returns the dotted key of an expression and its line number.
func tomlKey(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// tomlInnerPath returns the path, relative to its key, of the value at a position in a TOML file: "" if it is the
// key's value itself, or a path such as [1].name if it is within an array or an inline table.
func tomlInnerPath(text []byte, line, column int) string {
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		if expression := parser.Expression(); expression.Kind == unstable.KeyValue {
			if path, found := innerPath(&parser, expression.Value(), line, column); found {
				return path
			}
		}
	}
	return ""
}

// innerPath returns the path, relative to a value, of the value within it at a position.
func innerPath(parser *unstable.Parser, value *unstable.Node, line, column int) (path string, found bool) {
	if start := parser.Shape(value.Raw).Start; value.Raw.Length > 0 && start.Line == line && start.Column == column {
		return "", true
	}
	if value.Kind != unstable.Array && value.Kind != unstable.InlineTable {
		return "", false
	}
	children := value.Children()
	for i := 0; children.Next(); i++ {
		child, step := children.Node(), fmt.Sprintf("[%d]", i)
		if child.Kind == unstable.KeyValue {
			key, _ := tomlKey(parser, child)
			child, step = child.Value(), "."+key
		}
		if path, found := innerPath(parser, child, line, column); found {
			return step + path, true
		}
	}
	return "", false
}

// jsonLines returns the line numbers of a JSON text by key path in lower case. It stops at the first syntax error.
func jsonLines(text []byte) map[string]int {
	w := jsonWalker{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: make(map[string]int)}
	_ = w.walk("") // after a syntax error, the lines before it are still valid
	return w.lines
}

// jsonWalker records the line number of each value of a JSON text.
type jsonWalker struct {
	text    []byte
	decoder *json.Decoder
	lines   map[string]int // by key path in lower case

	offset       int64
	pathAtOffset string // of the last value that starts before offset
}

// jsonPathAt returns the key path of the last value that starts before an offset in a JSON text.
func jsonPathAt(text []byte, offset int64) string {
	w := jsonWalker{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: make(map[string]int), offset: offset}
	_ = w.walk("") // after a syntax error, the path found before it is still valid
	return w.pathAtOffset
}

// walk records the line numbers of the decoder's next value, which is at path, and of all values within it.
func (w *jsonWalker) walk(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.lines[strings.ToLower(path)] = lineAt(w.text, w.decoder.InputOffset())
	if w.decoder.InputOffset() <= w.offset {
		w.pathAtOffset = path
	}
	open, isDelim := token.(json.Delim)
	if !isDelim {
		return nil
	}
	for i := 0; w.decoder.More(); i++ {
		next := fmt.Sprintf("%s[%d]", path, i)
		if open == '{' {
			key, err := w.decoder.Token()
			if err != nil {
				return err
			}
			next = strings.TrimPrefix(fmt.Sprintf("%s.%v", path, key), ".")
		}
		if err := w.walk(next); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token() // the closing delimiter
	return err
}

// lineAt returns the line number, starting at 1, of an offset in text. An offset out of range is clamped.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte{'\n'})
}
