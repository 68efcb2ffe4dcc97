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

// exchange is a transaction that two servers turn away.
type exchange struct{}

func (exchange) Attempt(context.Context, proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	return nil, balancer.StatusFull
}
func (exchange) Pipe(context.Context, proxy.UpstreamConn, *proxy.Heartbeat) balancer.AttemptStatus {
	return balancer.StatusOK
}
func (exchange) BadRequest(string)    {}
func (exchange) Reject(time.Duration) {}
func (exchange) Fail()                {}
func (exchange) Migrate() bool        { return true }

// serve runs a core and has it see a transaction through.
func serve(t *testing.T, endpoint string) *Telemetry {
	t.Helper()
	k := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: 5 * time.Second}},
		Relays:  1, MaxAttempts: 3, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}, 1, proxy.NewClock())
	servers := []balancer.Endpoint{
		{ID: k.Endpoints.ID("s-1"), State: balancer.StateReady, Weight: 1}, {ID: k.Endpoints.ID("s-2"), State: balancer.StateReady, Weight: 1},
	}
	k.UpdateEndpoints(balancer.ListFull, servers, []string{"a", "b"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := decisionlog.New(decisionlog.MinBytes, k.Clock)
	if err != nil {
		t.Fatal(err)
	}
	k.Observe(r)
	k.Instruments = []proxy.Instrument{{Name: "lockroad.part.state", Read: func() int64 { return 3 }}, {Name: "lockroad.part.count", Cumulative: true, Read: func() int64 { return 4 }}}
	telemetry, err := Start(ctx, endpoint, "n1", time.Hour, k, r)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = k.Run(ctx) }()
	began := time.Now()
	k.Serve(ctx, proxy.Request{Front: "line", Name: "9b1f", Class: "page", RequestOptions: balancer.RequestOptions{Deadline: k.Clock.Now() + 3*time.Second}}, exchange{})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the transaction took %v: telemetry holds it up", took)
	}
	return telemetry
}

func TestCollectorGetsMetricsAndSpans(t *testing.T) {
	c := &fake.Collector{}
	server := httptest.NewServer(c)
	defer server.Close()
	if err := serve(t, server.URL).Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if errs := c.Errors(); len(errs) > 0 {
		t.Error(errs)
	}
	for name, want := range map[string]int64{
		"lockroad.transactions": 1, "lockroad.answers unavailable": 1, "lockroad.answers failed": 0,
		"lockroad.passes full": 2, "lockroad.passes ok": 0, "lockroad.connections open": 0,
		"lockroad.farm ready": 2, "lockroad.farm draining": 0, "lockroad.invariants.broken": 0,
		"lockroad.part.state": 3, "lockroad.part.count": 4,
	} {
		if got, ok := c.Count(name); !ok || got != want {
			t.Errorf("%s is %d (%v), want %d", name, got, ok, want)
		}
	}
	var whole *spanpb.Span
	passes := 0
	for _, s := range c.Spans() {
		if s.Name == "transaction" {
			whole = s
		}
	}
	if whole == nil {
		t.Fatalf("no span of the transaction among %d", len(c.Spans()))
	}
	if got := fake.Attribute(whole.Attributes, "answer"); got != "unavailable" {
		t.Errorf("the transaction's answer is %q", got)
	}
	var told []string
	for _, e := range whole.Events {
		told = append(told, fake.Attribute(e.Attributes, "verdict")+" "+fake.Attribute(e.Attributes, "reason"))
	}
	if got, want := strings.Join(told, ", "), "sent drawn, held backoff, sent drawn-again, held backoff, refused no-hope"; got != want ||
		fake.Attribute(whole.Attributes, "reason") != "no-hope" || fake.Attribute(whole.Attributes, "attempts") != "2" {
		t.Errorf("the transaction's decisions are told as %s", got)
	}
	for _, s := range c.Spans() {
		if s.Name == "proxy pass" {
			passes++
			if string(s.ParentSpanId) != string(whole.SpanId) || fake.Attribute(s.Attributes, "outcome") != "full" || fake.Attribute(s.Attributes, "server") == "" {
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
