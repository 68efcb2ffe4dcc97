package telemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/fake"
	"lockroad/internal/proxy"
)

// fullDownstream is the downstream side of a request that every endpoint rejects as full.
type fullDownstream struct{}

func (fullDownstream) Attempt(context.Context, proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	return nil, balancer.StatusFull
}
func (fullDownstream) Pipe(context.Context, proxy.UpstreamConn, *proxy.Heartbeat) balancer.AttemptStatus {
	return balancer.StatusOK
}
func (fullDownstream) BadRequest(string)    {}
func (fullDownstream) Reject(time.Duration) {}
func (fullDownstream) Fail()                {}
func (fullDownstream) Migrate() bool        { return true }

// serve runs a relay that exports to a collector, and serves one request to its end. It fails the test if that takes
// more than 2 s.
func serve(t *testing.T, collectorURL string) *Telemetry {
	t.Helper()
	relay := proxy.New(balancer.Settings{
		Classes:    []balancer.Class{{LatencyObjective: time.Second, Deadline: 5 * time.Second}},
		RelayCount: 1, MaxAttempts: 3, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
	endpoints := []balancer.Endpoint{
		{ID: relay.Endpoints.AssignID("s-1"), State: balancer.StateReady, Size: 1}, {ID: relay.Endpoints.AssignID("s-2"), State: balancer.StateReady, Size: 1},
	}
	relay.UpdateEndpoints(balancer.ListFull, endpoints, []string{"a", "b"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	decisions, err := decisionlog.New(decisionlog.MinBytes, relay.Clock)
	if err != nil {
		t.Fatal(err)
	}
	relay.Observe(decisions)
	relay.Instruments = []proxy.Instrument{{Name: "lockroad.part.state", Read: func() int64 { return 3 }}, {Name: "lockroad.part.count", Cumulative: true, Read: func() int64 { return 4 }}}
	telemetry, err := Start(ctx, collectorURL, "n1", time.Hour, relay, decisions)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = relay.Run(ctx) }()
	began := time.Now()
	relay.Serve(ctx, proxy.Request{Frontend: "line", Name: "9b1f", Class: "page", RequestOptions: balancer.RequestOptions{Deadline: relay.Clock.Now() + 3*time.Second}}, fullDownstream{})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the request took %v, want at most 2 s: telemetry delays it", took)
	}
	return telemetry
}

func TestCollectorReceivesMetricsAndSpans(t *testing.T) {
	collector := &fake.Collector{}
	server := httptest.NewServer(collector)
	defer server.Close()
	if err := serve(t, server.URL).Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if errs := collector.Errors(); len(errs) > 0 {
		t.Error(errs)
	}
	for name, want := range map[string]int64{
		"lockroad.transactions": 1, "lockroad.answers unavailable": 1, "lockroad.answers failed": 0,
		"lockroad.passes full": 2, "lockroad.passes ok": 0, "lockroad.connections open": 0,
		"lockroad.farm ready": 2, "lockroad.farm draining": 0, "lockroad.invariants.broken": 0,
		"lockroad.part.state": 3, "lockroad.part.count": 4,
	} {
		if got, ok := collector.MetricValue(name); !ok || got != want {
			t.Errorf("metric %s is %d (exported: %v), want %d", name, got, ok, want)
		}
	}
	var requestSpan *spanpb.Span
	attempts := 0
	for _, span := range collector.Spans() {
		if span.Name == "transaction" {
			requestSpan = span
		}
	}
	if requestSpan == nil {
		t.Fatalf("no span of the request among the %d spans", len(collector.Spans()))
	}
	if got := fake.Attribute(requestSpan.Attributes, "answer"); got != "unavailable" {
		t.Errorf("attribute answer of the request's span is %q, want unavailable", got)
	}
	var decisions []string
	for _, event := range requestSpan.Events {
		decisions = append(decisions, fake.Attribute(event.Attributes, "verdict")+" "+fake.Attribute(event.Attributes, "reason"))
	}
	if got, want := strings.Join(decisions, ", "), "sent drawn, held backoff, sent drawn-again, held backoff, refused no-hope"; got != want ||
		fake.Attribute(requestSpan.Attributes, "reason") != "no-hope" || fake.Attribute(requestSpan.Attributes, "attempts") != "2" {
		t.Errorf("the request's span has decisions %s, and attributes %v", got, requestSpan.Attributes)
	}
	for _, span := range collector.Spans() {
		if span.Name == "proxy pass" {
			attempts++
			if string(span.ParentSpanId) != string(requestSpan.SpanId) || fake.Attribute(span.Attributes, "outcome") != "full" || fake.Attribute(span.Attributes, "server") == "" {
				t.Errorf("span of an attempt lacks its parent, outcome full or a server: %v", span)
			}
		}
	}
	if attempts != 2 {
		t.Errorf("%d attempts have a span, want 2", attempts)
	}
}

// A collector that hangs or is unreachable must not delay requests, nor Stop beyond its context.
func TestUnavailableCollectorDoesNotDelayRequests(t *testing.T) {
	release := make(chan struct{})
	hung := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hung.Close()
	defer close(release)
	for _, collectorURL := range []string{hung.URL, "http://127.0.0.1:1"} {
		telemetry := serve(t, collectorURL)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		began := time.Now()
		if err := telemetry.Stop(ctx); err == nil {
			t.Errorf("Stop reports no error with collector %s", collectorURL)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("Stop took %v with collector %s, want at most 2 s", took, collectorURL)
		}
		cancel()
	}
}
