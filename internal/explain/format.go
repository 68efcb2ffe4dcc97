package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Write writes the explanation as text: two lines about the request, then a line per event.
func (x *Explanation) Write(out io.Writer) {
	x.writeHead(out)
	if x.Before != nil {
		fmt.Fprintf(out, "  %s\n", x.Before.Text)
	}
	if x.HeadEvicted {
		fmt.Fprintln(out, "  its first steps are no longer in the log")
	}
	x.writeEvents(out)
	if x.EventsOmitted {
		fmt.Fprintln(out, "  some of its steps were omitted for lack of space")
	}
	switch x.Result {
	case "waiting":
		fmt.Fprintln(out, "  its client is still waiting for an answer")
	case "up":
		fmt.Fprintln(out, "  it is still up")
	}
	if x.After != nil {
		fmt.Fprintf(out, "  %s\n", x.After.Text)
	}
}

// writeHead writes the request's attributes and its time of receipt.
func (x *Explanation) writeHead(out io.Writer) {
	ellipsis := ""
	if x.NameTruncated {
		ellipsis = "..."
	}
	fmt.Fprintf(out, "transaction %d, front %s, name %s%s, class %s", x.Number, x.Frontend, cmp.Or(x.Name, "-"), ellipsis, x.Class)
	if x.Tenant != "" {
		fmt.Fprintf(out, ", tenant %s", x.Tenant)
	}
	if x.Group != "" {
		fmt.Fprintf(out, ", group %s", x.Group)
	}
	if x.Flow != "" {
		fmt.Fprintf(out, ", flow %s", x.Flow)
	}
	fmt.Fprintf(out, "\n  received at %s, %s ago; its client waits up to %s",
		x.ReceivedAt.Format("15:04:05.000"), formatDuration(x.age), formatDuration(fromMilliseconds(x.TimeLimitMS)))
	if x.Returning {
		fmt.Fprint(out, "; its client returned after a move or a disconnect")
	}
	if x.Pinned {
		fmt.Fprint(out, "; pinned")
	}
	fmt.Fprintln(out)
}

// writeEvents writes a line per event. The revision of the endpoint list is written only
// when it changes.
func (x *Explanation) writeEvents(out io.Writer) {
	var lastRevision uint64
	for i := range x.Events {
		event := &x.Events[i]
		text := event.Text
		if event.Revision != 0 && event.Revision != lastRevision {
			text += " [" + listText(event) + "]"
			lastRevision = event.Revision
		}
		fmt.Fprintf(out, "  %10s  %s\n", "+"+formatDuration(fromMilliseconds(event.AfterMS)), text)
	}
}

// listText returns the revision and age of the endpoint list that a decision was based on.
func listText(event *Event) string {
	text := fmt.Sprintf("list of revision %d", event.Revision)
	if event.ListAgeMS != nil {
		text += fmt.Sprintf(", %s old", formatDuration(fromMilliseconds(*event.ListAgeMS)))
	}
	return text
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// WriteJSON writes explanations as JSON, one object per line.
func WriteJSON(out io.Writer, explanations []*Explanation) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	for _, explanation := range explanations {
		if err := encoder.Encode(explanation); err != nil {
			return err
		}
	}
	return nil
}

// writeExplanations writes explanations in the format that the query requests.
func writeExplanations(out io.Writer, query Query, explanations []*Explanation) error {
	if query.JSON {
		return WriteJSON(out, explanations)
	}
	for i, explanation := range explanations {
		if i > 0 {
			fmt.Fprintln(out)
		}
		explanation.Write(out)
	}
	return nil
}
