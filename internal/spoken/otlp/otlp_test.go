package otlp

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	metricspb "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	tracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"lockroad/balance"
	"lockroad/internal/core"
	"lockroad/internal/memory"
)

// collector is a stand-in that decodes what arrives.
type collector struct {
	t  *testing.T
	mu sync.Mutex

	spans  []*spanpb.Span
	counts map[string]int64 // metric and its attribute's value
}

func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in io.Reader = r.Body
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			c.t.Error(err)
			return
		}
		in = z
	}
	body, err := io.ReadAll(in)
	if err != nil {
		c.t.Error(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/v1/traces":
		var m tracepb.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			c.t.Error(err)
		}
		for _, of := range m.ResourceSpans {
			for _, in := range of.ScopeSpans {
				c.spans = append(c.spans, in.Spans...)
			}
		}
	case "/v1/metrics":
		var m metricspb.ExportMetricsServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			c.t.Error(err)
		}
		c.metrics(&m)
	default:
		c.t.Errorf("an export to %s", r.URL.Path)
	}
}

func (c *collector) metrics(m *metricspb.ExportMetricsServiceRequest) {
	for _, of := range m.ResourceMetrics {
		for _, in := range of.ScopeMetrics {
			for _, one := range in.Metrics {
				points := one.GetSum().GetDataPoints()
				points = append(points, one.GetGauge().GetDataPoints()...)
				for _, p := range points {
					name := one.Name
					for _, a := range p.Attributes {
						name += " " + a.Value.GetStringValue()
					}
					c.counts[name] = p.GetAsInt()
				}
			}
		}
	}
}

func attr(all []*commonpb.KeyValue, key string) string {
	i := slices.IndexFunc(all, func(a *commonpb.KeyValue) bool { return a.Key == key })
	if i < 0 {
		return ""
	}
	return all[i].Value.GetStringValue()
}

// exchange is a transaction that two servers turn away.
type exchange struct{}

func (exchange) Pass(context.Context, memory.Server, time.Duration) (core.Link, balance.Status) {
	return nil, balance.Full
}
func (exchange) Join(context.Context, core.Link, *core.Pulse) balance.Status { return balance.OK }
func (exchange) Bad(string)                                                  {}
func (exchange) Unavailable(time.Duration)                                   {}
func (exchange) Failed()                                                     {}
func (exchange) Move()                                                       {}

// serve runs a core and has it see a transaction through.
func serve(t *testing.T, endpoint string) *Telemetry {
	t.Helper()
	k := core.New(balance.Settings{
		Classes: []balance.Class{{Aim: time.Second, Deadline: 5 * time.Second}},
		Relays:  1, MaxAttempts: 3, ColdShare: 0.2, TipMultiple: 3, TipAfter: time.Second,
	}, 1, core.NewClock())
	servers := []balance.Server{
		{ID: k.Farm.ID("s-1"), State: balance.Ready, Weight: 1}, {ID: k.Farm.ID("s-2"), State: balance.Ready, Weight: 1},
	}
	k.Listed(balance.ListFull, servers, []string{"a", "b"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	telemetry, err := Start(ctx, endpoint, "n1", time.Hour, k)
	if err != nil {
		t.Fatal(err)
	}
	go k.Run(ctx)
	began := time.Now()
	k.Serve(ctx, core.Ask{Front: "line", Name: "9b1f", Class: "page", Ask: balance.Ask{GiveUp: k.Clock.Now() + 3*time.Second}}, exchange{})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the transaction took %v: telemetry holds it up", took)
	}
	return telemetry
}

func TestCollectorGetsMetricsAndSpans(t *testing.T) {
	c := &collector{t: t, counts: make(map[string]int64)}
	server := httptest.NewServer(c)
	defer server.Close()
	if err := serve(t, server.URL).Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, want := range map[string]int64{
		"lockroad.transactions": 1, "lockroad.answers unavailable": 1, "lockroad.answers failed": 0,
		"lockroad.passes full": 2, "lockroad.passes ok": 0, "lockroad.connections open": 0,
		"lockroad.farm ready": 2, "lockroad.farm draining": 0, "lockroad.invariants.broken": 0,
	} {
		if got, ok := c.counts[name]; !ok || got != want {
			t.Errorf("%s is %d (%v), want %d", name, got, ok, want)
		}
	}
	var whole *spanpb.Span
	passes := 0
	for _, s := range c.spans {
		if s.Name == "transaction" {
			whole = s
		}
	}
	if whole == nil {
		t.Fatalf("no span of the transaction among %d", len(c.spans))
	}
	if got := attr(whole.Attributes, "answer"); got != "unavailable" {
		t.Errorf("the transaction's answer is %q", got)
	}
	for _, s := range c.spans {
		if s.Name == "proxy pass" {
			passes++
			if string(s.ParentSpanId) != string(whole.SpanId) || attr(s.Attributes, "outcome") != "full" || attr(s.Attributes, "server") == "" {
				t.Errorf("a pass came as %v", s)
			}
		}
	}
	if passes != 2 {
		t.Errorf("%d spans of passes, want 2", passes)
	}
}

// A collector that hangs, or that isn't there, costs the relay nothing.
func TestDeadCollectorDoesNotSlowTheRelay(t *testing.T) {
	release := make(chan struct{})
	hung := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hung.Close()
	defer close(release)
	for _, endpoint := range []string{hung.URL, "http://127.0.0.1:1"} {
		telemetry := serve(t, endpoint)
		last, done := context.WithTimeout(context.Background(), 50*time.Millisecond)
		began := time.Now()
		if err := telemetry.Stop(last); err == nil {
			t.Error("the dead collector took everything")
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("stopping took %v", took)
		}
		done()
	}
}
