// Package persistence names what a relay keeps over a restart, and what of it is believed at which age. It decides
// and does no I/O: the store below it does.
package persistence

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/store"
)

// Names of the kinds.
const (
	KindDrainDirectives = "orders"
	KindSnapshots       = "learnt"
	KindDecisions       = "decisions"
)

const (
	// MaxDrainDirectives bounds the orders that are kept, one a server: far more servers than a farm has. The oldest go
	// first, and a server that was to drain would get clients again after a restart.
	MaxDrainDirectives = 1 << 16
	// MaxDecisions is how many decisions are kept at the most.
	MaxDecisions = 2000
	// DecisionRetention is how long a decision is kept.
	DecisionRetention = 14 * 24 * time.Hour
)

// Kinds are all that a relay keeps.
func Kinds() []store.Kind {
	return []store.Kind{
		{Name: KindDrainDirectives, Sync: store.SyncImmediate, MaxRecords: MaxDrainDirectives},
		{Name: KindSnapshots, Sync: store.SyncBestEffort, MaxRecords: 8},
		{Name: KindDecisions, Sync: store.SyncGrouped, MaxRecords: MaxDecisions, Retention: DecisionRetention},
	}
}

// DrainDirective has a server drain, whatever the list says of it.
type DrainDirective struct {
	Endpoint string    `cbor:"1,keyasint" json:"server"`
	By       string    `cbor:"2,keyasint" json:"who"`
	Reason   string    `cbor:"3,keyasint,omitempty" json:"why,omitempty"`
	Since    time.Time `cbor:"4,keyasint" json:"since"`
	Until    time.Time `cbor:"5,keyasint,omitzero" json:"until,omitzero"` // zero: until it is withdrawn
}

// Expired tells whether an order has expired.
func (o *DrainDirective) Expired(now time.Time) bool {
	return !o.Until.IsZero() && !now.Before(o.Until)
}

// RelaySnapshot is what a relay had learnt at a time.
type RelaySnapshot struct {
	Name       string                         `cbor:"1,keyasint"` // the relay's
	Clock      time.Duration                  `cbor:"2,keyasint"` // it showed this at At
	ClockStart time.Time                      `cbor:"3,keyasint"` // the clock's
	TakenAt    time.Time                      `cbor:"4,keyasint"`
	Agent      string                         `cbor:"5,keyasint"` // of discovery
	List       discovery.List                 `cbor:"6,keyasint"`
	Names      map[balancer.EndpointID]string `cbor:"7,keyasint"` // the numbers that Memory speaks of
	Balancer   balancer.Snapshot              `cbor:"8,keyasint"`
}

// What is believed of Known at which age. Who is believed too long sends a crowd to servers that have died
// meanwhile; who is not believed at all sends the clients of each document to a server of chance.
const (
	// ListMaxAge: the list, until discovery tells its own; it is no older than what a platform's file has.
	ListMaxAge = 10 * time.Minute
	// HealthMaxAge: weights, loads, what of the cold budget is spent. All of them fade by themselves.
	HealthMaxAge = time.Minute
	// RouteMaxAge: where groups are. A route leads everyone of a group to one server: a server that has
	// died in so short a time is refused at the first try, and one that hangs costs each group one time-out.
	RouteMaxAge = 15 * time.Second
)

// DiscardStale leaves of what was known what is still to be believed at an age, and tells whether there is anything.
// A time that lies ahead, as after a clock was set back, is no age: nothing is believed.
func (k *RelaySnapshot) DiscardStale(name string, now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(k.TakenAt)
	if k.Name != name || age < 0 || age > ListMaxAge {
		return age, false
	}
	if age > RouteMaxAge {
		k.Balancer.Routes = nil
	}
	if age > HealthMaxAge {
		k.Balancer.Endpoints = nil
	}
	// Whoever has drained, or was gone, stays so until the list says otherwise.
	return age, true
}
