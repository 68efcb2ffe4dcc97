// Package prober keeps a proxy's endpoints up to date from health checks, for a site
// whose endpoints are listed in its configuration. It carries out the probes that
// internal/healthcheck schedules, reports the outcomes of attempts to it, and updates the
// proxy's endpoint list according to the endpoints' health.
package prober

import (
	"context"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/proxy"
)

// Endpoint is an endpoint of the configured list.
type Endpoint struct {
	Name    string // unique in the list
	Address string // host:port
	Zone    int
	Size    float64 // relative weight
}

// Prober updates a proxy's endpoint list by the endpoints' health. It also observes
// requests, as the outcomes of attempts count for health. Its methods are safe for concurrent use.
type Prober struct {
	Proxy *proxy.Proxy
	Ping  bool // probes expect PONG after a PING; otherwise a connection suffices

	mu        sync.Mutex // guards the fields up to wake; held while the proxy's list is updated
	settings  healthcheck.Settings
	endpoints []Endpoint
	tracker   *healthcheck.Tracker
	panicMode bool // as last logged

	wake chan struct{} // makes Run check for due probes; has a buffer of one
}

// New returns a prober of endpoints, all of which are considered up at first.
func New(target *proxy.Proxy, settings healthcheck.Settings, endpoints []Endpoint, ping bool) *Prober {
	return &Prober{
		Proxy:     target,
		Ping:      ping,
		settings:  settings,
		endpoints: endpoints,
		tracker:   healthcheck.New(settings, endpointNames(endpoints), target.Clock.Now()),
		wake:      make(chan struct{}, 1),
	}
}

func endpointNames(endpoints []Endpoint) (all []string) {
	for _, endpoint := range endpoints {
		all = append(all, endpoint.Name)
	}
	return all
}

// PublishInitialList adds all endpoints to the proxy's list. It must be called before the proxy runs.
func (p *Prober) PublishInitialList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishChanges()
}

// Replace replaces the settings and the list of endpoints. Endpoints that the list no
// longer names are listed as draining, so that their clients are migrated.
func (p *Prober) Replace(settings healthcheck.Settings, endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.endpoints {
		if _, ok := findEndpoint(endpoints, old.Name); !ok {
			p.publish(old, balancer.StateDraining, 0)
		}
	}
	previous := p.endpoints
	p.settings, p.endpoints = settings, endpoints
	p.tracker.UpdateSettings(settings)
	p.tracker.Replace(endpointNames(endpoints), p.Proxy.Clock.Now())
	for _, endpoint := range endpoints {
		if old, ok := findEndpoint(previous, endpoint.Name); ok && old != endpoint {
			p.tracker.ReportAgain(endpoint.Name) // its address, zone or size has changed, but not its health
		}
	}
	p.publishChanges()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// findEndpoint returns the endpoint with a name.
func findEndpoint(endpoints []Endpoint, name string) (Endpoint, bool) {
	i := slices.IndexFunc(endpoints, func(endpoint Endpoint) bool { return endpoint.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return endpoints[i], true
}

// publish updates one endpoint in the proxy's list. The caller holds mu.
func (p *Prober) publish(endpoint Endpoint, state balancer.EndpointState, startedAt time.Duration) {
	p.Proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{
		ID:        p.Proxy.Endpoints.AssignID(endpoint.Name),
		State:     state,
		Zone:      endpoint.Zone,
		Size:      endpoint.Size,
		StartedAt: startedAt,
	}}, []string{endpoint.Address})
}

// publishChanges publishes all endpoints whose health has changed, and logs the start and
// the end of panic mode. The caller holds mu.
func (p *Prober) publishChanges() {
	for _, change := range p.tracker.Changes() {
		endpoint, ok := findEndpoint(p.endpoints, change.Name)
		if !ok {
			continue
		}
		state := balancer.StateReady
		if change.State == healthcheck.StateDown {
			state = balancer.StateGone
		}
		p.publish(endpoint, state, change.RecoveredAt)
	}
	panicMode := p.tracker.PanicMode()
	if panicMode == p.panicMode {
		return
	}
	p.panicMode = panicMode
	if panicMode {
		p.Proxy.Log.Error("health check panic mode started, listing all endpoints as up")
	} else {
		p.Proxy.Log.Info("health check panic mode ended")
	}
}

// Health returns the health of all endpoints, and whether panic mode lists all as up.
func (p *Prober) Health() (all []healthcheck.EndpointHealth, panicMode bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Health(p.Proxy.Clock.Now()), p.tracker.PanicMode()
}

// Run probes endpoints until ctx ends, and returns nil once all probes have ended. Each
// probe has a goroutine of its own.
func (p *Prober) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		wait := p.startDueProbes(ctx, &probes)
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		case <-time.After(wait):
		}
	}
}

// startDueProbes starts the probes that are due, and returns the wait until the next call.
func (p *Prober) startDueProbes(ctx context.Context, probes *sync.WaitGroup) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Proxy.Clock.Now()
	due, next := p.tracker.Due(now)
	timeout := p.settings.Timeout
	for _, name := range due {
		if endpoint, ok := findEndpoint(p.endpoints, name); ok {
			probes.Go(func() { p.probe(ctx, endpoint, timeout) })
		}
	}
	return next - now
}
