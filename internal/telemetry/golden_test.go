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

// transcriber is a collector that writes down what it is sent, but for times and ids.
type transcriber struct {
	mu    sync.Mutex
	lines []string
	errs  []error
}

func attributes(all []*commonpb.KeyValue) string {
	var b strings.Builder
	for _, one := range all {
		if strings.HasPrefix(one.Key, "telemetry.sdk.") {
			continue // the SDK's own
		}
		switch v := one.Value.Value.(type) {
		case *commonpb.AnyValue_StringValue:
			fmt.Fprintf(&b, " %s=%q", one.Key, v.StringValue)
		case *commonpb.AnyValue_IntValue:
			fmt.Fprintf(&b, " %s=%d", one.Key, v.IntValue)
		default:
			fmt.Fprintf(&b, " %s=%T", one.Key, v)
		}
	}
	return b.String()
}

func (c *transcriber) line(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

func (c *transcriber) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.take(r); err != nil {
		c.errs = append(c.errs, err)
	}
}

func (c *transcriber) take(r *http.Request) error {
	in := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(r.Body)
		if err != nil {
			return err
		}
		in = unzipped
	}
	body, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	switch r.URL.Path {
	case "/v1/metrics":
		return c.metrics(body)
	case "/v1/traces":
		return c.spans(body)
	}
	return fmt.Errorf("export to %s", r.URL.Path)
}

func (c *transcriber) metrics(body []byte) error {
	var all metricspb.ExportMetricsServiceRequest
	if err := proto.Unmarshal(body, &all); err != nil {
		return err
	}
	for _, of := range all.ResourceMetrics {
		c.line("metrics of resource%s", attributes(of.Resource.Attributes))
		for _, in := range of.ScopeMetrics {
			for _, m := range in.Metrics {
				c.metric(in.Scope.Name, m)
			}
		}
	}
	return nil
}

func (c *transcriber) metric(scope string, m *metricpb.Metric) {
	var points []*metricpb.NumberDataPoint
	kind := "gauge"
	switch data := m.Data.(type) {
	case *metricpb.Metric_Gauge:
		points = data.Gauge.DataPoints
	case *metricpb.Metric_Sum:
		points = data.Sum.DataPoints
		kind = fmt.Sprintf("sum, monotonic %v, %v", data.Sum.IsMonotonic, data.Sum.AggregationTemporality)
	}
	for _, p := range points {
		c.line("metric %s (%s; scope %s; unit %q; %s)%s: %d", m.Name, kind, scope, m.Unit, m.Description, attributes(p.Attributes), p.GetAsInt())
	}
}

func (c *transcriber) spans(body []byte) error {
	var all tracepb.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &all); err != nil {
		return err
	}
	for _, of := range all.ResourceSpans {
		c.line("spans of resource%s", attributes(of.Resource.Attributes))
		for _, in := range of.ScopeSpans {
			for _, s := range in.Spans {
				c.line("span %s (%v; scope %s; status %v %q; child %v)%s", s.Name, s.Kind, in.Scope.Name, s.Status.GetCode(), s.Status.GetMessage(), len(s.ParentSpanId) > 0, attributes(s.Attributes))
				for i, e := range s.Events {
					c.line("span %s event %d %s%s", s.Name, i, e.Name, attributes(e.Attributes))
				}
			}
		}
	}
	return nil
}

// Every metric, span, event and attribute as a collector gets it, with every attribute set.
func TestTelemetryNamesAreStable(t *testing.T) {
	collector := &transcriber{}
	server := httptest.NewServer(collector)
	defer server.Close()
	k := proxy.New(balancer.Settings{Classes: []balancer.Class{{Name: "page", Deadline: time.Second}}, Relays: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1}, 1, proxy.NewClock())
	first, second := k.Endpoints.ID("s-1"), k.Endpoints.ID("s-2")
	k.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: first, State: balancer.StateReady, Weight: 1}, {ID: second, State: balancer.StateDraining, Weight: 1}}, []string{"a:1", "b:1"})
	for end := range registry.EndNames {
		for range end + 1 {
			k.Counters.CountEnd(registry.End(end))
		}
	}
	for status := range registry.StatusNames {
		for range status + 1 {
			k.Counters.CountAttempt(balancer.AttemptStatus(status))
		}
	}
	k.Counters.Requests.Add(41)
	r, err := decisionlog.New(decisionlog.MinBytes, k.Clock)
	if err != nil {
		t.Fatal(err)
	}
	telemetry, err := Start(context.Background(), server.URL, "n1", time.Hour, k, r)
	if err != nil {
		t.Fatal(err)
	}
	ask := proxy.Request{Front: "line", Class: "page", Name: "9b1f", Tenant: "acme", RequestOptions: balancer.RequestOptions{Deadline: k.Clock.Now() + time.Second}}
	kept := r.Began(7, ask)
	for _, verdict := range []balancer.Verdict{balancer.VerdictSent, balancer.VerdictHeld, balancer.VerdictRejected, balancer.VerdictFailed, balancer.VerdictMigrated} {
		kept.Decided(&balancer.Decision{At: k.Clock.Now(), Verdict: verdict, Reason: balancer.ReasonRouteSlow, Attempt: 2, Endpoint: first, ReadyEndpoints: 3, Preferred: 1,
			Considered: []balancer.ConsideredEndpoint{{Endpoint: first, State: balancer.StateReady}, {Endpoint: second, State: balancer.StateReady}}})
	}
	kept.AttemptStarted(first)(balancer.StatusOK)
	traced := (&observer{clock: k.Clock, farm: k.Endpoints, record: r, tracer: telemetry.tracers.Tracer(scope)}).Began(7, ask)
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
