// Package telemetry exports the relay's metrics, and a span for each request with its
// attempts, to a collector: OTLP over HTTP by the OpenTelemetry SDK. What the collector does
// not take in time is dropped, so that requests never wait for it. The names of metrics, spans
// and attributes are read by others and must not change.
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
	// instrumentationScope names the instrumentation scope and the service to the collector.
	instrumentationScope = "lockroad"
	// exportTimeout bounds one export.
	exportTimeout = 3 * time.Second
	// maxQueuedSpans is how many spans may wait for an export; more are dropped.
	maxQueuedSpans = 2048
)

// Telemetry is a running export of metrics and spans. Its owner has to call Stop.
type Telemetry struct {
	meters  *sdkmetric.MeterProvider
	tracers *sdktrace.TracerProvider
}

// Start exports a proxy's metrics to the collector at endpoint (a URL without path) every
// interval, and observes the proxy to export a span for each request. name identifies this
// relay. The decisions of a span are read from a decision log that observed the proxy before;
// if it is nil, spans have none.
func Start(ctx context.Context, endpoint, name string, interval time.Duration, core *proxy.Proxy, decisions *decisionlog.Log) (*Telemetry, error) {
	metrics, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(endpoint+"/v1/metrics"),
		otlpmetrichttp.WithTimeout(exportTimeout), otlpmetrichttp.WithRetry(otlpmetrichttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	traces, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint+"/v1/traces"),
		otlptracehttp.WithTimeout(exportTimeout), otlptracehttp.WithRetry(otlptracehttp.RetryConfig{}))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	service := resource.NewSchemaless(
		attribute.String("service.name", instrumentationScope), attribute.String("service.instance.id", name))
	t := &Telemetry{
		meters: sdkmetric.NewMeterProvider(sdkmetric.WithResource(service), sdkmetric.WithReader(
			sdkmetric.NewPeriodicReader(metrics, sdkmetric.WithInterval(interval), sdkmetric.WithTimeout(exportTimeout)))),
		tracers: sdktrace.NewTracerProvider(sdktrace.WithResource(service), sdktrace.WithBatcher(traces,
			sdktrace.WithBatchTimeout(interval), sdktrace.WithExportTimeout(exportTimeout), sdktrace.WithMaxQueueSize(maxQueuedSpans))),
	}
	if err := registerMetrics(t.meters.Meter(instrumentationScope), core); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: %w", err), t.Stop(ctx))
	}
	core.Observe(&tracingObserver{
		clock:     core.Clock,
		endpoints: core.Endpoints,
		decisions: decisions,
		tracer:    t.tracers.Tracer(instrumentationScope),
	})
	return t, nil
}

// Stop exports what waits, until ctx ends, and ends the exports. It returns what could not be
// sent as errors.
func (t *Telemetry) Stop(ctx context.Context) error {
	return errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
}
