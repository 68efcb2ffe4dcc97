package telemetry

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	metricspb "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	tracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	metricpb "go.opentelemetry.io/proto/otlp/metrics/v1"
	"google.golang.org/protobuf/proto"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/golden"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// transcriber is a collector that writes a line for each metric, span and event that it receives, without times and
// IDs.
type transcriber struct {
	mu    sync.Mutex // guards the following fields
	lines []string
	errs  []error
}

// attributes returns the text of attributes, each with a space before it.
func attributes(list []*commonpb.KeyValue) string {
	var text strings.Builder
	for _, attribute := range list {
		if strings.HasPrefix(attribute.Key, "telemetry.sdk.") {
			continue // set by the SDK
		}
		switch value := attribute.Value.Value.(type) {
		case *commonpb.AnyValue_StringValue:
			fmt.Fprintf(&text, " %s=%q", attribute.Key, value.StringValue)
		case *commonpb.AnyValue_IntValue:
			fmt.Fprintf(&text, " %s=%d", attribute.Key, value.IntValue)
		default:
			fmt.Fprintf(&text, " %s=%T", attribute.Key, value)
		}
	}
	return text.String()
}

// addLine adds a formatted line. The caller holds c.mu.
func (c *transcriber) addLine(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// ServeHTTP transcribes an export.
func (c *transcriber) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.transcribe(r); err != nil {
		c.errs = append(c.errs, err)
	}
}

func (c *transcriber) transcribe(r *http.Request) error {
	reader := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(r.Body)
		if err != nil {
			return err
		}
		reader = unzipped
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return err
	}
	switch r.URL.Path {
	case "/v1/metrics":
		return c.transcribeMetrics(body)
	case "/v1/traces":
		return c.transcribeSpans(body)
	}
	return fmt.Errorf("export to unexpected path %s", r.URL.Path)
}

func (c *transcriber) transcribeMetrics(body []byte) error {
	var export metricspb.ExportMetricsServiceRequest
	if err := proto.Unmarshal(body, &export); err != nil {
		return err
	}
	for _, resource := range export.ResourceMetrics {
		c.addLine("metrics of resource%s", attributes(resource.Resource.Attributes))
		for _, scope := range resource.ScopeMetrics {
			for _, metric := range scope.Metrics {
				c.transcribeMetric(scope.Scope.Name, metric)
			}
		}
	}
	return nil
}

func (c *transcriber) transcribeMetric(scope string, metric *metricpb.Metric) {
	var points []*metricpb.NumberDataPoint
	kind := "gauge"
	switch data := metric.Data.(type) {
	case *metricpb.Metric_Gauge:
		points = data.Gauge.DataPoints
	case *metricpb.Metric_Sum:
		points = data.Sum.DataPoints
		kind = fmt.Sprintf("sum, monotonic %v, %v", data.Sum.IsMonotonic, data.Sum.AggregationTemporality)
	}
	for _, point := range points {
		c.addLine("metric %s (%s; scope %s; unit %q; %s)%s: %d", metric.Name, kind, scope, metric.Unit, metric.Description, attributes(point.Attributes), point.GetAsInt())
	}
}

func (c *transcriber) transcribeSpans(body []byte) error {
	var export tracepb.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &export); err != nil {
		return err
	}
	for _, resource := range export.ResourceSpans {
		c.addLine("spans of resource%s", attributes(resource.Resource.Attributes))
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				c.addLine("span %s (%v; scope %s; status %v %q; child %v)%s", span.Name, span.Kind, scope.Scope.Name, span.Status.GetCode(), span.Status.GetMessage(), len(span.ParentSpanId) > 0, attributes(span.Attributes))
				for i, event := range span.Events {
					c.addLine("span %s event %d %s%s", span.Name, i, event.Name, attributes(event.Attributes))
				}
			}
		}
	}
	return nil
}

// Dashboards read the names of metrics, spans, events and attributes. The test exports all of them.
func TestTelemetryNamesAreStable(t *testing.T) {
	collector := &transcriber{}
	server := httptest.NewServer(collector)
	defer server.Close()
	relay := proxy.New(balancer.Settings{Classes: []balancer.Class{{Name: "page", Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1}, 1, proxy.NewClock())
	first, second := relay.Endpoints.AssignID("s-1"), relay.Endpoints.AssignID("s-2")
	relay.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: first, State: balancer.StateReady, Size: 1}, {ID: second, State: balancer.StateDraining, Size: 1}}, []string{"a:1", "b:1"})
	for end := range registry.EndNames {
		for range end + 1 {
			relay.Counters.CountEnd(registry.End(end))
		}
	}
	for status := range registry.StatusNames {
		for range status + 1 {
			relay.Counters.CountAttempt(balancer.AttemptStatus(status))
		}
	}
	relay.Counters.Requests.Add(41)
	decisions, err := decisionlog.New(decisionlog.MinBytes, relay.Clock)
	if err != nil {
		t.Fatal(err)
	}
	telemetry, err := Start(context.Background(), server.URL, "n1", time.Hour, relay, decisions)
	if err != nil {
		t.Fatal(err)
	}
	request := proxy.Request{Frontend: "line", Class: "page", Name: "9b1f", Tenant: "acme", RequestOptions: balancer.RequestOptions{Deadline: relay.Clock.Now() + time.Second}}
	logged := decisions.RequestStarted(7, request)
	for _, verdict := range []balancer.Verdict{balancer.VerdictSent, balancer.VerdictHeld, balancer.VerdictRejected, balancer.VerdictFailed, balancer.VerdictMigrated} {
		logged.Decided(&balancer.Decision{At: relay.Clock.Now(), Verdict: verdict, Reason: balancer.ReasonRouteSlow, Attempt: 2, Endpoint: first, ReadyEndpoints: 3, PreferredIndex: 1,
			Considered: []balancer.ConsideredEndpoint{{Endpoint: first, State: balancer.StateReady}, {Endpoint: second, State: balancer.StateReady}}})
	}
	logged.AttemptStarted(first)(balancer.StatusOK)
	traced := (&tracingObserver{clock: relay.Clock, endpoints: relay.Endpoints, decisions: decisions, tracer: telemetry.tracerProvider.Tracer(instrumentationScope)}).RequestStarted(7, request)
	for status := range registry.StatusNames {
		traced.AttemptStarted(first)(balancer.AttemptStatus(status))
	}
	traced.Established()
	traced.Ended(proxy.Result{End: registry.EndRejected, Cause: proxy.CauseConnectionLimit, RetryAfter: 800 * time.Millisecond})
	if err := telemetry.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	collector.mu.Lock()
	defer collector.mu.Unlock()
	if len(collector.errs) > 0 {
		t.Fatal(collector.errs)
	}
	slices.Sort(collector.lines)
	golden.Compare(t, "telemetry.txt", strings.Join(collector.lines, "\n")+"\n")
}
