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

// Proxy serves requests by executing the balancer's decisions. Its methods are safe for
// concurrent use unless stated otherwise.
type Proxy struct {
	Clock     Clock
	Endpoints *registry.Endpoints
	Requests  *registry.Requests
	Counters  *registry.Counters
	Metrics   *metrics.Set
	Log       *slog.Logger // for events that concern no single request; set before Run; discards by default

	settings     atomic.Pointer[balancer.Settings] // for new requests
	loop         *balancer.Loop
	heartbeats   *heartbeatMonitor
	observers    observers
	listRevision atomic.Uint64

	Quota       *quota.Limiter // of requests by client address and class; nil: unlimited
	Instruments []Instrument   // exported by telemetry; set before telemetry starts

	listMu sync.Mutex // guards list, and makes registry and balancer see updates in the same order
	list   endpointList

	handoff        atomic.Pointer[HandoffFunc] // set by HandOffAll; nil: established requests are migrated
	migrating      context.Context             // cancelled when the relocation of established requests starts
	startMigrating context.CancelFunc
	migration      atomic.Pointer[migrationWindow] // set before migrating is cancelled
	rejecting      context.Context                 // cancelled by RejectPending
	startRejecting context.CancelFunc
}

// Instrument is a metric that another package provides to telemetry.
type Instrument struct {
	Name, Description string
	Cumulative        bool         // counter if true, otherwise gauge
	Read              func() int64 // called from telemetry's goroutine
}

// New returns a proxy without endpoints. seed seeds the balancer's random choices.
func New(settings balancer.Settings, seed uint64, clock Clock) *Proxy {
	migrating, startMigrating := context.WithCancel(context.Background())
	rejecting, startRejecting := context.WithCancel(context.Background())
	proxy := &Proxy{
		Clock:          clock,
		Endpoints:      registry.NewEndpoints(),
		Requests:       registry.NewRequests(),
		Counters:       &registry.Counters{},
		Metrics:        &metrics.Set{},
		Log:            slog.New(slog.DiscardHandler),
		loop:           balancer.NewLoop(settings, seed),
		heartbeats:     newHeartbeatMonitor(&settings, clock),
		migrating:      migrating,
		startMigrating: startMigrating,
		rejecting:      rejecting,
		startRejecting: startRejecting,
	}
	proxy.settings.Store(&settings)
	proxy.registerClasses(&settings)
	return proxy
}

// Settings returns the current settings. A request uses those with which it started until
// it ends.
func (p *Proxy) Settings() *balancer.Settings { return p.settings.Load() }

// UpdateSettings replaces the settings for all requests that start from now on.
func (p *Proxy) UpdateSettings(settings *balancer.Settings) {
	p.registerClasses(settings) // before any request is counted under a new class
	p.loop.Report(balancer.UpdateSettings{Settings: settings})
	p.heartbeats.updateSettings(settings)
	p.settings.Store(settings)
}

func (p *Proxy) registerClasses(settings *balancer.Settings) {
	names := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		names[i] = class.Name
	}
	p.Metrics.SetClasses(names)
}

// Run runs the balancer's loop in the calling goroutine until ctx ends: it calls Tick
// when events are pending and when the balancer's next timer expires. It returns nil.
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

// PublishCounts makes the metrics include how many endpoints the balancer lists and
// avoids. It must be called before Run.
func (p *Proxy) PublishCounts() {
	p.loop.PublishCounts()
	p.Metrics.EndpointCounts = func() (listed, avoided int) { return p.loop.EndpointCounts(p.Clock.Now()) }
}

// ProtocolError counts and logs a violation of a frontend's protocol by a client or an endpoint.
func (p *Proxy) ProtocolError(frontend, violation string) {
	p.Counters.ProtocolErrors.Add(1)
	p.Log.Warn("protocol error", "front", frontend, "what", violation)
}
