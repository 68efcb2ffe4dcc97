package explain

import (
	"fmt"
	"math"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// EndpointNames maps endpoint IDs to names and back.
type EndpointNames interface {
	Name(balancer.EndpointID) string
	Lookup(name string) (balancer.EndpointID, bool)
}

// Explainer explains the entries of a decision log. It is safe for concurrent use.
type Explainer struct {
	Log     *decisionlog.Log
	Names   EndpointNames
	Archive Archive // persistent explanations; nil: none
}

// Explain returns the explanation of an entry, with the previous and the next request of its
// client if they are in the log.
func (e *Explainer) Explain(entry *decisionlog.Entry) *Explanation {
	explanation := e.explainEntry(entry)
	before, after := e.related(entry)
	if before != nil {
		explanation.Before = &RelatedRequest{
			Number: before.Number, Relation: relationOf(before, entry), Result: before.ResultName(),
			Text: fmt.Sprintf("its client came back from %d (%s), %s, %s before",
				before.Number, relationText(before, entry), e.resultClause(before), formatDuration(entry.StartedAt-before.LastEventAt())),
		}
	}
	if after != nil {
		explanation.After = &RelatedRequest{
			Number: after.Number, Relation: relationOf(entry, after), Result: after.ResultName(),
			Text: fmt.Sprintf("its client came again %s later as %d (%s), %s",
				formatDuration(after.StartedAt-entry.LastEventAt()), after.Number, relationText(entry, after), e.resultClause(after)),
		}
	}
	return explanation
}

// explainEntry returns the explanation of an entry without related requests.
func (e *Explainer) explainEntry(entry *decisionlog.Entry) *Explanation {
	clock := e.Log.Clock()
	explanation := &Explanation{
		Number:        entry.Number,
		Frontend:      entry.Frontend,
		Name:          entry.Name,
		NameTruncated: entry.NameTruncated,
		Class:         entry.Class,
		Tenant:        entry.Tenant,
		Group:         formatKey(entry.Group),
		Flow:          formatKey(entry.Flow),
		ReceivedAt:    clock.Wall(entry.StartedAt),
		TimeLimitMS:   milliseconds(entry.TimeLimit),
		ExpectedLoad:  entry.ExpectedLoad * 1e6,
		Returning:     entry.Returning,
		Pinned:        entry.Pinned,
		Notable:       entry.Notable,
		HeadEvicted:   entry.HeadEvicted,
		EventsOmitted: entry.EventsOmitted,
		Result:        entry.ResultName(),
		age:           clock.Now() - entry.StartedAt,
	}
	if result, ended := entry.Result(); ended {
		explanation.RetryAfterMS = milliseconds(result.RetryAfter)
		if result.Cause != proxy.CauseDecided {
			explanation.Cause = result.Cause.String()
		}
	}
	var establishedAt time.Duration
	for i := range entry.Events {
		event := &entry.Events[i]
		if event.Kind == decisionlog.EventEstablished {
			establishedAt = event.At
		}
		explanation.Events = append(explanation.Events, e.explainEvent(entry, event, establishedAt))
	}
	return explanation
}

// explainEvent explains one event. establishedAt is the time at which the request was
// established, or 0.
func (e *Explainer) explainEvent(entry *decisionlog.Entry, event *decisionlog.Event, establishedAt time.Duration) Event {
	out := Event{AfterMS: milliseconds(event.At - entry.StartedAt)}
	switch event.Kind {
	case decisionlog.EventDecision:
		e.explainDecision(&out, event)
	case decisionlog.EventAttemptStarted:
		out.Kind, out.Endpoint = "pass", e.Names.Name(event.Endpoint)
		out.Text = "connects to " + out.Endpoint
	case decisionlog.EventAttemptEnded:
		out.Kind, out.Endpoint, out.Outcome = "outcome", e.Names.Name(event.Endpoint), registry.StatusNames[event.Status]
		out.Text = out.Endpoint + " " + attemptStatusTexts[event.Status]
	case decisionlog.EventEstablished:
		out.Kind, out.Text = "up", "the client is told that it is up"
	case decisionlog.EventEnded:
		out.Kind = "end"
		out.WaitMS = milliseconds(event.Result.RetryAfter)
		out.Text = resultText(event.Result)
		if establishedAt > 0 {
			out.Text += fmt.Sprintf(", after %s", formatDuration(event.At-establishedAt))
		}
	}
	return out
}

// formatKey formats the key of a flow or group. It returns "" if there is none.
func formatKey(key uint64) string {
	if key == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", key)
}

// milliseconds converts a duration to milliseconds, with a precision of microseconds.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// optionalMilliseconds converts an age to milliseconds. It returns nil for an unknown age,
// which is negative.
func optionalMilliseconds(age time.Duration) *float64 {
	if age < 0 {
		return nil
	}
	ms := milliseconds(age)
	return &ms
}

// roundFraction rounds a number to four decimal places.
func roundFraction(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// formatDuration formats a duration in a unit that suits its length.
func formatDuration(duration time.Duration) string {
	switch {
	case duration < 0:
		return "-" + formatDuration(-duration)
	case duration < 10*time.Millisecond:
		return fmt.Sprintf("%.1f ms", milliseconds(duration))
	case duration < time.Second:
		return fmt.Sprintf("%.0f ms", milliseconds(duration))
	case duration < time.Minute:
		return fmt.Sprintf("%.1f s", duration.Seconds())
	}
	return duration.Round(time.Second).String()
}
