package proxy

import (
	"slices"

	"lockroad/balancer"
)

// endpointList is the list from discovery or health checks, and the names of the endpoints
// that an operator drains regardless of their listed state. Proxy.listMu guards it.
type endpointList struct {
	endpoints       map[balancer.EndpointID]balancer.Endpoint // without those that are gone
	drainDirectives map[string]bool
}

// SetListRevision sets the revision of the list in the next call of UpdateEndpoints.
func (p *Proxy) SetListRevision(revision uint64) { p.listRevision.Store(revision) }

// UpdateEndpoints applies an update of the endpoint list: at once to the registry, which
// attempts consult before they are sent, and to the balancer with its next Tick. addresses
// holds the addresses of the endpoints in the same order, or is nil if none has changed.
func (p *Proxy) UpdateEndpoints(kind balancer.ListKind, endpoints []balancer.Endpoint, addresses []string) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if kind != balancer.ListDelta {
		p.Endpoints.RetainOnly(endpoints)
		clear(p.list.endpoints)
	}
	if p.list.endpoints == nil {
		p.list.endpoints = make(map[balancer.EndpointID]balancer.Endpoint)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == balancer.StateGone {
			delete(p.list.endpoints, endpoint.ID) // a source that only sends deltas, as health checks do, never omits it
			continue
		}
		p.list.endpoints[endpoint.ID] = endpoint
	}
	p.publishEndpoints(kind, endpoints, addresses)
}

// publishEndpoints updates endpoints in the registry and the balancer, with the operator's
// drain directives applied. The caller holds listMu, so that both see the same order.
func (p *Proxy) publishEndpoints(kind balancer.ListKind, endpoints []balancer.Endpoint, addresses []string) {
	if len(p.list.drainDirectives) > 0 {
		endpoints = slices.Clone(endpoints)
		for i := range endpoints {
			if endpoints[i].State == balancer.StateReady && p.list.drainDirectives[p.Endpoints.Name(endpoints[i].ID)] {
				endpoints[i].State = balancer.StateDraining
			}
		}
	}
	for i, endpoint := range endpoints {
		address := ""
		if addresses != nil {
			address = addresses[i]
		}
		p.Endpoints.Update(endpoint.ID, address, endpoint.State)
	}
	p.loop.Report(balancer.EndpointUpdate{Kind: kind, Endpoints: endpoints, Revision: p.listRevision.Load()})
}

// SetDrain sets or removes an operator's directive to drain an endpoint, and reports
// whether the endpoint is listed. A directive overrides the listed state, and also applies
// to an endpoint that is listed later.
func (p *Proxy) SetDrain(name string, drain bool) (listed bool) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if drain == p.list.drainDirectives[name] {
		return p.isListed(name)
	}
	if p.list.drainDirectives == nil {
		p.list.drainDirectives = make(map[string]bool)
	}
	if drain {
		p.list.drainDirectives[name] = true
	} else {
		delete(p.list.drainDirectives, name)
	}
	if !p.isListed(name) {
		return false
	}
	id, _ := p.Endpoints.Lookup(name)
	p.publishEndpoints(balancer.ListDelta, []balancer.Endpoint{p.list.endpoints[id]}, nil)
	return true
}

// isListed reports whether an endpoint is listed and not gone. The caller holds listMu.
func (p *Proxy) isListed(name string) bool {
	id, ok := p.Endpoints.Lookup(name)
	_, listed := p.list.endpoints[id]
	return ok && listed
}

// HasDrainDirective reports whether an operator's directive to drain an endpoint is set.
func (p *Proxy) HasDrainDirective(name string) bool {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.list.drainDirectives[name]
}
