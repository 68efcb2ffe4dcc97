package proxy

import (
	"slices"

	"lockroad/balancer"
)

// listing is the list as discovery tells it, and the servers that an operator has ordered to drain
// whatever it says.
type listing struct {
	lines   map[balancer.EndpointID]balancer.Endpoint
	ordered map[string]bool
}

// UpdateEndpoints takes news of the farm: at once for passes about to go out, and for
// the module with its next turn.
func (c *Proxy) UpdateEndpoints(kind balancer.ListKind, servers []balancer.Endpoint, addresses []string) {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	if kind != balancer.ListDelta {
		c.Endpoints.RetainOnly(servers)
		clear(c.listing.lines)
	}
	if c.listing.lines == nil {
		c.listing.lines = make(map[balancer.EndpointID]balancer.Endpoint)
	}
	for _, s := range servers {
		if c.listing.lines[s.ID] = s; s.State == balancer.StateGone {
			delete(c.listing.lines, s.ID) // there may never be a whole list to drop it
		}
	}
	c.tell(kind, servers, addresses)
}

// tell tells of lines of the list, with orders in force. It is called with listMu held, so that what the farm
// and the module hear comes in one order.
func (c *Proxy) tell(kind balancer.ListKind, servers []balancer.Endpoint, addresses []string) {
	if len(c.listing.ordered) > 0 {
		servers = slices.Clone(servers)
		for i := range servers {
			if servers[i].State == balancer.StateReady && c.listing.ordered[c.Endpoints.Name(servers[i].ID)] {
				servers[i].State = balancer.StateDraining
			}
		}
	}
	for i, s := range servers {
		address := ""
		if addresses != nil {
			address = addresses[i]
		}
		c.Endpoints.Update(s.ID, address, s.State)
	}
	c.facade.Report(balancer.EndpointUpdate{Kind: kind, Endpoints: servers, Revision: c.seen.Load()})
}

// SetDrain has a server drain from now on, or no longer, whatever the list says. A server that is
// not listed yet drains as soon as it is. It tells whether it is listed.
func (c *Proxy) SetDrain(server string, drains bool) (listed bool) {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	if c.listing.ordered == nil {
		c.listing.ordered = make(map[string]bool)
	}
	if drains == c.listing.ordered[server] {
		return c.isListed(server)
	}
	if c.listing.ordered[server] = true; !drains {
		delete(c.listing.ordered, server)
	}
	if !c.isListed(server) {
		return false
	}
	id, _ := c.Endpoints.Lookup(server)
	c.tell(balancer.ListDelta, []balancer.Endpoint{c.listing.lines[id]}, nil)
	return true
}

// isListed tells whether the list names a server that is not gone.
func (c *Proxy) isListed(server string) bool {
	id, ok := c.Endpoints.Lookup(server)
	_, named := c.listing.lines[id]
	return ok && named
}

// DrainDirected tells whether an operator has a server drain.
func (c *Proxy) DrainDirected(server string) bool {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	return c.listing.ordered[server]
}
