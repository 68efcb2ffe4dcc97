// Package telemetry sends the relay's metrics, and a span for each transaction with
// its passes, to a collector: OTLP over HTTP by the OpenTelemetry SDK. What the
// collector doesn't take in time is dropped.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

const (
	scope      = "lockroad"
	exportMost = 3 * time.Second // one export may take this long
	spansMost  = 2048            // that wait for an export; more are dropped
)

// Telemetry is what has been started.
type Telemetry struct {
	meters  *sdkmetric.MeterProvider
	tracers *sdktrace.TracerProvider
}

// Start begins to send a core's metrics to a collector every so often, and has
// the core tell of its transactions. What was decided for them, and why, is read from
// a record that has observed the core before; without one it is left out.
func Start(ctx context.Context, endpoint, name string, every time.Duration, k *proxy.Proxy, r *decisionlog.Log) (*Telemetry, error) {
	metrics, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(endpoint+"/v1/metrics"),
		otlpmetrichttp.WithTimeout(exportMost), otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	traces, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint+"/v1/traces"),
		otlptracehttp.WithTimeout(exportMost), otlptracehttp.WithRetry(otlptracehttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	of := resource.NewSchemaless(
		attribute.String("service.name", scope), attribute.String("service.instance.id", name))
	t := &Telemetry{
		meters: sdkmetric.NewMeterProvider(sdkmetric.WithResource(of), sdkmetric.WithReader(
			sdkmetric.NewPeriodicReader(metrics, sdkmetric.WithInterval(every), sdkmetric.WithTimeout(exportMost)))),
		tracers: sdktrace.NewTracerProvider(sdktrace.WithResource(of), sdktrace.WithBatcher(traces,
			sdktrace.WithBatchTimeout(every), sdktrace.WithExportTimeout(exportMost), sdktrace.WithMaxQueueSize(spansMost))),
	}
	if err := observe(t.meters.Meter(scope), k); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: %w", err), t.Stop(ctx))
	}
	k.Observe(&observer{clock: k.Clock, farm: k.Endpoints, record: r, tracer: t.tracers.Tracer(scope)})
	return t, nil
}

// Stop sends what waits, as long as ctx lasts.
func (t *Telemetry) Stop(ctx context.Context) error {
	return errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
}

// observe reads the core's counters whenever metrics are due.
func observe(m metric.Meter, k *proxy.Proxy) error {
	count := func(name, what string, read func(metric.Int64Observer)) error {
		_, err := m.Int64ObservableCounter(name, metric.WithDescription(what),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				read(o)
				return nil
			}))
		return err
	}
	gauge := func(name, what string, read func(metric.Int64Observer)) error {
		_, err := m.Int64ObservableGauge(name, metric.WithDescription(what),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				read(o)
				return nil
			}))
		return err
	}
	by := func(key, value string) metric.MeasurementOption {
		return metric.WithAttributes(attribute.String(key, value))
	}
	var parts error
	for _, r := range k.Instruments {
		tell := gauge
		if r.Cumulative {
			tell = count
		}
		parts = errors.Join(parts, tell(r.Name, r.Description, func(o metric.Int64Observer) { o.Observe(r.Read()) }))
	}
	c := k.Counters
	return errors.Join(parts,
		count("lockroad.transactions", "transactions taken", func(o metric.Int64Observer) {
			o.Observe(c.Requests.Load())
		}),
		count("lockroad.answers", "final answers and other ends, by kind", func(o metric.Int64Observer) {
			for _, e := range c.Ends() {
				o.Observe(e.Count, by("answer", e.Name))
			}
		}),
		count("lockroad.passes", "proxy passes that have ended, by outcome", func(o metric.Int64Observer) {
			for how, name := range registry.StatusNames {
				o.Observe(c.Attempts(balancer.AttemptStatus(how)), by("outcome", name))
			}
		}),
		count("lockroad.invariants.broken", "invariants that did not hold", func(o metric.Int64Observer) {
			o.Observe(assert.Broken())
		}),
		gauge("lockroad.connections", "transactions under way, by stage", func(o metric.Int64Observer) {
			for stage, n := range k.Requests.CountByStage() {
				o.Observe(n, by("stage", registry.Stage(stage).String()))
			}
		}),
		gauge("lockroad.farm", "application servers, by phase", func(o metric.Int64Observer) {
			for phase, n := range k.Endpoints.CountByState() {
				o.Observe(n, by("phase", registry.StateName(balancer.EndpointState(phase))))
			}
		}),
	)
}

