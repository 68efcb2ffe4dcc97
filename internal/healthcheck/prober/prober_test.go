package prober

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/proxy"
)

// A reload that changed an endpoint's size ended its slow start, and listed it as up if it was down.
func TestReplaceKeepsHealthAndSlowStart(t *testing.T) {
	settings := balancer.Settings{
		Classes: []balancer.Class{{Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 3, ClockResolution: time.Millisecond,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
	target := proxy.New(settings, 1, proxy.NewClock())
	target.Log = slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = target.Run(ctx) }()
	endpoints := func(size float64) []Endpoint {
		return []Endpoint{{Name: "a", Address: "x:1", Size: size}, {Name: "b", Address: "x:2", Size: size}, {Name: "c", Address: "x:3", Size: size}}
	}
	health := healthcheck.DefaultSettings()
	p := New(target, health, endpoints(1), false)
	p.PublishInitialList()
	probe := func(name string, ok bool, times int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for range times {
			p.tracker.ProbeEnded(target.Clock.Now(), name, ok, "refused")
		}
		p.publishChanges()
	}
	probe("a", false, health.Fall)
	probe("a", true, health.Rise) // a has come up again, and is cold
	probe("b", false, health.Fall)
	list := func() (startedAt time.Duration, states []balancer.EndpointState) {
		snapshot, err := target.Snapshot(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, endpoint := range target.Endpoints.List() {
			states = append(states, endpoint.State)
			for _, learned := range snapshot.Endpoints {
				if endpoint.Name == "a" && learned.ID == endpoint.ID {
					startedAt = learned.StartedAt
				}
			}
		}
		return startedAt, states
	}
	before, _ := list()
	p.Replace(health, endpoints(0.5))
	after, states := list()
	if before <= 0 || after != before {
		t.Errorf("a's slow start begins at %v after the reload, want %v as before", after, before)
	}
	if len(states) != 3 || states[0] != balancer.StateReady || states[1] != balancer.StateGone || states[2] != balancer.StateReady {
		t.Errorf("states after the reload: %v, want ready, gone and ready", states)
	}
}
