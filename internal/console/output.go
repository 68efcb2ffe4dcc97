package console

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"
)

// This file writes answers in two formats: aligned columns for people, and one JSON object per line
// for programs. JSON has the same names and texts as the columns, so they must not change.

// rowFunc writes one row of a table. A nil cell is a value that is unknown or absent.
type rowFunc func(cells ...any)

// writeTable writes rows as aligned columns, or as JSON if out is a *jsonWriter. If header is nil,
// each row is a name and a value.
func writeTable(out io.Writer, header []string, writeRows func(row rowFunc)) {
	if jsonOut, ok := out.(*jsonWriter); ok {
		jsonOut.writeTable(header, writeRows)
		return
	}
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(columns, "\t")
			}
			if cell == nil {
				cell = "-"
			}
			fmt.Fprint(columns, cell)
		}
		fmt.Fprintln(columns)
	}
	if header != nil {
		cells := make([]any, len(header))
		for i, name := range header {
			cells[i] = name
		}
		row(cells...)
	}
	writeRows(row)
	columns.Flush()
}

// jsonWriter writes an answer as JSON, with durations in seconds. A line of text becomes an object
// whose member "note" is the line.
type jsonWriter struct{ buffer *strings.Builder }

// Write writes an object for each line of text, which must be complete lines. It never fails.
func (w *jsonWriter) Write(text []byte) (int, error) {
	for line := range strings.Lines(string(text)) {
		w.beginObject()
		w.writeMember("note", strings.TrimRight(line, "\n"))
		w.endObject()
	}
	return len(text), nil
}

func (w *jsonWriter) beginObject() { w.buffer.WriteByte('{') }
func (w *jsonWriter) endObject()   { w.buffer.WriteString("}\n") }

// writeMember appends a member to the current object.
func (w *jsonWriter) writeMember(name string, value any) {
	if written := w.buffer.String(); written[len(written)-1] != '{' {
		w.buffer.WriteByte(',')
	}
	w.writeValue(memberName(name))
	w.buffer.WriteByte(':')
	w.writeValue(jsonValue(value))
}

func (w *jsonWriter) writeValue(value any) {
	text, err := json.Marshal(value)
	if err != nil { // unreachable: jsonValue returns only what can be marshaled
		text = []byte("null")
	}
	w.buffer.Write(text)
}

// jsonValue converts a cell to a value that json.Marshal accepts.
func jsonValue(cell any) any {
	switch value := cell.(type) {
	case time.Duration:
		return value.Seconds()
	case float64:
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return nil
		}
	case fmt.Stringer:
		return value.String()
	}
	return cell
}

// memberName converts the name of a column or row to that of a JSON member, in lower case with
// underscores.
func memberName(name string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), " ", "_")
}

// writeTable writes one object per row. If header is nil, it writes one object with a member per row.
func (w *jsonWriter) writeTable(header []string, writeRows func(row rowFunc)) {
	if header == nil {
		w.beginObject()
		writeRows(func(cells ...any) { w.writeMember(fmt.Sprint(cells[0]), cells[1]) })
		w.endObject()
		return
	}
	writeRows(func(cells ...any) {
		w.beginObject()
		for i, name := range header {
			w.writeMember(name, cells[i])
		}
		w.endObject()
	})
}

// Sanitize replaces control characters, which could come from the names that clients and endpoints
// choose and would control the operator's terminal. JSON stays valid, as there they occur in strings
// only.
func Sanitize(text string) string {
	return strings.Map(func(char rune) rune {
		switch {
		case char == '\n':
			return char
		case char == '\t':
			return ' '
		case isControl(char):
			return '·'
		}
		return char
	}, text)
}

// isControl reports whether a character may control a terminal or the direction of text.
func isControl(char rune) bool {
	switch {
	case char < ' ', char >= 0x7f && char < 0xa0: // C0, DEL and C1
		return true
	case char == 0x061c, char >= 0x200e && char <= 0x200f, char >= 0x202a && char <= 0x202e, char >= 0x2066 && char <= 0x2069: // bidi
		return true
	case char >= 0x2028 && char <= 0x2029, char == 0xfeff: // line and paragraph separators, byte order mark
		return true
	}
	return false
}
