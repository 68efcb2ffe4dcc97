package proxy

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// endFor is how long a transaction that can't be handed over may take to end by itself
// before it is moved.
const endFor = 500 * time.Millisecond

// EstablishedRequest is a transaction that stands, as one process of a relay hands it to the next.
// Times are on the clock that the two have in common.
type EstablishedRequest struct {
	Front           string          `json:"Front"`
	Name            string          `json:"Name"`
	Class           string          `json:"Class"`
	Tenant          string          `json:"Tenant"` // "" if the settings name none, or from a process that does not tell it
	Endpoint        string          `json:"Server"`
	Item            uint64          `json:"Item"`
	Group           uint64          `json:"Group"`
	Load            float64         `json:"Load"` // that its server told last, or that was expected
	Returning       bool            `json:"Return"`
	UnansweredSince time.Duration   `json:"Asked"` // since when its client's word is unanswered; 0 if none is
	FrontendState   json.RawMessage `json:"Wire"`  // the front's own
}

// HandoffFunc hands a transaction over with its sockets. After nil it is another process's.
type HandoffFunc func(what any, sockets ...syscall.Conn) error

// Transferable is an Exchange that another process can carry on.
type Transferable interface {
	Downstream
	// Park stops what passes on both sides, between a read and the next, and returns what
	// another process needs. It fails where one side has ended, or is in the middle of a
	// write that takes long. Until Settle nothing is said on what is parked.
	Pause() (wire any, sockets []syscall.Conn, ok bool)
	// Settle says whether another process carries on what was parked: then nothing is ever
	// said here on either side, and else it is still to be moved. The first word counts, and
	// is returned.
	Resolve(handed bool) bool
}

// HandOffAll has every transaction that stands, and every one that will, handed over; those
// that can't be are moved. Each comes to its turn within a time, as by MoveAll.
func (c *Proxy) HandOffAll(give HandoffFunc, over time.Duration) {
	c.give.CompareAndSwap(nil, &give)
	c.MigrateAll(over)
}

// SetSlowStartShare tells what part of the relay's budget for cold servers this process has.
func (c *Proxy) SetSlowStartShare(part float64) {
	c.facade.Report(balancer.SlowStartBudget{Share: part})
}

// Snapshot returns what the module has learnt.
func (c *Proxy) Snapshot(ctx context.Context) (balancer.Snapshot, error) {
	return c.facade.Snapshot(ctx)
}

// EndpointViews is what the module holds of each server, or what there is of it before ctx ends.
func (c *Proxy) EndpointViews(ctx context.Context) map[balancer.EndpointID]balancer.EndpointView {
	all, err := c.facade.EndpointViews(ctx)
	if err != nil {
		return nil
	}
	held := make(map[balancer.EndpointID]balancer.EndpointView, len(all))
	for _, h := range all {
		held[h.Endpoint] = h
	}
	return held
}

// Restore has the module take over what another process's has learnt. The list that it
// speaks of has been handed in before.
func (c *Proxy) Restore(m balancer.Snapshot) { c.facade.Report(balancer.RestoreSnapshot{Snapshot: m}) }

// hand hands a transaction over that stands. It tells whether another process carries it on.
// over is closed once its connection has ended.
func (t *transaction) hand(p *pass, pulse *Heartbeat, to registry.Endpoint, over <-chan struct{}) bool {
	give := t.core.give.Load()
	x, portable := t.x.(Transferable)
	if give == nil || !portable {
		return false
	}
	select {
	case <-over:
		return false
	default:
	}
	select {
	case <-p.up:
	case <-over:
		return false
	}
	wire, sockets, ok := x.Pause()
	if !ok { // mostly as one side has ended, and the other is about to: no move is needed
		select {
		case <-over:
		case <-time.After(endFor):
		}
		return false
	}
	text, err := json.Marshal(wire)
	pulse.mu.Lock()
	s := &EstablishedRequest{
		Front: t.ask.Front, Name: t.ask.Name, Class: t.ask.Class, Tenant: t.ask.Tenant, Endpoint: to.Name, Item: t.ask.Item, Group: t.ask.Group,
		Load: pulse.told, Returning: t.ask.Returning, UnansweredSince: pulse.asked, FrontendState: text,
	}
	pulse.mu.Unlock()
	if err == nil {
		err = (*give)(s, sockets...)
	}
	x.Resolve(err == nil)
	if err != nil {
		t.core.Log.Warn("a connection is not handed over, and moved", "error", err)
	}
	return err == nil
}

// takeUp has a transaction stand where another process had it.
func (t *transaction) takeUp(s *EstablishedRequest, link UpstreamConn) bool {
	t.kind = nil // it was counted there
	t.asked = s.UnansweredSince
	id, named := t.core.Endpoints.Lookup(s.Endpoint)
	to, ok := t.core.Endpoints.Find(id)
	if !named || !ok { // no list has named it yet: it is carried on, and the module sees no server
		to = registry.Endpoint{Name: s.Endpoint}
	}
	t.ask.RequestOptions.Endpoint = to.ID
	t.ticket = balancer.NewRequestHandle(t.ask.RequestOptions)
	t.launch(t.ctx, func(ctx context.Context, p *pass) balancer.AttemptStatus { return t.join(ctx, p, to, link) })
	return true
}
