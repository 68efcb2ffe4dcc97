package demo

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"

	"lockroad/internal/explain"
	"lockroad/internal/fake"
)

// checkSpans compares the spans of telemetry with the explanations, and returns how many it
// compared.
func (d *demonstration) checkSpans(explanations map[string]*explain.Explanation) int {
	byNumber := make(map[string]*explain.Explanation)
	for _, explanation := range explanations {
		byNumber[fmt.Sprint(explanation.Number)] = explanation
	}
	type spans struct{ answer, reason, passes string }
	found := make(map[string]*spans)
	ids := make(map[string]*spans)
	all := d.collector.Spans()
	for _, span := range all {
		if span.Name == "transaction" {
			one := &spans{answer: fake.Attribute(span.Attributes, "answer"), reason: fake.Attribute(span.Attributes, "reason")}
			found[fake.Attribute(span.Attributes, "number")], ids[string(span.SpanId)] = one, one
		}
	}
	children := slices.Clone(all)
	slices.SortStableFunc(children, func(a, b *spanpb.Span) int { return cmp.Compare(a.StartTimeUnixNano, b.StartTimeUnixNano) })
	for _, span := range children {
		if of := ids[string(span.ParentSpanId)]; of != nil && span.Name == "proxy pass" {
			of.passes += fake.Attribute(span.Attributes, "server") + " " + fake.Attribute(span.Attributes, "outcome") + ";"
		}
	}
	count := 0
	for number, explanation := range byNumber {
		span := found[number]
		if span == nil {
			continue // dropped, or not ended yet
		}
		count++
		var passes bytes.Buffer
		reason := ""
		for _, step := range explanation.Events {
			switch {
			case step.Kind == "outcome":
				fmt.Fprintf(&passes, "%s %s;", step.Endpoint, step.Outcome)
			case step.Reason != "":
				reason = step.Reason
			}
		}
		if span.answer != explanation.Result || span.passes != passes.String() && !explanation.HeadEvicted || span.reason != reason {
			d.result.Mismatches = append(d.result.Mismatches, fmt.Sprintf("transaction %s: telemetry tells %+v, the answer %s, %s, %s", number, *span, explanation.Result, reason, passes.String()))
		}
	}
	return count
}
