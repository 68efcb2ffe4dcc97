package proxy

import (
	"context"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// Snapshot returns the balancer's learned state, for another process to restore. It fails
// if ctx ends first.
func (p *Proxy) Snapshot(ctx context.Context) (balancer.Snapshot, error) {
	return p.loop.Snapshot(ctx)
}

// Restore loads another process's snapshot into the balancer. UpdateEndpoints must have
// been called with the endpoints to which the snapshot refers.
func (p *Proxy) Restore(snapshot balancer.Snapshot) {
	p.loop.Report(balancer.RestoreSnapshot{Snapshot: snapshot})
}

// EndpointViews returns the balancer's view of each endpoint, or nil if ctx ends first.
func (p *Proxy) EndpointViews(ctx context.Context) map[balancer.EndpointID]balancer.EndpointView {
	all, err := p.loop.EndpointViews(ctx)
	if err != nil {
		return nil
	}
	views := make(map[balancer.EndpointID]balancer.EndpointView, len(all))
	for _, view := range all {
		views[view.Endpoint] = view
	}
	return views
}

// SetSlowStartShare sets this process's share, 0 to 1, of the relay's slow-start budget.
func (p *Proxy) SetSlowStartShare(share float64) {
	p.loop.Report(balancer.SetSlowStartShare{Share: share})
}

// RequestsByEndpoint counts the requests at each endpoint, by name, including attempts in
// progress.
func (p *Proxy) RequestsByEndpoint() map[string]int {
	counts := make(map[string]int)
	for _, request := range p.Requests.List() {
		if request.Stage != registry.StageWaiting {
			counts[p.Endpoints.Name(request.Endpoint)]++
		}
	}
	return counts
}