// observer makes a span of each transaction.
type observer struct {
	clock  proxy.Clock
	farm   *registry.Endpoints
	record *decisionlog.Log
	tracer trace.Tracer
}

func (o *observer) Began(number uint64, a proxy.Request) proxy.RequestObserver {
	ctx, span := o.tracer.Start(context.Background(), "transaction", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("front", a.Front), attribute.String("class", a.Class),
			attribute.String("transaction", a.Name),
			attribute.Int64("number", int64(number))))
	if a.Tenant != "" {
		span.SetAttributes(attribute.String("tenant", a.Tenant))
	}
	return &traced{observer: o, ctx: ctx, span: span, number: number}
}

// traced is the span of one transaction. One goroutine at a time uses it.
type traced struct {
	*observer
	ctx    context.Context
	span   trace.Span
	number uint64
}

// AttemptStarted begins the span of a proxy pass; the result ends it.
func (t *traced) AttemptStarted(server balancer.EndpointID) func(how balancer.AttemptStatus) {
	name := ""
	if s, ok := t.farm.Find(server); ok {
		name = s.Name
	}
	_, span := t.tracer.Start(t.ctx, "proxy pass", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", name)))
	return func(how balancer.AttemptStatus) {
		span.SetAttributes(attribute.String("outcome", registry.StatusNames[how]))
		if how != balancer.StatusOK {
			span.SetStatus(codes.Error, registry.StatusNames[how])
		}
		span.End()
	}
}

// Established notes that the transaction stands.
func (t *traced) Established() { t.span.AddEvent("up") }

// Decided is of no use to a span: what was decided is read from the record.
func (t *traced) Decided(*balancer.Decision) {}

// Ended ends the span with the final answer, or the end that it came to.
func (t *traced) Ended(f proxy.Result) {
	t.span.SetAttributes(attribute.String("answer", f.End.String()))
	t.why(f)
	t.span.End()
}

// decisionsMost bounds the events of a span.
const decisionsMost = 32

// why adds what the record has of the transaction: an event for each decision, and the
// reason of the last. Console and span so tell the same.
func (t *traced) why(f proxy.Result) {
	if f.Cause != proxy.CauseDecided {
		t.span.SetAttributes(attribute.String("cause", f.Cause.String()))
	}
	if f.RetryAfter > 0 {
		t.span.SetAttributes(attribute.Int64("come_back_ms", f.RetryAfter.Milliseconds()))
	}
	if t.record == nil {
		return
	}
	kept, err := t.record.Number(t.number)
	if err != nil {
		return
	}
	events := 0
	var last *balancer.Decision
	for i := range kept.Events {
		s := &kept.Events[i]
		if s.Kind != decisionlog.EventDecision {
			continue
		}
		last = &s.Decision
		if events++; events > decisionsMost {
			continue
		}
		with := []attribute.KeyValue{
			attribute.String("verdict", last.Verdict.String()), attribute.String("reason", last.Reason.String()),
			attribute.Int("attempt", last.Attempt), attribute.Int("ready_servers", last.ReadyEndpoints), attribute.Int("again", s.Repeats),
		}
		if last.Verdict == balancer.VerdictSent || last.Verdict == balancer.VerdictMigrated {
			with = append(with, attribute.String("server", t.farm.Name(last.Endpoint)))
		}
		if last.Preferred >= 0 && last.Preferred < len(last.Considered) {
			with = append(with, attribute.String("instead", t.farm.Name(last.Considered[last.Preferred].Endpoint)))
		}
		t.span.AddEvent("decision", trace.WithTimestamp(t.clock.Wall(s.At)), trace.WithAttributes(with...))
	}
	if last != nil {
		t.span.SetAttributes(attribute.String("reason", last.Reason.String()), attribute.Int("attempts", len(kept.Attempts())))
	}
}
