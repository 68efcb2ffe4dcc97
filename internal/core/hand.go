package core

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

// Standing is a transaction that stands, as one process of a relay hands it to the next.
// Times are on the clock that the two have in common.
type Standing struct {
	Front  string          `json:"Front"`
	Name   string          `json:"Name"`
	Class  string          `json:"Class"`
	Tenant string          `json:"Tenant"` // "" if the settings name none, or from a process that does not tell it
	Server string          `json:"Server"`
	Item   uint64          `json:"Item"`
	Group  uint64          `json:"Group"`
	Load   float64         `json:"Load"` // that its server told last, or that was expected
	Return bool            `json:"Return"`
	Asked  time.Duration   `json:"Asked"` // since when its client's word is unanswered; 0 if none is
	Wire   json.RawMessage `json:"Wire"`  // the front's own
}

// Give hands a transaction over with its sockets. After nil it is another process's.
type Give func(what any, sockets ...syscall.Conn) error

// Portable is an Exchange that another process can carry on.
type Portable interface {
	Exchange
	// Park stops what passes on both sides, between a read and the next, and returns what
	// another process needs. It fails where one side has ended, or is in the middle of a
	// write that takes long. Until Settle nothing is said on what is parked.
	Park() (wire any, sockets []syscall.Conn, ok bool)
	// Settle says whether another process carries on what was parked: then nothing is ever
	// said here on either side, and else it is still to be moved. The first word counts, and
	// is returned.
	Settle(handed bool) bool
}

// GiveAll has every transaction that stands, and every one that will, handed over; those
// that can't be are moved. Each comes to its turn within a time, as by MoveAll.
func (c *Core) GiveAll(give Give, over time.Duration) {
	c.give.CompareAndSwap(nil, &give)
	c.MoveAll(over)
}

// Spend tells what part of the relay's budget for cold servers this process has.
func (c *Core) Spend(part float64) { c.facade.Report(balancer.SlowStartBudget{Share: part}) }

// Recollect returns what the module has learnt.
func (c *Core) Recollect(ctx context.Context) (balancer.Snapshot, error) {
	return c.facade.Snapshot(ctx)
}

// Held is what the module holds of each server, or what there is of it before ctx ends.
func (c *Core) Held(ctx context.Context) map[balancer.EndpointID]balancer.EndpointView {
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

// Remember has the module take over what another process's has learnt. The list that it
// speaks of has been handed in before.
func (c *Core) Remember(m balancer.Snapshot) { c.facade.Report(balancer.RestoreSnapshot{Snapshot: m}) }

// hand hands a transaction over that stands. It tells whether another process carries it on.
// over is closed once its connection has ended.
func (t *transaction) hand(p *pass, pulse *Pulse, to registry.Endpoint, over <-chan struct{}) bool {
	give := t.core.give.Load()
	x, portable := t.x.(Portable)
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
	wire, sockets, ok := x.Park()
	if !ok { // mostly as one side has ended, and the other is about to: no move is needed
		select {
		case <-over:
		case <-time.After(endFor):
		}
		return false
	}
	text, err := json.Marshal(wire)
	pulse.mu.Lock()
	s := &Standing{
		Front: t.ask.Front, Name: t.ask.Name, Class: t.ask.Class, Tenant: t.ask.Tenant, Server: to.Name, Item: t.ask.Item, Group: t.ask.Group,
		Load: pulse.told, Return: t.ask.Returning, Asked: pulse.asked, Wire: text,
	}
	pulse.mu.Unlock()
	if err == nil {
		err = (*give)(s, sockets...)
	}
	x.Settle(err == nil)
	if err != nil {
		t.core.Log.Warn("a connection is not handed over, and moved", "error", err)
	}
	return err == nil
}

// takeUp has a transaction stand where another process had it.
func (t *transaction) takeUp(s *Standing, link Link) bool {
	t.kind = nil // it was counted there
	t.asked = s.Asked
	id, named := t.core.Farm.Lookup(s.Server)
	to, ok := t.core.Farm.Find(id)
	if !named || !ok { // no list has named it yet: it is carried on, and the module sees no server
		to = registry.Endpoint{Name: s.Server}
	}
	t.ask.RequestOptions.Endpoint = to.ID
	t.ticket = balancer.NewRequestHandle(t.ask.RequestOptions)
	t.launch(t.ctx, func(ctx context.Context, p *pass) balancer.AttemptStatus { return t.join(ctx, p, to, link) })
	return true
}
