package proxy

import (
	"slices"

	"lockroad/balancer"
)

// endpointList is the list as discovery reports it, and the names of the endpoints that
// an operator has directed to drain whatever discovery says. Proxy.listMu guards it.
type endpointList struct {
	endpoints     map[balancer.EndpointID]balancer.Endpoint // without those that are gone
	drainDirected map[string]bool
}

// SetRevision sets the revision of the list that is handed to UpdateEndpoints next.
func (p *Proxy) SetRevision(revision uint64) { p.listRevision.Store(revision) }

// UpdateEndpoints takes an update of the endpoint list: at once for attempts about to be
// sent, and for the balancer with its next turn. addresses are those of the endpoints, in
// their order; nil if none has changed. Any goroutine may call it.
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
			delete(p.list.endpoints, endpoint.ID) // there may never be a complete list to drop it
			continue
		}
		p.list.endpoints[endpoint.ID] = endpoint
	}
	p.publishEndpoints(kind, endpoints, addresses)
}

// publishEndpoints passes endpoints on to the registry and the balancer, with drain
// directives applied. It is called with listMu held, so that both see updates in one order.
func (p *Proxy) publishEndpoints(kind balancer.ListKind, endpoints []balancer.Endpoint, addresses []string) {
	if len(p.list.drainDirected) > 0 {
		endpoints = slices.Clone(endpoints)
		for i := range endpoints {
			if endpoints[i].State == balancer.StateReady && p.list.drainDirected[p.Endpoints.Name(endpoints[i].ID)] {
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

// SetDrain directs an endpoint to drain from now on, or withdraws that directive. It
// prevails over the list: an endpoint that isn't listed yet drains as soon as it is.
// SetDrain reports whether the endpoint is listed.
func (p *Proxy) SetDrain(name string, drain bool) (listed bool) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if drain == p.list.drainDirected[name] {
		return p.isListed(name)
	}
	if p.list.drainDirected == nil {
		p.list.drainDirected = make(map[string]bool)
	}
	if drain {
		p.list.drainDirected[name] = true
	} else {
		delete(p.list.drainDirected, name)
	}
	if !p.isListed(name) {
		return false
	}
	id, _ := p.Endpoints.Lookup(name)
	p.publishEndpoints(balancer.ListDelta, []balancer.Endpoint{p.list.endpoints[id]}, nil)
	return true
}

// isListed reports whether the list names an endpoint that isn't gone. It is called with
// listMu held.
func (p *Proxy) isListed(name string) bool {
	id, ok := p.Endpoints.Lookup(name)
	_, listed := p.list.endpoints[id]
	return ok && listed
}

// DrainDirected reports whether an operator has directed an endpoint to drain.
func (p *Proxy) DrainDirected(name string) bool {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.list.drainDirected[name]
}
