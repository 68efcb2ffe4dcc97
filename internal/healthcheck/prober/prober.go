// Package prober finds out which endpoints of a site's list are up, where no discovery
// does: it carries out the probes that internal/healthcheck asks for, reports the
// outcomes of attempts to it, and lists endpoints at the proxy by what it holds of them.
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

// Endpoint is an endpoint of the list.
type Endpoint struct {
	Name    string // unique in the list
	Address string // host:port
	Zone    int
	Size    float64 // its weight
}

// Prober lists endpoints by their health. It is an observer of requests, whose attempts
// are evidence as well. Its methods are safe for concurrent use.
type Prober struct {
	Proxy *proxy.Proxy
	Ping  bool // endpoints answer PING with PONG; otherwise a connection that comes up suffices

	mu        sync.Mutex // guards what follows; held while the proxy's list is updated
	settings  healthcheck.Settings
	endpoints []Endpoint
	tracker   *healthcheck.Tracker
	panicMode bool // as last logged

	wake chan struct{} // makes Run look for due probes; holds one
}

// New returns a prober of endpoints, all of which are taken to be up at first.
func New(p *proxy.Proxy, settings healthcheck.Settings, endpoints []Endpoint, ping bool) *Prober {
	return &Prober{
		Proxy:     p,
		Ping:      ping,
		settings:  settings,
		endpoints: endpoints,
		tracker:   healthcheck.New(settings, names(endpoints), p.Clock.Now()),
		wake:      make(chan struct{}, 1),
	}
}

func names(endpoints []Endpoint) (all []string) {
	for _, endpoint := range endpoints {
		all = append(all, endpoint.Name)
	}
	return all
}

// Start lists all endpoints. It is called before the proxy runs.
func (p *Prober) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishChanges()
}

// Replace puts another list and other settings in force. Clients of an endpoint that the
// list no longer names are migrated.
func (p *Prober) Replace(settings healthcheck.Settings, endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.endpoints {
		if _, ok := find(endpoints, old.Name); !ok {
			p.publish(old, balancer.StateDraining, 0)
		}
	}
	previous := p.endpoints
	p.settings, p.endpoints = settings, endpoints
	p.tracker.UpdateSettings(settings)
	p.tracker.Replace(names(endpoints), p.Proxy.Clock.Now())
	for _, endpoint := range endpoints {
		if old, ok := find(previous, endpoint.Name); ok && old != endpoint {
			p.publish(endpoint, balancer.StateReady, 0) // at another address, or of another size
		}
	}
	p.publishChanges()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// find returns the endpoint of a name.
func find(endpoints []Endpoint, name string) (Endpoint, bool) {
	i := slices.IndexFunc(endpoints, func(endpoint Endpoint) bool { return endpoint.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return endpoints[i], true
}

// publish lists an endpoint at the proxy. It is called with mu held.
func (p *Prober) publish(endpoint Endpoint, state balancer.EndpointState, startedAt time.Duration) {
	p.Proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{
		ID:        p.Proxy.Endpoints.ID(endpoint.Name),
		State:     state,
		Zone:      endpoint.Zone,
		Size:      endpoint.Size,
		StartedAt: startedAt,
	}}, []string{endpoint.Address})
}

// publishChanges lists all endpoints that have changed, and logs when panic mode begins
// and ends. It is called with mu held.
func (p *Prober) publishChanges() {
	for _, change := range p.tracker.Changes() {
		endpoint, ok := find(p.endpoints, change.Name)
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

// Health returns the health of all endpoints, and whether all are listed as up since too
// many seem to be down.
func (p *Prober) Health() (all []healthcheck.EndpointHealth, panicMode bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Health(p.Proxy.Clock.Now()), p.tracker.PanicMode()
}

// Run probes until ctx ends, and returns nil once all of its probes have ended. Each probe
// has a goroutine of its own.
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

// startDueProbes starts the probes that are due, and returns the time until the next.
func (p *Prober) startDueProbes(ctx context.Context, probes *sync.WaitGroup) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Proxy.Clock.Now()
	due, next := p.tracker.Due(now)
	timeout := p.settings.Timeout
	for _, name := range due {
		if endpoint, ok := find(p.endpoints, name); ok {
			probes.Go(func() { p.probe(ctx, endpoint, timeout) })
		}
	}
	return next - now
}
