// Package persistence defines the records that a relay saves over a restart, and which part of them is still used at which age.
// It does no I/O: package store does. The encoding of a record is by the numbers and names in its tags, which stay as they are.
package persistence

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/store"
)

// Names of the kinds of records in the store, as its files and the command line have them.
const (
	KindDrainDirectives = "orders"
	KindSnapshots       = "learnt"
	KindDecisions       = "decisions"
)

const (
	// MaxDrainDirectives bounds the drain directives that are saved, one an endpoint: far more endpoints than a list has. The
	// oldest go first, and an endpoint that was to drain would get clients again after a restart.
	MaxDrainDirectives = 1 << 16
	// MaxDecisions is how many explanations of decisions are saved at the most.
	MaxDecisions = 2000
	// DecisionRetention is how long one is saved.
	DecisionRetention = 14 * 24 * time.Hour
)

// Kinds returns all kinds of records that a relay saves. Its result is a new slice each time.
func Kinds() []store.Kind {
	return []store.Kind{
		{Name: KindDrainDirectives, Sync: store.SyncImmediate, MaxRecords: MaxDrainDirectives},
		{Name: KindSnapshots, Sync: store.SyncBestEffort, MaxRecords: 8},
		{Name: KindDecisions, Sync: store.SyncGrouped, MaxRecords: MaxDecisions, Retention: DecisionRetention},
	}
}

// DrainDirective is an operator's order that makes an endpoint drain, whatever the endpoint list says of it.
type DrainDirective struct {
	Endpoint string    `cbor:"1,keyasint" json:"server"`
	By       string    `cbor:"2,keyasint" json:"who"`
	Reason   string    `cbor:"3,keyasint,omitempty" json:"why,omitempty"`
	Since    time.Time `cbor:"4,keyasint" json:"since"`
	Until    time.Time `cbor:"5,keyasint,omitzero" json:"until,omitzero"` // zero: it holds until it is withdrawn
}

// Expired reports whether a directive has expired.
func (d *DrainDirective) Expired(now time.Time) bool {
	return !d.Until.IsZero() && !now.Before(d.Until)
}

// RelaySnapshot is what a relay had learnt at a time: its endpoint list, and the balancer's routes, weights and loads. Times of
// the latter are those of the proxy's clock.
type RelaySnapshot struct {
	Name       string                         `cbor:"1,keyasint"` // the relay's; another's snapshot is of no use
	Clock      time.Duration                  `cbor:"2,keyasint"` // the proxy's clock showed this at TakenAt
	ClockStart time.Time                      `cbor:"3,keyasint"` // the wall clock when the proxy's showed zero
	TakenAt    time.Time                      `cbor:"4,keyasint"`
	Agent      string                         `cbor:"5,keyasint"` // address of the discovery agent that List is from
	List       discovery.List                 `cbor:"6,keyasint"`
	Names      map[balancer.EndpointID]string `cbor:"7,keyasint"` // of the endpoints in Balancer
	Balancer   balancer.Snapshot              `cbor:"8,keyasint"`
}

// How old a part of a RelaySnapshot may be. Who uses it for too long sends many clients to endpoints that have died meanwhile;
// who doesn't use it at all sends the clients of each document to an endpoint drawn at random.
const (
	// ListMaxAge is for the endpoint list, which is used until discovery sends its own; the one in a platform's file may be as
	// old.
	ListMaxAge = 10 * time.Minute
	// HealthMaxAge is for weights, loads and what of the slow-start budget is spent. All of them decay by themselves.
	HealthMaxAge = time.Minute
	// RouteMaxAge is for routes, each of which leads everyone of a group to one endpoint: an endpoint that has died in so short a
	// time rejects the first attempt, and one that hangs costs each group one timeout.
	RouteMaxAge = 15 * time.Second
)

// DiscardStale removes from a snapshot what is too old to be used by the relay of that name, and reports whether anything is
// left. A time that lies ahead, as after a clock was set back, is no age: nothing is used. It changes the snapshot.
func (s *RelaySnapshot) DiscardStale(name string, now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(s.TakenAt)
	if s.Name != name || age < 0 || age > ListMaxAge {
		return age, false
	}
	if age > RouteMaxAge {
		s.Balancer.Routes = nil
	}
	if age > HealthMaxAge {
		s.Balancer.Endpoints = nil
	}
	// An endpoint that was draining, or gone, stays so until the list says otherwise.
	return age, true
}
