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

// This file has the two forms of an answer: text in columns, for people, and JSON, an object
// a line, for programs.

// rowFunc writes one row of a table. A nil cell stands for a value that is not known.
type rowFunc func(cells ...any)

// writeTable writes rows in columns, or as JSON if out is a jsonWriter. Without a head each row
// is a name and its value.
func writeTable(out io.Writer, head []string, writeRows func(row rowFunc)) {
	if objects, ok := out.(*jsonWriter); ok {
		objects.writeTable(head, writeRows)
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
	if head != nil {
		cells := make([]any, len(head))
		for i, name := range head {
			cells[i] = name
		}
		row(cells...)
	}
	writeRows(row)
	columns.Flush()
}

// jsonWriter writes an answer as JSON. Durations are in seconds. A line of text becomes an
// object with that as its note.
type jsonWriter struct{ buffer *strings.Builder }

// Write takes whole lines of text. It never fails.
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

// writeMember writes one member of an object, in the order of the calls.
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
	if err != nil { // can't be, as cells are plain values
		text = []byte("null")
	}
	w.buffer.Write(text)
}

// jsonValue returns what stands in JSON for a cell.
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

// memberName returns the name of a member for that of a column or row: in lower case.
func memberName(name string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), " ", "_")
}

// writeTable writes an object a row, or without a head one object with a member a row.
func (w *jsonWriter) writeTable(head []string, writeRows func(row rowFunc)) {
	if head == nil {
		w.beginObject()
		writeRows(func(cells ...any) { w.writeMember(fmt.Sprint(cells[0]), cells[1]) })
		w.endObject()
		return
	}
	writeRows(func(cells ...any) {
		w.beginObject()
		for i, name := range head {
			w.writeMember(name, cells[i])
		}
		w.endObject()
	})
}

// Sanitize replaces what would control a terminal, as names come from clients and endpoints.
// What it replaces is within names, and so within the strings of what is JSON.
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
	case char < ' ', char >= 0x7f && char < 0xa0: // C0 and C1 controls
		return true
	case char == 0x061c, char >= 0x200e && char <= 0x200f, char >= 0x202a && char <= 0x202e, char >= 0x2066 && char <= 0x2069: // direction
		return true
	case char >= 0x2028 && char <= 0x2029, char == 0xfeff: // separators of lines and paragraphs, byte order mark
		return true
	}
	return false
}
