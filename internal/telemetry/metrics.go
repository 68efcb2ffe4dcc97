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

// registerMetrics registers the proxy's counters and gauges, which are read whenever an export
// is due, on a goroutine of the SDK.
func registerMetrics(meter metric.Meter, core *proxy.Proxy) error {
	counter := func(name, description string, read func(metric.Int64Observer)) error {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description), readBy(read))
		return err
	}
	gauge := func(name, description string, read func(metric.Int64Observer)) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description), readBy(read))
		return err
	}
	labelled := func(key, value string) metric.MeasurementOption {
		return metric.WithAttributes(attribute.String(key, value))
	}
	var errs error
	for _, instrument := range core.Instruments {
		register := gauge
		if instrument.Cumulative {
			register = counter
		}
		errs = errors.Join(errs, register(instrument.Name, instrument.Description, func(o metric.Int64Observer) { o.Observe(instrument.Read()) }))
	}
	counters := core.Counters
	return errors.Join(errs,
		counter("lockroad.transactions", "transactions taken", func(o metric.Int64Observer) {
			o.Observe(counters.Requests.Load())
		}),
		counter("lockroad.answers", "final answers and other ends, by kind", func(o metric.Int64Observer) {
			for _, end := range counters.Ends() {
				o.Observe(end.Count, labelled("answer", end.Name))
			}
		}),
		counter("lockroad.passes", "proxy passes that have ended, by outcome", func(o metric.Int64Observer) {
			for status, name := range registry.StatusNames {
				o.Observe(counters.Attempts(balancer.AttemptStatus(status)), labelled("outcome", name))
			}
		}),
		counter("lockroad.invariants.broken", "invariants that did not hold", func(o metric.Int64Observer) {
			o.Observe(assert.Violations())
		}),
		gauge("lockroad.connections", "transactions under way, by stage", func(o metric.Int64Observer) {
			for stage, total := range core.Requests.CountByStage() {
				o.Observe(total, labelled("stage", registry.Stage(stage).String()))
			}
		}),
		gauge("lockroad.farm", "application servers, by phase", func(o metric.Int64Observer) {
			for phase, total := range core.Endpoints.CountByState() {
				o.Observe(total, labelled("phase", registry.StateName(balancer.EndpointState(phase))))
			}
		}),
	)
}

// readBy returns the option that makes an instrument be read by a function that can't fail.
func readBy(read func(metric.Int64Observer)) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		read(o)
		return nil
	})
}
