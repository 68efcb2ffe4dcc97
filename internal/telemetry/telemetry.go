// Package telemetry exports metrics and traces to a collector over OTLP/HTTP with the
// OpenTelemetry SDK. A trace has a span for a request, with child spans for its attempts. Data
// that the collector does not accept in time is dropped, so that requests never wait for it.
// Dashboards and alerts depend on the names of metrics, spans and attributes, which must not
// change.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
)

const (
	// instrumentationScope is the name of the instrumentation scope and of the service.
	instrumentationScope = "lockroad"
	// exportTimeout limits the duration of an export.
	exportTimeout = 3 * time.Second
	// maxQueuedSpans limits the spans that wait for an export. Further ones are dropped.
	maxQueuedSpans = 2048
)

// Telemetry is a running export of metrics and spans. Its owner must call Stop.
type Telemetry struct {
	meterProvider  *sdkmetric.MeterProvider
	tracerProvider *sdktrace.TracerProvider
}

// Start exports the metrics of a relay to a collector at every interval, and a span for each of
// its requests. collectorURL has no path. name is the instance ID of the service. The decisions
// of a span are read from decisions, which must observe the relay before Start is called; if it
// is nil, spans have no decisions.
func Start(ctx context.Context, collectorURL, name string, interval time.Duration, relay *proxy.Proxy, decisions *decisionlog.Log) (*Telemetry, error) {
	metricExporter, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(collectorURL+"/v1/metrics"),
		otlpmetrichttp.WithTimeout(exportTimeout), otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: create metric exporter: %w", err)
	}
	spanExporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collectorURL+"/v1/traces"),
		otlptracehttp.WithTimeout(exportTimeout), otlptracehttp.WithRetry(otlptracehttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: create span exporter: %w", err)
	}
	service := resource.NewSchemaless(
		attribute.String("service.name", instrumentationScope), attribute.String("service.instance.id", name))
	t := &Telemetry{
		meterProvider: sdkmetric.NewMeterProvider(sdkmetric.WithResource(service), sdkmetric.WithReader(
			sdkmetric.NewPeriodicReader(metricExporter, sdkmetric.WithInterval(interval), sdkmetric.WithTimeout(exportTimeout)))),
		tracerProvider: sdktrace.NewTracerProvider(sdktrace.WithResource(service), sdktrace.WithBatcher(spanExporter,
			sdktrace.WithBatchTimeout(interval), sdktrace.WithExportTimeout(exportTimeout), sdktrace.WithMaxQueueSize(maxQueuedSpans))),
	}
	if err := registerMetrics(t.meterProvider.Meter(instrumentationScope), relay); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: register metrics: %w", err), t.Stop(ctx))
	}
	relay.Observe(&tracingObserver{
		clock:     relay.Clock,
		endpoints: relay.Endpoints,
		decisions: decisions,
		tracer:    t.tracerProvider.Tracer(instrumentationScope),
	})
	return t, nil
}

// Stop exports the pending metrics and spans, until ctx ends, and stops all exports. It returns an
// error if some could not be sent.
func (t *Telemetry) Stop(ctx context.Context) error {
	return errors.Join(t.tracerProvider.Shutdown(ctx), t.meterProvider.Shutdown(ctx))
}
