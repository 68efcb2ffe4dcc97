package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// tracingObserver is a proxy.Observer that creates a span for each request.
type tracingObserver struct {
	clock     proxy.Clock
	endpoints *registry.Endpoints
	decisions *decisionlog.Log // nil: spans have no decisions
	tracer    trace.Tracer
}

// RequestStarted starts the span of a request.
func (o *tracingObserver) RequestStarted(number uint64, request proxy.Request) proxy.RequestObserver {
	ctx, span := o.tracer.Start(context.Background(), "transaction", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("front", request.Frontend),
			attribute.String("class", request.Class),
			attribute.String("transaction", request.Name),
			attribute.Int64("number", int64(number)),
		))
	if request.Tenant != "" {
		span.SetAttributes(attribute.String("tenant", request.Tenant))
	}
	return &requestSpan{tracingObserver: o, ctx: ctx, span: span, number: number}
}

// requestSpan is the span of one request. Only Decided may be called concurrently with other methods.
type requestSpan struct {
	*tracingObserver
	ctx    context.Context
	span   trace.Span
	number uint64
}

// AttemptStarted starts the span of an attempt. The function that it returns ends the span.
func (s *requestSpan) AttemptStarted(endpointID balancer.EndpointID) func(status balancer.AttemptStatus) {
	name := ""
	if endpoint, ok := s.endpoints.Find(endpointID); ok {
		name = endpoint.Name
	}
	_, span := s.tracer.Start(s.ctx, "proxy pass", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", name)))
	return func(status balancer.AttemptStatus) {
		span.SetAttributes(attribute.String("outcome", registry.StatusNames[status]))
		if status != balancer.StatusOK {
			span.SetStatus(codes.Error, registry.StatusNames[status])
		}
		span.End()
	}
}

// Established adds the event "up" to the span.
func (s *requestSpan) Established() { s.span.AddEvent("up") }

// Decided does nothing: Ended reads the decisions from the decision log.
func (s *requestSpan) Decided(*balancer.Decision) {}

// Ended adds the request's end and its decisions to the span, and ends the span.
func (s *requestSpan) Ended(result proxy.Result) {
	s.span.SetAttributes(attribute.String("answer", result.End.String()))
	s.addDecisions(result)
	s.span.End()
}

// maxDecisionEvents limits the decision events of a span.
const maxDecisionEvents = 32

// addDecisions adds the cause and the retry delay of the request's end, an event for each decision, the
// reason of the last decision and the number of attempts. It reads decisions and attempts from the
// decision log, as the console does, so that both agree.
func (s *requestSpan) addDecisions(result proxy.Result) {
	if result.Cause != proxy.CauseDecided {
		s.span.SetAttributes(attribute.String("cause", result.Cause.String()))
	}
	if result.RetryAfter > 0 {
		s.span.SetAttributes(attribute.Int64("come_back_ms", result.RetryAfter.Milliseconds()))
	}
	if s.decisions == nil {
		return
	}
	entry, err := s.decisions.EntryByNumber(s.number)
	if err != nil {
		return
	}
	events := 0
	var last *balancer.Decision
	for i := range entry.Events {
		event := &entry.Events[i]
		if event.Kind != decisionlog.EventDecision {
			continue
		}
		last = &event.Decision
		if events++; events > maxDecisionEvents {
			continue
		}
		s.span.AddEvent("decision", trace.WithTimestamp(s.clock.Wall(event.At)), trace.WithAttributes(s.attributes(last, event.Repeats)...))
	}
	if last != nil {
		s.span.SetAttributes(attribute.String("reason", last.Reason.String()), attribute.Int("attempts", len(entry.Attempts())))
	}
}

// attributes returns the attributes of a decision. repeats is how often it was repeated unchanged.
func (s *requestSpan) attributes(decision *balancer.Decision, repeats int) []attribute.KeyValue {
	list := []attribute.KeyValue{
		attribute.String("verdict", decision.Verdict.String()),
		attribute.String("reason", decision.Reason.String()),
		attribute.Int("attempt", decision.Attempt),
		attribute.Int("ready_servers", decision.ReadyEndpoints),
		attribute.Int("again", repeats),
	}
	if decision.Verdict == balancer.VerdictSent || decision.Verdict == balancer.VerdictMigrated {
		list = append(list, attribute.String("server", s.endpoints.Name(decision.Endpoint)))
	}
	if decision.PreferredIndex >= 0 && decision.PreferredIndex < len(decision.Considered) {
		list = append(list, attribute.String("instead", s.endpoints.Name(decision.Considered[decision.PreferredIndex].Endpoint)))
	}
	return list
}
