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

// tomlKey returns the dotted key of an expression, in lower case, and its line number.
func tomlKey(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.ToLower(strings.Join(parts, ".")), line
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
}

// walk records the line numbers of the decoder's next value, which is at path, and of all values within it.
func (w *jsonWalker) walk(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.lines[strings.ToLower(path)] = lineAt(w.text, w.decoder.InputOffset())
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
