package telemetry

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// registerMetrics registers the counters and gauges of a relay. The SDK reads them at each export,
// on a goroutine of its own.
func registerMetrics(meter metric.Meter, relay *proxy.Proxy) error {
	counter := func(name, description string, read func(metric.Int64Observer)) error {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description), readBy(read))
		return err
	}
	gauge := func(name, description string, read func(metric.Int64Observer)) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description), readBy(read))
		return err
	}
	withAttribute := func(key, value string) metric.MeasurementOption {
		return metric.WithAttributes(attribute.String(key, value))
	}
	var errs error
	for _, instrument := range relay.Instruments {
		register := gauge
		if instrument.Cumulative {
			register = counter
		}
		errs = errors.Join(errs, register(instrument.Name, instrument.Description, func(o metric.Int64Observer) { o.Observe(instrument.Read()) }))
	}
	counters := relay.Counters
	return errors.Join(errs,
		counter("lockroad.transactions", "transactions taken", func(o metric.Int64Observer) {
			o.Observe(counters.Requests.Load())
		}),
		counter("lockroad.answers", "final answers and other ends, by kind", func(o metric.Int64Observer) {
			for _, end := range counters.Ends() {
				o.Observe(end.Count, withAttribute("answer", end.Name))
			}
		}),
		counter("lockroad.passes", "proxy passes that have ended, by outcome", func(o metric.Int64Observer) {
			for status, name := range registry.StatusNames {
				o.Observe(counters.Attempts(balancer.AttemptStatus(status)), withAttribute("outcome", name))
			}
		}),
		counter("lockroad.invariants.broken", "invariants that did not hold", func(o metric.Int64Observer) {
			o.Observe(assert.Violations())
		}),
		gauge("lockroad.connections", "transactions under way, by stage", func(o metric.Int64Observer) {
			for stage, count := range relay.Requests.CountByStage() {
				o.Observe(count, withAttribute("stage", registry.Stage(stage).String()))
			}
		}),
		gauge("lockroad.farm", "application servers, by phase", func(o metric.Int64Observer) {
			for state, count := range relay.Endpoints.CountByState() {
				o.Observe(count, withAttribute("phase", registry.StateName(balancer.EndpointState(state))))
			}
		}),
	)
}

// readBy returns the option to read an instrument with a function that can't fail.
func readBy(read func(metric.Int64Observer)) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		read(o)
		return nil
	})
}
