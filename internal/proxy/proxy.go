package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
	"lockroad/internal/quota"
	"lockroad/internal/registry"
)

// Proxy carries out what the balancer decides for each request. Its methods are safe
// for concurrent use unless they say otherwise.
type Proxy struct {
	Clock     Clock
	Endpoints *registry.Endpoints
	Requests  *registry.Requests
	Counters  *registry.Counters
	Metrics   *metrics.Set
	Log       *slog.Logger // for what belongs to no single request; set before Run, or nothing is logged

	settings     atomic.Pointer[balancer.Settings] // in force
	loop         *balancer.Loop
	heartbeats   *heartbeatMonitor
	observers    observers
	listRevision atomic.Uint64

	Quota       *quota.Limiter // by client address and class; nil: unlimited
	Instruments []Instrument   // for telemetry; set before it starts

	listMu sync.Mutex // guards list, and the order in which registry and balancer are updated
	list   endpointList

	handoff        atomic.Pointer[HandoffFunc] // set by HandOffAll; nil: established requests are migrated
	migrating      context.Context             // ends once all established requests are to depart
	startMigrating context.CancelFunc
	migration      atomic.Pointer[migrationWindow] // set before migrating ends
	rejecting      context.Context                 // ends once all pending requests are to be rejected
	startRejecting context.CancelFunc
}

// Instrument is a figure for telemetry that another part of the program reads.
type Instrument struct {
	Name, Description string
	Cumulative        bool         // a counter; otherwise a gauge
	Read              func() int64 // called from telemetry's goroutine
}

// New returns a proxy without endpoints. seed is that of the balancer's random choices.
func New(s balancer.Settings, seed uint64, clock Clock) *Proxy {
	migrating, startMigrating := context.WithCancel(context.Background())
	rejecting, startRejecting := context.WithCancel(context.Background())
	p := &Proxy{
		Clock:          clock,
		Endpoints:      registry.NewEndpoints(),
		Requests:       registry.NewRequests(),
		Counters:       &registry.Counters{},
		Metrics:        &metrics.Set{},
		Log:            slog.New(slog.DiscardHandler),
		loop:           balancer.NewLoop(s, seed),
		heartbeats:     newHeartbeatMonitor(&s, clock),
		migrating:      migrating,
		startMigrating: startMigrating,
		rejecting:      rejecting,
		startRejecting: startRejecting,
	}
	p.settings.Store(&s)
	p.registerClasses(&s)
	return p
}

// Settings returns the settings in force. A request keeps those that it began with to its end.
func (p *Proxy) Settings() *balancer.Settings { return p.settings.Load() }

// UpdateSettings puts other settings in force for all requests that begin from now on.
func (p *Proxy) UpdateSettings(s *balancer.Settings) {
	p.registerClasses(s) // before anything is counted under them
	p.loop.Report(balancer.UpdateSettings{Settings: s})
	p.heartbeats.updateSettings(s)
	p.settings.Store(s)
}

func (p *Proxy) registerClasses(s *balancer.Settings) {
	names := make([]string, len(s.Classes))
	for i, class := range s.Classes {
		names[i] = class.Name
	}
	p.Metrics.SetClasses(names)
}

// Run runs the balancer's loop in the calling goroutine until ctx ends: it takes a turn
// when events are pending and when the balancer's next deadline has come. It returns nil.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.loop.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.loop.Pending():
		case <-timer.C:
		}
		now := p.Clock.Now()
		timer.Stop()
		if next, ok := p.loop.Tick(now); ok {
			timer.Reset(max(0, next-p.Clock.Now()))
		}
	}
}

// PublishCounts makes the metrics report how many endpoints the balancer lists and avoids.
// It is called before Run.
func (p *Proxy) PublishCounts() {
	p.loop.PublishCounts()
	p.Metrics.EndpointCounts = func() (listed, avoided int) { return p.loop.EndpointCounts(p.Clock.Now()) }
}

// ProtocolError counts and logs a client that violates its frontend's protocol.
func (p *Proxy) ProtocolError(front, what string) {
	p.Counters.ProtocolErrors.Add(1)
	p.Log.Warn("protocol error", "front", front, "what", what)
}
