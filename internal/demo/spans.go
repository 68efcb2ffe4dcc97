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

// checkSpans compares the exported spans of transactions with their explanations, and returns
// the number of transactions compared.
func (d *demonstration) checkSpans(explanations map[string]*explain.Explanation) int {
	byNumber := make(map[string]*explain.Explanation)
	for _, explanation := range explanations {
		byNumber[fmt.Sprint(explanation.Number)] = explanation
	}
	type transactionSpans struct{ result, reason, attempts string }
	byTransaction := make(map[string]*transactionSpans)
	bySpanID := make(map[string]*transactionSpans)
	all := d.collector.Spans()
	for _, span := range all {
		if span.Name == "transaction" {
			spans := &transactionSpans{result: fake.Attribute(span.Attributes, "answer"), reason: fake.Attribute(span.Attributes, "reason")}
			byTransaction[fake.Attribute(span.Attributes, "number")], bySpanID[string(span.SpanId)] = spans, spans
		}
	}
	children := slices.Clone(all)
	slices.SortStableFunc(children, func(a, b *spanpb.Span) int { return cmp.Compare(a.StartTimeUnixNano, b.StartTimeUnixNano) })
	for _, span := range children {
		if parent := bySpanID[string(span.ParentSpanId)]; parent != nil && span.Name == "proxy pass" {
			parent.attempts += fake.Attribute(span.Attributes, "server") + " " + fake.Attribute(span.Attributes, "outcome") + ";"
		}
	}
	count := 0
	for number, explanation := range byNumber {
		spans := byTransaction[number]
		if spans == nil {
			continue // the span was dropped, or the transaction has not ended
		}
		count++
		var attempts bytes.Buffer
		reason := ""
		for _, event := range explanation.Events {
			switch {
			case event.Kind == "outcome":
				fmt.Fprintf(&attempts, "%s %s;", event.Endpoint, event.Outcome)
			case event.Reason != "":
				reason = event.Reason
			}
		}
		if spans.result != explanation.Result || spans.attempts != attempts.String() && !explanation.HeadEvicted || spans.reason != reason {
			d.result.Mismatches = append(d.result.Mismatches, fmt.Sprintf("transaction %s: its spans have %+v; the explanation has result %s, reason %s, attempts %s", number, *spans, explanation.Result, reason, attempts.String()))
		}
	}
	return count
}
