// Package otlp sends the relay's metrics, and a span for each transaction with
// its passes, to a collector: OTLP over HTTP by the OpenTelemetry SDK. What the
// collector doesn't take in time is dropped.
package otlp

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

	"lockroad/balance"
	"lockroad/internal/assert"
	"lockroad/internal/core"
	"lockroad/internal/memory"
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
// the core tell of its transactions.
func Start(ctx context.Context, endpoint, name string, every time.Duration, k *core.Core) (*Telemetry, error) {
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
	k.Observe(&observer{clock: k.Clock, farm: k.Farm, tracer: t.tracers.Tracer(scope)})
	return t, nil
}

// Stop sends what waits, as long as ctx lasts.
func (t *Telemetry) Stop(ctx context.Context) error {
	return errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
}

// observe reads the core's counters whenever metrics are due.
func observe(m metric.Meter, k *core.Core) error {
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
	c := k.Counters
	return errors.Join(
		count("lockroad.transactions", "transactions taken", func(o metric.Int64Observer) {
			o.Observe(c.Transactions.Load())
		}),
		count("lockroad.answers", "final answers and other ends, by kind", func(o metric.Int64Observer) {
			for _, e := range c.Ends() {
				o.Observe(e.Count, by("answer", e.Name))
			}
		}),
		count("lockroad.passes", "proxy passes that have ended, by outcome", func(o metric.Int64Observer) {
			for how, name := range memory.Statuses {
				o.Observe(c.Passes(balance.Status(how)), by("outcome", name))
			}
		}),
		count("lockroad.invariants.broken", "invariants that did not hold", func(o metric.Int64Observer) {
			o.Observe(assert.Broken())
		}),
		gauge("lockroad.connections", "transactions under way, by stage", func(o metric.Int64Observer) {
			for stage, n := range k.Transactions.Stages() {
				o.Observe(n, by("stage", memory.Stage(stage).String()))
			}
		}),
		gauge("lockroad.farm", "application servers, by phase", func(o metric.Int64Observer) {
			for phase, n := range k.Farm.Phases() {
				o.Observe(n, by("phase", memory.PhaseName(balance.State(phase))))
			}
		}),
	)
}

// observer makes a span of each transaction.
type observer struct {
	clock  core.Clock
	farm   *memory.Farm
	tracer trace.Tracer
}

func (o *observer) Began(a core.Ask) core.Trace {
	ctx, span := o.tracer.Start(context.Background(), "transaction", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("front", a.Front), attribute.String("class", a.Class),
			attribute.String("transaction", a.Name)))
	return &traced{observer: o, ctx: ctx, span: span}
}

// traced is the span of one transaction. One goroutine at a time uses it.
type traced struct {
	*observer
	ctx  context.Context
	span trace.Span
}

// Pass begins the span of a proxy pass; the result ends it.
func (t *traced) Pass(server balance.ServerID) func(how balance.Status) {
	name := ""
	if s, ok := t.farm.Find(server); ok {
		name = s.Name
	}
	_, span := t.tracer.Start(t.ctx, "proxy pass", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", name)))
	return func(how balance.Status) {
		span.SetAttributes(attribute.String("outcome", memory.Statuses[how]))
		if how != balance.OK {
			span.SetStatus(codes.Error, memory.Statuses[how])
		}
		span.End()
	}
}

// Up notes that the transaction stands.
func (t *traced) Up() { t.span.AddEvent("up") }

// Ended ends the span with the final answer, or the end that it came to.
func (t *traced) Ended(answer string) {
	t.span.SetAttributes(attribute.String("answer", answer))
	t.span.End()
}
