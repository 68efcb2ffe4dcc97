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

// table writes rows in columns. Without a head each row is a name and its figure.
func table(w io.Writer, head []string, rows func(row func(cells ...any))) {
	if o, ok := w.(*objects); ok {
		o.table(head, rows)
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			if c == nil {
				c = "-"
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	}
	if head != nil {
		cells := make([]any, len(head))
		for i, name := range head {
			cells[i] = name
		}
		row(cells...)
	}
	rows(row)
	t.Flush()
}

// objects writes an answer as JSON. Times are in seconds. What is written as a sentence
// becomes an object with that as its note.
type objects struct{ to *strings.Builder }

// Write takes whole lines of text.
func (o *objects) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		o.begin()
		o.member("note", strings.TrimRight(line, "\n"))
		o.end()
	}
	return len(b), nil
}

func (o *objects) begin() { o.to.WriteByte('{') }
func (o *objects) end()   { o.to.WriteString("}\n") }

// member writes one member of an object, in the order of the calls.
func (o *objects) member(name string, v any) {
	if s := o.to.String(); s[len(s)-1] != '{' {
		o.to.WriteByte(',')
	}
	switch x := v.(type) {
	case time.Duration:
		v = x.Seconds()
	case float64:
		if math.IsNaN(x) || math.IsInf(x, 0) {
			v = nil
		}
	case fmt.Stringer:
		v = x.String()
	}
	for i, part := range []any{key(name), v} {
		text, err := json.Marshal(part)
		if err != nil { // cells are plain values
			text = []byte("null")
		}
		if i > 0 {
			o.to.WriteByte(':')
		}
		o.to.Write(text)
	}
}

// key is the name of a member: that of a column or figure in small letters.
func key(name string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), " ", "_")
}

func (o *objects) table(head []string, rows func(row func(cells ...any))) {
	if head == nil {
		o.begin()
		rows(func(cells ...any) { o.member(fmt.Sprint(cells[0]), cells[1]) })
		o.end()
		return
	}
	rows(func(cells ...any) {
		o.begin()
		for i, name := range head {
			o.member(name, cells[i])
		}
		o.end()
	})
}

// Sanitize is a text without what would move a terminal: names come from clients and servers. What
// is replaced is within names, and so within the strings of what is JSON.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == '\n':
			return r
		case r == '\t':
			return ' '
		case r < ' ', r >= 0x7f && r < 0xa0, r == 0x061c, r >= 0x200e && r <= 0x200f, r >= 0x2028 && r <= 0x202e, r >= 0x2066 && r <= 0x2069, r == 0xfeff:
			return '·'
		}
		return r
	}, text)
}
